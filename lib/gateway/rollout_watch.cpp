// Limits a new version to a small share of the traffic until shortly before its deadline, and reverts it if its answers
// are worse.
#include <agatespar/gateway/rollout_watch.h>
#include <agatespar/support/hash.h>

#include <algorithm>

namespace agatespar {

// Answers are judged once this many of the old version are known in their group.
static constexpr std::size_t min_usual_times = 5;
// Part of the operators' limit on exposed requests that is left for their uneven arrival.
static constexpr double exposure_margin = 0.01;
// A stop is not final, as a good version may look bad for a moment, until its good answers are reported.
static constexpr guard_settings non_latching_guard{.stop_is_permanent = false};

rollout_watch::rollout_watch(const rollout_order& order, const rollout_settings& settings, std::uint64_t own_id,
                             const std::vector<session_hash>& active_sessions, steady_time now)
    : order_(order), settings_(settings), own_id_(own_id), started_(now),
      failures_(non_latching_guard, rollout_classes, own_id, settings.comparison_window),
      slowness_({.tolerance = settings.slow_tolerance, .stop_is_permanent = false}, 1, own_id,
                settings.comparison_window),
      pinned_sessions_(active_sessions.begin(), active_sessions.end()), own_pinned_sessions_(active_sessions)
{
    const std::uint64_t position = combine_hashes(own_id, stable_hash(order.service.value()));
    report_delay_ = std::chrono::milliseconds{position % static_cast<std::uint64_t>(settings_.report_spread.count())};
}

void rollout_watch::apply_report(const rollout_report& report)
{
    if (report.target != order_.target) {
        return;
    }
    const bool is_of_earlier_order = report.order_position && precedes(*report.order_position, order_.position);
    const bool is_first = state_ == rollout_state::in_progress;
    if (is_first && (report.state != rollout_state::reverted || !is_of_earlier_order)) {
        state_ = report.state;
    }
    if (report.state == state_) {
        reported_position_ = report.order_position.value_or(order_.position);
    }
}

void rollout_watch::note_store_restored(steady_time now)
{
    restored_at_ = now;
    reported_position_.reset();
}

bool rollout_watch::is_report_missing() const
{
    const bool is_reported = reported_position_ && reported_position_->era == order_.position.era;
    return state_ != rollout_state::in_progress && restored_at_ && !is_reported;
}

version_choice rollout_watch::choose(double draw, std::optional<session_hash> session, double vms, steady_time now)
{
    if (state_ == rollout_state::complete) {
        return version_choice::target_only;
    }
    const double position = session ? session_fraction(*session) : draw;
    const bool is_early =
        !session && static_cast<double>(exposed_without_session_) + 1 <= settings_.early_requests / vms;
    const double share = settings_.exposed_share * (is_early ? settings_.early_share_factor : 1);
    if (state_ == rollout_state::reverted || position >= share) {
        return version_choice::others_only;
    }
    if (now - started_ < settings_.exposure_delay) {
        if (session && pinned_sessions_.insert(*session).second) {
            // Report the session to the other VMs: its next request may reach any of them.
            own_pinned_sessions_.push_back(*session);
        }
        return version_choice::others_only;
    }
    if (session && pinned_sessions_.contains(*session)) {
        return version_choice::others_only;
    }
    exposed_without_session_ += session ? 0 : 1;
    return version_choice::prefer_target;
}

version_choice rollout_watch::current_choice(version_choice chosen) const
{
    switch (state_) {
    case rollout_state::complete:
        return version_choice::target_only;
    case rollout_state::reverted:
        return version_choice::others_only;
    case rollout_state::in_progress:
        return chosen;
    }
    return chosen;
}

version_choice current_choice(const rollout_watch& watch, version_choice chosen,
                              const std::optional<version_name>& chosen_for)
{
    return watch.current_choice(chosen_for == watch.order().target ? chosen : version_choice::others_only);
}

/// @return the time beyond which an answer is slow, or nothing while too few answers are known.
static std::optional<duration> slow_limit(const recent_times& usual, double factor)
{
    if (usual.times.size() < min_usual_times) {
        return std::nullopt;
    }
    const std::chrono::duration<double> limit{factor * *median(usual.times)};
    return std::chrono::duration_cast<duration>(limit);
}

std::optional<duration> rollout_watch::first_byte_limit(const std::string& group) const
{
    const auto usual = usual_times_.find(group);
    if (usual == usual_times_.end()) {
        return std::nullopt;
    }
    const bool has_streams = usual->second.event_interval.times.size() >= min_usual_times;
    return slow_limit(usual->second.first_byte,
                      has_streams ? settings_.slow_stream_begin_factor : settings_.slow_factor);
}

std::optional<bool> rollout_watch::judge_time(const observed_answer& answer) const
{
    const auto first_byte = first_byte_limit(answer.group);
    if (!first_byte || !answer.has_usual_times) {
        return std::nullopt;
    }
    if (answer.first_byte > *first_byte) {
        return true;
    }
    const auto interval = slow_limit(usual_times_.at(answer.group).event_interval, settings_.slow_pace_factor);
    if (!interval) {
        return false;
    }
    return answer.event_interval ? std::optional{*answer.event_interval > *interval} : std::nullopt;
}

bool rollout_watch::is_slow(const observed_answer& answer) const
{
    return judge_time(answer).value_or(false);
}

bool rollout_watch::note_answer(const observed_answer& answer, steady_time now)
{
    if (state_ != rollout_state::in_progress) {
        return false;
    }
    const auto judged_slow = judge_time(answer);
    const bool slow = judged_slow.value_or(false);
    failures_.record(answer.route, answer.by_target, answer.good, now);
    if (judged_slow && (answer.good || slow)) {
        slowness_.record(answer.route, answer.by_target, !slow, now);
    }
    if (answer.by_target && (!answer.good || slow)) {
        last_bad_at_ = now;
    }
    if (!answer.by_target && answer.good && answer.has_usual_times) {
        update_usual_times(answer);
    }
    verdict_current_ = false;
    return slow;
}

/// Adds an answer of the old version to the times of its group.
void rollout_watch::update_usual_times(const observed_answer& answer)
{
    usual_times& usual = usual_times_[answer.group];
    note_time(usual.first_byte, answer.first_byte);
    if (answer.event_interval) {
        note_time(usual.event_interval, *answer.event_interval);
    }
}

/// Updates the verdicts from all known answers, once for all answers that arrived since the last call.
void rollout_watch::update_verdict(steady_time now)
{
    if (std::exchange(verdict_current_, true)) {
        return;
    }
    const bool fails = failures_.update().stop;
    const bool is_slow = slowness_.update().stop;
    if (!fails && !is_slow) {
        stop_since_.reset();
    }
    else if (!stop_since_) {
        stop_since_ = now;
    }
}

void rollout_watch::apply_evidence(const rollout_evidence& evidence, steady_time now)
{
    const bool is_of_earlier_order = evidence.order_position && precedes(*evidence.order_position, order_.position);
    if (evidence.vm == own_id_ || evidence.target != order_.target || is_of_earlier_order) {
        return;
    }
    const bool new_failures = failures_.merge(evidence.vm, evidence.failures);
    const bool new_slow = slowness_.merge(evidence.vm, evidence.slowness);
    if (new_failures || new_slow) {
        last_bad_at_ = now;
    }
    pinned_sessions_.insert(evidence.pinned_sessions.begin(), evidence.pinned_sessions.end());
    verdict_current_ = false;
}

/// @return all answers of the target; bad are those that failed and those that were slow.
static answer_tally sum_of_target(const rollout_evidence& evidence)
{
    answer_tally sum;
    for (std::size_t i = 0; i < rollout_classes; ++i) {
        sum += evidence.failures.classes[i].target;
        sum.bad += evidence.slowness.classes[i].target.bad;
    }
    return sum;
}

std::optional<rollout_evidence> rollout_watch::next_evidence(steady_time now)
{
    if (state_ != rollout_state::in_progress) {
        return std::nullopt;
    }
    rollout_evidence evidence;
    evidence.failures = failures_.own_counts();
    evidence.slowness = slowness_.own_counts();
    const answer_tally target = sum_of_target(evidence);
    // After a bad answer, good ones are reported at the same interval as bad ones; otherwise the version would look
    // worse than it is.
    const bool recently_bad = last_bad_at_ && now - *last_bad_at_ < settings_.good_evidence_interval;
    const auto good_interval = recently_bad ? settings_.evidence_interval : settings_.good_evidence_interval;
    const bool new_bad =
        target.bad > sent_target_answers_.bad && (!sent_at_ || now - *sent_at_ >= settings_.evidence_interval);
    const bool new_good = last_bad_at_ && target.total() > sent_target_answers_.total() &&
                          (!sent_at_ || now - *sent_at_ >= good_interval);
    const bool new_pinned = own_pinned_sessions_.size() > sent_pinned_count_ &&
                            (!sent_at_ || now - *sent_at_ >= settings_.evidence_interval);
    if (!new_bad && !new_good && !new_pinned) {
        return std::nullopt;
    }
    sent_target_answers_ = target;
    sent_at_ = now;
    sent_pinned_count_ = own_pinned_sessions_.size();
    evidence.vm = own_id_;
    evidence.service = order_.service;
    evidence.target = order_.target;
    evidence.order_position = order_.position;
    evidence.failures.others_concurrent = failures_.take_unsent_old_answers(now);
    evidence.slowness.others_concurrent = slowness_.take_unsent_old_answers(now);
    evidence.pinned_sessions = own_pinned_sessions_;
    return evidence;
}

std::optional<rollout_report> rollout_watch::next_report(steady_time now, bool target_serves, bool is_reader)
{
    const auto delay = report_delay_ / 2 + (is_reader ? std::chrono::milliseconds{0} : settings_.report_spread / 2);
    if (state_ != rollout_state::in_progress) {
        const bool is_due = is_report_missing() && now - *restored_at_ >= settings_.repeated_report_delay + delay;
        return is_due ? std::optional{rollout_report{order_.service, order_.target, state_, order_.position, {}}}
                      : std::nullopt;
    }
    update_verdict(now);
    if (stop_since_) {
        // VMs that are not readers wait longer: only the first report is accepted, so theirs would be refused.
        if (now - *stop_since_ < settings_.revert_delay + (is_reader ? std::chrono::milliseconds{0} : delay)) {
            return std::nullopt;
        }
        return rollout_report{order_.service, order_.target, rollout_state::reverted, order_.position, {}};
    }
    const auto share_of_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(order_.time * settings_.finish_lead_fraction);
    // A version whose faults show only under full load is exposed to all requests from here on.
    const double max_lead_share = settings_.max_exposed_share - settings_.exposed_share - exposure_margin;
    const auto max_lead =
        std::chrono::duration_cast<std::chrono::milliseconds>(order_.time * std::max(0.0, max_lead_share));
    const auto finish_lead =
        std::min(std::max(settings_.min_finish_lead, share_of_time) + settings_.report_spread, max_lead);
    if (now - started_ < order_.time - finish_lead + delay) {
        return std::nullopt;
    }
    const double evidence = std::max(failures_.verdict().evidence, slowness_.verdict().evidence);
    if (evidence >= settings_.max_completion_evidence) {
        return rollout_report{order_.service, order_.target, rollout_state::reverted, order_.position, {}};
    }
    if (target_serves) {
        return rollout_report{order_.service, order_.target, rollout_state::complete, order_.position, {}};
    }
    return std::nullopt;
}

} // namespace agatespar
