// Counts answers by class of route and feeds them to the guard.
#include <agatespar/gateway/version_comparison.h>
#include <agatespar/support/hash.h>

#include <utility>
#include <vector>

namespace agatespar {

static constexpr version_index others_index{0};
static constexpr version_index target_index{1};
static constexpr std::size_t versions = 2;
// Intervals that the window is divided into: its effective length is off by one interval at most.
static constexpr int window_intervals = 10;

version_comparison::version_comparison(const guard_settings& settings, std::size_t classes, std::uint64_t own_id,
                                       std::chrono::milliseconds window)
    : window_(window), counts_(boot_id{own_id}, versions, classes), guard_(settings, target_index, others_index)
{
}

void version_comparison::record(const std::string& route, bool by_target, bool good, steady_time now)
{
    // Equal on all VMs.
    const class_index route_class = class_at(stable_hash(route) % counts_.classes());
    counts_.record(by_target ? target_index : others_index, route_class, good);
    if (!by_target) {
        note_old_answer(good, now);
    }
}

void version_comparison::note_old_answer(bool good, steady_time now)
{
    ++(good ? concurrent_old_answers_.good : concurrent_old_answers_.bad);
    if (unsent_old_answers_.empty() || now - unsent_old_answers_.back().begin >= window_ / window_intervals) {
        unsent_old_answers_.push_back({now, {}});
    }
    ++(good ? unsent_old_answers_.back().answers.good : unsent_old_answers_.back().answers.bad);
    while (now - unsent_old_answers_.front().begin > window_) {
        unsent_old_answers_.pop_front();
    }
}

answer_tally version_comparison::take_unsent_old_answers(steady_time now)
{
    answer_tally sum;
    for (const interval_tally& each : std::exchange(unsent_old_answers_, {})) {
        if (now - each.begin <= window_) {
            sum += each.answers;
        }
    }
    return sum;
}

bool version_comparison::merge(std::uint64_t vm, const rollout_counts& counts)
{
    std::vector<answer_tally> row(versions * counts_.classes());
    for (std::size_t i = 0; i < counts_.classes(); ++i) {
        row[counts_.tally_index(others_index, class_at(i))] = counts.classes[i].others;
        row[counts_.tally_index(target_index, class_at(i))] = counts.classes[i].target;
    }
    const answer_tally target_before = counts_.total(target_index);
    const answer_tally others_before = counts_.total(others_index);
    counts_.merge(boot_id{vm}, row);
    // The same record may be received more than once.
    if (counts_.total(others_index) != others_before) {
        concurrent_old_answers_ += counts.others_concurrent;
    }
    return counts_.total(target_index).bad > target_before.bad;
}

rollout_counts version_comparison::own_counts() const
{
    const auto row = counts_.own_row();
    rollout_counts own;
    for (std::size_t i = 0; i < counts_.classes(); ++i) {
        own.classes[i].others = row[counts_.tally_index(others_index, class_at(i))];
        own.classes[i].target = row[counts_.tally_index(target_index, class_at(i))];
    }
    return own;
}

} // namespace agatespar
