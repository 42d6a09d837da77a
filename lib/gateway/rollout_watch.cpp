// Keeps a new version at a small share until its deadline is near, and stops it when it answers worse.
#include <agatespar/gateway/rollout_watch.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <array>

namespace agatespar {

static constexpr version_index others_index{0};
static constexpr version_index target_index{1};
static constexpr std::size_t versions = 2;
// All answers are weighed as one class: a service's routes have like shares of errors while it is sound.
static constexpr class_index only_class{0};
// Weight of the newest answer in the usual time of a group: some twenty answers are remembered.
static constexpr double newest_weight = 0.05;
// Stretches that the last moments are kept in: their length is off by one of them at most.
static constexpr int beside_stretches = 10;
// A good version may look bad for a moment, until its good answers are told of.
static constexpr guard_settings guard_with_confirmation{.holds = false};

rollout_watch::rollout_watch(const rollout_order& order, const rollout_settings& settings, std::uint64_t own,
                             const std::vector<session_hash>& under_way, steady_time now)
    : order_(order), settings_(settings), own_(own), started_(now), counts_(boot_id{own}, versions, 1),
      guard_(guard_with_confirmation, target_index, others_index), staying_(under_way.begin(), under_way.end()),
      own_staying_(under_way)
{
    const std::uint64_t place = combine_hashes(own, stable_hash(order.service.value()));
    own_delay_ = std::chrono::milliseconds{place % static_cast<std::uint64_t>(settings_.report_spread.count())};
}

void rollout_watch::take_report(const rollout_report& report)
{
    if (report.target == order_.target && state_ == rollout_state::in_progress) {
        state_ = report.state;
    }
}

version_choice rollout_watch::choose(double draw, std::optional<session_hash> session, steady_time now)
{
    if (state_ == rollout_state::complete) {
        return version_choice::target_only;
    }
    const double place = session ? place_of_session(*session) : draw;
    if (state_ == rollout_state::reverted || place >= settings_.exposed_share) {
        return version_choice::others_only;
    }
    if (now - started_ < settings_.exposure_delay) {
        if (session && staying_.insert(*session).second) {
            // The others are told too: the session's next request may come to any of them.
            own_staying_.push_back(*session);
        }
        return version_choice::others_only;
    }
    return session && staying_.contains(*session) ? version_choice::others_only : version_choice::prefer_target;
}

version_choice rollout_watch::confirm(version_choice chosen) const
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

void rollout_watch::note_answer(bool by_target, const std::string& group, bool good, duration first_byte,
                                steady_time now)
{
    if (state_ != rollout_state::in_progress) {
        return;
    }
    const double seconds = std::chrono::duration<double>(first_byte).count();
    auto usual = usual_seconds_.find(group);
    if (by_target) {
        const bool slow = usual != usual_seconds_.end() && first_byte > settings_.slow_floor &&
                          seconds > settings_.slow_factor * usual->second;
        counts_.record(target_index, only_class, good && !slow);
        if (!good || slow) {
            bad_at_ = now;
        }
    }
    else {
        counts_.record(others_index, only_class, good);
        note_beside(good, now);
        if (good) {
            usual = usual_seconds_.emplace(group, seconds).first;
            usual->second += newest_weight * (seconds - usual->second);
        }
    }
    weighed_ = false;
}

/// Counts an answer of the old version that this VM saw.
void rollout_watch::note_beside(bool good, steady_time now)
{
    ++(good ? beside_.good : beside_.bad);
    if (untold_beside_.empty() || now - untold_beside_.back().begin >= settings_.beside_time / beside_stretches) {
        untold_beside_.push_back({now, {}});
    }
    ++(good ? untold_beside_.back().answers.good : untold_beside_.back().answers.bad);
    while (now - untold_beside_.front().begin > settings_.beside_time) {
        untold_beside_.pop_front();
    }
}

/// @return the old version's answers to tell of beside the new one's.
answer_tally rollout_watch::take_beside(steady_time now)
{
    answer_tally sum;
    for (const dated_tally& each : std::exchange(untold_beside_, {})) {
        if (now - each.begin <= settings_.beside_time) {
            sum.good += each.answers.good;
            sum.bad += each.answers.bad;
        }
    }
    return sum;
}

/// Judges the new version by all that is known, once for all answers that came since.
void rollout_watch::weigh(steady_time now)
{
    if (std::exchange(weighed_, true)) {
        return;
    }
    if (!guard_.update(counts_, beside_).stop) {
        stop_seen_.reset();
    }
    else if (!stop_seen_) {
        stop_seen_ = now;
    }
}

void rollout_watch::take_evidence(const rollout_evidence& evidence, steady_time now)
{
    if (evidence.vm == own_ || evidence.target != order_.target) {
        return;
    }
    const std::array<answer_tally, versions> row{answer_tally{evidence.others_good, evidence.others_bad},
                                                 answer_tally{evidence.target_good, evidence.target_bad}};
    const answer_tally target_before = counts_.total(target_index, only_class);
    const answer_tally others_before = counts_.total(others_index, only_class);
    counts_.merge(boot_id{evidence.vm}, row);
    if (counts_.total(target_index, only_class).bad > target_before.bad) {
        bad_at_ = now;
    }
    // A row may come again.
    if (counts_.total(others_index, only_class) != others_before) {
        beside_.good += evidence.others_good_beside;
        beside_.bad += evidence.others_bad_beside;
    }
    staying_.insert(evidence.staying.begin(), evidence.staying.end());
    weighed_ = false;
}

std::optional<rollout_evidence> rollout_watch::next_evidence(steady_time now)
{
    if (state_ != rollout_state::in_progress) {
        return std::nullopt;
    }
    const auto row = counts_.own_row();
    const answer_tally& target = row[target_index.value()];
    // Right after a bad answer the good ones count as soon, or the version would look worse than it is.
    const bool just_bad = bad_at_ && now - *bad_at_ < settings_.calm_evidence_pause;
    const auto good_pause = just_bad ? settings_.evidence_pause : settings_.calm_evidence_pause;
    const bool new_bad = target.bad > told_.bad && (!told_at_ || now - *told_at_ >= settings_.evidence_pause);
    const bool new_good = bad_at_ && target.total() > told_.total() && (!told_at_ || now - *told_at_ >= good_pause);
    const bool new_staying =
        own_staying_.size() > told_staying_ && (!told_at_ || now - *told_at_ >= settings_.evidence_pause);
    if (!new_bad && !new_good && !new_staying) {
        return std::nullopt;
    }
    told_ = target;
    told_at_ = now;
    told_staying_ = own_staying_.size();
    rollout_evidence evidence;
    evidence.vm = own_;
    evidence.service = order_.service;
    evidence.target = order_.target;
    evidence.others_good = row[others_index.value()].good;
    evidence.others_bad = row[others_index.value()].bad;
    const answer_tally beside = take_beside(now);
    evidence.others_good_beside = beside.good;
    evidence.others_bad_beside = beside.bad;
    evidence.target_good = target.good;
    evidence.target_bad = target.bad;
    evidence.staying = own_staying_;
    return evidence;
}

std::optional<rollout_report> rollout_watch::next_report(steady_time now, bool target_serves, bool reads_store)
{
    if (state_ != rollout_state::in_progress) {
        return std::nullopt;
    }
    weigh(now);
    const auto delay = own_delay_ / 2 + (reads_store ? std::chrono::milliseconds{0} : settings_.report_spread / 2);
    if (stop_seen_) {
        // The others would be refused: only the first report is taken.
        if (now - *stop_seen_ < settings_.confirm_time + (reads_store ? std::chrono::milliseconds{0} : delay)) {
            return std::nullopt;
        }
        return rollout_report{order_.service, order_.target, rollout_state::reverted};
    }
    const auto share_of_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(order_.time * settings_.finish_share);
    const auto finish_time = std::max(settings_.least_finish, share_of_time) + settings_.report_spread;
    if (target_serves && now - started_ >= order_.time - finish_time + delay) {
        return rollout_report{order_.service, order_.target, rollout_state::complete};
    }
    return std::nullopt;
}

} // namespace agatespar
