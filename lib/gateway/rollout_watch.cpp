// Limits a new version to a small share of the traffic until shortly before its deadline, and reverts it if its answers
// are worse.
#include <agatespar/gateway/rollout_watch.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <array>

namespace agatespar {

static constexpr version_index others_index{0};
static constexpr version_index target_index{1};
static constexpr std::size_t versions = 2;
// Weight of the newest answer in a group's moving average of answer times: about twenty answers contribute.
static constexpr double newest_weight = 0.05;
// Paces are compared once this many streams of the old version contribute to the average.
static constexpr int min_streams = 3;
// Intervals that comparison_window is divided into: its effective length is off by one interval at most.
static constexpr int comparison_intervals = 10;
// Part of the operators' limit on exposed requests that is left for their uneven arrival.
static constexpr double exposure_margin = 0.01;
// A stop is not final, as a good version may look bad for a moment, until its good answers are reported.
static constexpr guard_settings non_latching_guard{.stop_is_permanent = false};

static class_index class_at(std::size_t index)
{
    return class_index{static_cast<std::uint8_t>(index)};
}

/// @return the class of a route, equal on all VMs. Routes of one service may fail at very different rates, so the
/// versions are compared route by route.
static class_index class_of_route(const std::string& route)
{
    return class_at(stable_hash(route) % rollout_classes);
}

rollout_watch::rollout_watch(const rollout_order& order, const rollout_settings& settings, std::uint64_t own_id,
                             const std::vector<session_hash>& active_sessions, steady_time now)
    : order_(order), settings_(settings), own_id_(own_id), started_(now),
      counts_(boot_id{own_id}, versions, rollout_classes), guard_(non_latching_guard, target_index, others_index),
      pinned_sessions_(active_sessions.begin(), active_sessions.end()), own_pinned_sessions_(active_sessions)
{
    const std::uint64_t position = combine_hashes(own_id, stable_hash(order.service.value()));
    report_delay_ = std::chrono::milliseconds{position % static_cast<std::uint64_t>(settings_.report_spread.count())};
}

void rollout_watch::apply_report(const rollout_report& report)
{
    if (report.target == order_.target && state_ == rollout_state::in_progress) {
        state_ = report.state;
    }
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

static double in_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::optional<duration> rollout_watch::first_byte_limit(const std::string& group) const
{
    const auto usual = usual_times_.find(group);
    if (usual == usual_times_.end()) {
        return std::nullopt;
    }
    const std::chrono::duration<double> limit{settings_.slow_factor * usual->second.first_byte};
    return std::max<duration>(settings_.slow_floor, std::chrono::duration_cast<duration>(limit));
}

bool rollout_watch::is_slow(const observed_answer& answer) const
{
    // The old version's first bytes are not judged: under load, some take many times as long as the average.
    const auto limit = answer.by_target ? first_byte_limit(answer.group) : std::nullopt;
    if (limit && answer.first_byte > *limit) {
        return true;
    }
    const auto usual = usual_times_.find(answer.group);
    if (!answer.event_interval || usual == usual_times_.end() || usual->second.streams < min_streams) {
        return false;
    }
    return *answer.event_interval > settings_.slow_pace_floor &&
           in_seconds(*answer.event_interval) > settings_.slow_pace_factor * usual->second.event_interval;
}

bool rollout_watch::note_answer(const observed_answer& answer, steady_time now)
{
    if (state_ != rollout_state::in_progress) {
        return false;
    }
    const bool slow = is_slow(answer);
    const bool good = answer.good && !slow;
    if (answer.by_target) {
        counts_.record(target_index, class_of_route(answer.route), good);
        if (!good) {
            last_bad_at_ = now;
        }
    }
    else {
        counts_.record(others_index, class_of_route(answer.route), good);
        note_old_version_answer(good, now);
        if (answer.good) {
            update_usual_times(answer);
        }
    }
    verdict_current_ = false;
    return slow;
}

/// Adds an answer of the old version to the averages of its group.
void rollout_watch::update_usual_times(const observed_answer& answer)
{
    const double first_byte = in_seconds(answer.first_byte);
    usual_times& usual = usual_times_.try_emplace(answer.group, usual_times{first_byte, 0, 0}).first->second;
    usual.first_byte += newest_weight * (first_byte - usual.first_byte);
    if (!answer.event_interval) {
        return;
    }
    const double interval = in_seconds(*answer.event_interval);
    const double weight = std::max(newest_weight, 1.0 / ++usual.streams);
    usual.event_interval += weight * (interval - usual.event_interval);
}

/// Counts an answer of the old version that this VM received.
void rollout_watch::note_old_version_answer(bool good, steady_time now)
{
    ++(good ? concurrent_old_answers_.good : concurrent_old_answers_.bad);
    if (unsent_old_answers_.empty() ||
        now - unsent_old_answers_.back().begin >= settings_.comparison_window / comparison_intervals) {
        unsent_old_answers_.push_back({now, {}});
    }
    ++(good ? unsent_old_answers_.back().answers.good : unsent_old_answers_.back().answers.bad);
    while (now - unsent_old_answers_.front().begin > settings_.comparison_window) {
        unsent_old_answers_.pop_front();
    }
}

/// @return the old version's recent answers that have not been sent yet, and marks them as sent.
answer_tally rollout_watch::take_unsent_old_answers(steady_time now)
{
    answer_tally sum;
    for (const interval_tally& each : std::exchange(unsent_old_answers_, {})) {
        if (now - each.begin <= settings_.comparison_window) {
            sum += each.answers;
        }
    }
    return sum;
}

/// Updates the guard's verdict from all known answers, once for all answers that arrived since the last call.
void rollout_watch::update_verdict(steady_time now)
{
    if (std::exchange(verdict_current_, true)) {
        return;
    }
    if (!guard_.update(counts_, concurrent_old_answers_).stop) {
        stop_since_.reset();
    }
    else if (!stop_since_) {
        stop_since_ = now;
    }
}

void rollout_watch::apply_evidence(const rollout_evidence& evidence, steady_time now)
{
    if (evidence.vm == own_id_ || evidence.target != order_.target) {
        return;
    }
    std::array<answer_tally, versions * rollout_classes> row;
    for (std::size_t i = 0; i < rollout_classes; ++i) {
        row[counts_.tally_index(others_index, class_at(i))] = evidence.classes[i].others;
        row[counts_.tally_index(target_index, class_at(i))] = evidence.classes[i].target;
    }
    const answer_tally target_before = counts_.total(target_index);
    const answer_tally others_before = counts_.total(others_index);
    counts_.merge(boot_id{evidence.vm}, row);
    if (counts_.total(target_index).bad > target_before.bad) {
        last_bad_at_ = now;
    }
    // The same record may be received more than once.
    if (counts_.total(others_index) != others_before) {
        concurrent_old_answers_ += evidence.others_concurrent;
    }
    pinned_sessions_.insert(evidence.pinned_sessions.begin(), evidence.pinned_sessions.end());
    verdict_current_ = false;
}

std::optional<rollout_evidence> rollout_watch::next_evidence(steady_time now)
{
    if (state_ != rollout_state::in_progress) {
        return std::nullopt;
    }
    const auto row = counts_.own_row();
    rollout_evidence evidence;
    answer_tally target;
    for (std::size_t i = 0; i < rollout_classes; ++i) {
        evidence.classes[i].others = row[counts_.tally_index(others_index, class_at(i))];
        evidence.classes[i].target = row[counts_.tally_index(target_index, class_at(i))];
        target += evidence.classes[i].target;
    }
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
    evidence.others_concurrent = take_unsent_old_answers(now);
    evidence.pinned_sessions = own_pinned_sessions_;
    return evidence;
}

std::optional<rollout_report> rollout_watch::next_report(steady_time now, bool target_serves, bool is_reader)
{
    if (state_ != rollout_state::in_progress) {
        return std::nullopt;
    }
    update_verdict(now);
    const auto delay = report_delay_ / 2 + (is_reader ? std::chrono::milliseconds{0} : settings_.report_spread / 2);
    if (stop_since_) {
        // VMs that are not readers wait longer: only the first report is accepted, so theirs would be refused.
        if (now - *stop_since_ < settings_.revert_delay + (is_reader ? std::chrono::milliseconds{0} : delay)) {
            return std::nullopt;
        }
        return rollout_report{order_.service, order_.target, rollout_state::reverted};
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
    if (guard_.verdict().evidence >= settings_.max_completion_evidence) {
        return rollout_report{order_.service, order_.target, rollout_state::reverted};
    }
    if (target_serves) {
        return rollout_report{order_.service, order_.target, rollout_state::complete};
    }
    return std::nullopt;
}

} // namespace agatespar
