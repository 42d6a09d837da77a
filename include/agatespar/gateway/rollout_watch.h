// Runs one roll-out of a service to another version: the new version's share of the traffic, and when to complete or
// revert it.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/gateway/recent_sessions.h>
#include <agatespar/gateway/recent_times.h>
#include <agatespar/gateway/version_comparison.h>
#include <agatespar/support/clock.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace agatespar {

struct rollout_settings {
    /// Share of the requests that the new version gets until the roll-out is complete.
    double exposed_share{0.06};
    /// The operators' limit on the share of requests that a bad version gets until its deadline, those after completion
    /// included. It also bounds the time between completion and the deadline.
    double max_exposed_share{0.15};
    /// As many requests without a session, of all VMs together, are exposed at this multiple of the share: a service
    /// with few requests would otherwise give too few answers to judge by. The operators allow 30 exposed requests in
    /// addition to their share.
    double early_share_factor{2.5};
    double early_requests{24};
    /// The roll-out is completed this fraction of its duration before the deadline. The requests in that time count as
    /// exposed, too.
    double finish_lead_fraction{0.04};
    /// Minimum time between completion and the deadline, so that the report can be written even if the store is slow.
    std::chrono::milliseconds min_finish_lead{1200};
    /// The times at which VMs report a completion are spread over this interval, those of the readers of the store over
    /// its first half, so that usually a single VM reports: it takes some hundred milliseconds until hundreds of VMs
    /// know of a report. A reversion is reported by the readers without this delay, by other VMs in the second half.
    std::chrono::milliseconds report_spread{600};
    /// Minimum time from a restoration of the store to the repetition of a report that it lacks: orders and reports
    /// have been read again by then.
    std::chrono::milliseconds repeated_report_delay{1000};
    /// How long after an order no request goes to the new version. In this time VMs exchange the sessions that are in
    /// progress: their evidence records pass up to a reader VM, which writes them to the store and reads those of
    /// others, and down again.
    std::chrono::milliseconds exposure_delay{1000};
    /// Minimum intervals between two evidence records of one VM: after bad answers, and while all answers are good.
    std::chrono::milliseconds evidence_interval{300};
    std::chrono::milliseconds good_evidence_interval{2000};
    /// An answer of either version is slow from this many times the old version's median on. What counts is by how much
    /// the new version's share of slow answers exceeds the old one's, so times that vary much hide less and cost
    /// nothing. The old version's servers are busier: a faulty version that is five times slower on idle servers takes
    /// less than three times the old version's median.
    double slow_factor{2};
    /// The same for the median time between the events of a stream, which varies less than single times.
    double slow_pace_factor{1.4};
    /// The same for the first byte of a stream, which depends on the prompt more than on the server.
    double slow_stream_begin_factor{4};
    /// Part by which the new version's share of slow answers may exceed the old one's. A few slow servers do not make a
    /// version bad.
    double slow_tolerance{0.1};
    /// VMs report the old version's answers of this last interval together with the new version's: a fault that hits
    /// half of the servers shows in both versions at the same time.
    std::chrono::milliseconds comparison_window{500};
    /// A version is reverted if the evidence against it persists for this time: bad answers are reported at once, good
    /// ones some hundred milliseconds later. The operators allow five seconds.
    std::chrono::milliseconds revert_delay{1000};
    /// At its end a roll-out is completed only if the guard's evidence against the new version is below this, and
    /// reverted otherwise: a good version can be ordered again, while a bad one that is completed answers all requests.
    double max_completion_evidence{3};
    /// Requests of a session belong together if they follow each other within this time.
    std::chrono::milliseconds session_timeout{5000};
};

/// Which versions a request may go to.
enum class version_choice {
    any,
    target_only,
    others_only,
    prefer_target,
};

/// What one attempt at a server has shown about the version that the server runs. It may still be in progress.
struct observed_answer {
    bool by_target{false};
    std::string route;
    /// Answers of one group take similar times: those of one route and model.
    std::string group;
    /// The server has not failed the request.
    bool good{true};
    /// Time from the request's arrival at the server to the first byte, or the time that the server has had for it so
    /// far: without the round trips, which depend on the server's zone and not on its version.
    duration first_byte{0};
    /// Median time between the events of a stream; none for other answers, and for too few events.
    std::optional<duration> event_interval;
    /// Its server was not cold and its round trips are known, so that its times say something about its version.
    bool has_usual_times{true};
};

/// State of one roll-out on one VM; there is one for each service with an order. No leader is needed: each VM follows
/// the order by its local clock, VMs share their counts through the store, any VM may report the end, and the first
/// report in the store's order is final.
class rollout_watch {
public:
    /// @param own_id identifies this VM and its start, distinct from all others.
    /// @param active_sessions sessions in progress, which stay on the old version.
    rollout_watch(const rollout_order& order, const rollout_settings& settings, std::uint64_t own_id,
                  const std::vector<session_hash>& active_sessions, steady_time now);

