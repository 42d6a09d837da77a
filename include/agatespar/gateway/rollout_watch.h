// One roll-out of a service to another version: how much of the traffic the version gets, and when it is over.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/gateway/recent_sessions.h>
#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/version_guard.h>
#include <agatespar/support/clock.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace agatespar {

struct rollout_settings {
    /// Share of the requests that the new version gets until it is complete. With what it gets between completion and
    /// the deadline, a version that turns bad late stays within the operators' share of exposed requests (0.15).
    double exposed_share{0.06};
    /// The version is taken as good this share of its time before its deadline; the requests of that time count as
    /// exposed too.
    double finish_share{0.04};
    /// No later than this before the deadline, so that writing the report has time when the store is slow.
    std::chrono::milliseconds least_finish{1200};
    /// VMs report one after the other within this time, those that read the store in its first half, so that mostly one
    /// does: it takes some hundred milliseconds until hundreds of VMs know of a report.
    std::chrono::milliseconds report_spread{600};
    /// After an order VMs tell each other which sessions are under way: their rows pass up to a reader, which writes
    /// and reads them, and down again.
    std::chrono::milliseconds exposure_delay{1000};
    /// Between two rows of evidence from one VM, while bad answers come in, and while only good ones do.
    std::chrono::milliseconds evidence_pause{300};
    std::chrono::milliseconds calm_evidence_pause{2000};
    /// A version that takes this many times as long as the old one is bad. Bad ones are several times slower.
    double slow_factor{4};
    /// Answers faster than this are never slow, as small times vary by large factors.
    std::chrono::milliseconds slow_floor{150};
    /// VMs tell how the old version's answers of this time were, beside what they saw of the new one: what fails half
    /// of the servers shows in both at once.
    std::chrono::milliseconds beside_time{500};
    /// A version is reverted if the evidence stands for this: bad answers are told of at once, good ones after some
    /// hundred milliseconds. The operators bear five seconds.
    std::chrono::milliseconds confirm_time{1000};
    /// Requests of a session that follow each other within this belong together.
    std::chrono::milliseconds session_time{5000};
};

/// Which versions a request may go to.
enum class version_choice {
    any,
    target_only,
    others_only,
    prefer_target,
};

/// Kept for each service with an order. Nothing here needs a leader: each VM follows the order by its own clock, VMs
/// share what they saw through the store, any VM may report the end, and the first report in the store's order holds.
class rollout_watch {
public:
    /// @param own tells VMs and their starts apart. @param under_way sessions that stay on the old version.
    rollout_watch(const rollout_order& order, const rollout_settings& settings, std::uint64_t own,
                  const std::vector<session_hash>& under_way, steady_time now);

    const rollout_order& order() const { return order_; }
    rollout_state state() const { return state_; }
    /// The store holds a report about this order. A final state stays.
    void take_report(const rollout_report& report);

    /// @param draw uniform in [0, 1), for requests without a session.
    version_choice choose(double draw, std::optional<session_hash> session, steady_time now);
    /// @return what holds now for a request that was given a choice before: once the roll-out is over, its end.
    version_choice confirm(version_choice chosen) const;
    /// Notes an answer. @param group answers of one group take similar times, e.g. a route and model.
    void note_answer(bool by_target, const std::string& group, bool good, duration first_byte, steady_time now);
    /// Takes in what another VM saw.
    void take_evidence(const rollout_evidence& evidence, steady_time now);
    /// @return what this VM saw, if the others should be told now.
    std::optional<rollout_evidence> next_evidence(steady_time now);
    /// @param target_serves whether this VM knows a server of the new version that takes requests. Without one the
    /// roll-out is not complete: the old servers would stop, and nothing would be left.
    /// @param reads_store whether this VM is one of the few that read the store for all: they report first.
    /// @return the report that this VM should write now, if any.
    std::optional<rollout_report> next_report(steady_time now, bool target_serves, bool reads_store);
    /// @return the guard's reasons, for logs.
    const guard_verdict& verdict() const { return guard_.verdict(); }

private:
    /// Answers of the old version in a short stretch of time.
    struct dated_tally {
        steady_time begin;
        answer_tally answers;
    };

    void note_beside(bool good, steady_time now);
    answer_tally take_beside(steady_time now);
    void weigh(steady_time now);

    rollout_order order_;
    rollout_settings settings_;
    std::uint64_t own_;
    std::chrono::milliseconds own_delay_;
    steady_time started_;
    rollout_state state_{rollout_state::in_progress};
    answer_counts counts_;
    version_guard guard_;
    /// The old version's answers that were given beside the new one's, as far as VMs told.
    answer_tally beside_;
    /// This VM's answers of the last moments that the others were not told of.
    std::deque<dated_tally> untold_beside_;
    /// When a bad answer of the new version was last seen or told of.
    std::optional<steady_time> bad_at_;
    std::unordered_map<std::string, double> usual_seconds_;
    std::unordered_set<session_hash> staying_;
    std::vector<session_hash> own_staying_;
    std::size_t told_staying_{0};
    std::optional<steady_time> told_at_;
    std::optional<steady_time> stop_seen_;
    bool weighed_{true};
    answer_tally told_;
};

} // namespace agatespar