    const rollout_order& order() const { return order_; }
    rollout_state state() const { return state_; }
    /// Applies a report about this order from the store. Once the state is final, further reports are ignored, and so
    /// is a reversion under an earlier order of the same version.
    void apply_report(const rollout_report& report);
    /// Called when the operator has written the order again: later reports refer to the newest record.
    void set_order_position(const log_position& position) { order_.position = position; }
    /// Called when the store was restored from an older copy, which may lack the report. If the roll-out has ended, it
    /// is reported again unless the report is read.
    void note_store_restored(steady_time now);

    /// Chooses the version of a request. A session keeps its version.
    /// @param draw uniform in [0, 1), for requests without a session.
    /// @param vms number of VMs that share the traffic, at least one.
    version_choice choose(double draw, std::optional<session_hash> session, double vms, steady_time now);
    /// @return the valid choice for a request whose version was chosen earlier: once the roll-out has ended, its
    /// outcome replaces the earlier choice.
    version_choice current_choice(version_choice chosen) const;
    /// @return how long an answer of this group may take to begin before it counts as slow, or nothing if this VM has
    /// too few answers of the old version to compare with.
    std::optional<duration> first_byte_limit(const std::string& group) const;
    /// @return whether the answer is several times slower than the old version's of the same group. Such an answer
    /// counts as slow whatever its end is, so it can be counted while it lasts.
    bool is_slow(const observed_answer& answer) const;
    /// Counts an answer. Failures are compared with failures and slow answers with slow ones, as faults of servers and
    /// links make either common without the other.
    /// @return whether it counted as slow.
    bool note_answer(const observed_answer& answer, steady_time now);
    /// Merges the counts and sessions that another VM reports.
    void apply_evidence(const rollout_evidence& evidence, steady_time now);
    /// @return this VM's counts and sessions, if they should be sent to the other VMs now.
    std::optional<rollout_evidence> next_evidence(steady_time now);
    /// @param target_serves whether this VM knows a server of the new version that accepts requests. Without one the
    /// roll-out is not completed: the old servers would stop, and no server would be left.
    /// @param is_reader whether this VM is one of the few that read the store for all others; these report first.
    /// @return the report that this VM should write now, if any: the first one, or the known one again if a restored
    /// store lacks it.
    std::optional<rollout_report> next_report(steady_time now, bool target_serves, bool is_reader);
    /// @return the verdicts on failed and on slow answers, for logs.
    const guard_verdict& failure_verdict() const { return failures_.verdict(); }
    const guard_verdict& slowness_verdict() const { return slowness_.verdict(); }

private:
    /// Times that the old version's answers of one group take.
    struct usual_times {
        recent_times first_byte;
        recent_times event_interval;
    };

    /// @return whether the answer is slow, or nothing if its times can't be compared.
    std::optional<bool> judge_time(const observed_answer& answer) const;
    /// @return whether the report of the end may be missing in the store, or refers to the order's position of an
    /// earlier era, by which a later order could not be told from this one.
    bool is_report_missing() const;
    void update_usual_times(const observed_answer& answer);
    void update_verdict(steady_time now);

    rollout_order order_;
    rollout_settings settings_;
    std::uint64_t own_id_;
    std::chrono::milliseconds report_delay_;
    steady_time started_;
    /// Requests without a session that this VM has sent to the new version.
    std::uint64_t exposed_without_session_{0};
    rollout_state state_{rollout_state::in_progress};
    /// The order's position according to the report that has been read, if the roll-out has ended.
    std::optional<log_position> reported_position_;
    /// When the store was last found to be restored from an older copy.
    std::optional<steady_time> restored_at_;
    version_comparison failures_;
    version_comparison slowness_;
    /// When a bad answer of the new version was last observed here or reported by another VM.
    std::optional<steady_time> last_bad_at_;
    std::unordered_map<std::string, usual_times> usual_times_;
    std::unordered_set<session_hash> pinned_sessions_;
    std::vector<session_hash> own_pinned_sessions_;
    std::size_t sent_pinned_count_{0};
    std::optional<steady_time> sent_at_;
    std::optional<steady_time> stop_since_;
    bool verdict_current_{true};
    answer_tally sent_target_answers_;
};

/// @param chosen_for target of the order under which the choice was made, or nothing if there was none.
/// @return the valid choice under the roll-out in force. A request that began before its order stays on an old version
/// while it is in progress.
version_choice current_choice(const rollout_watch& watch, version_choice chosen,
                              const std::optional<version_name>& chosen_for);

} // namespace agatespar
