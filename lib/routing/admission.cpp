// Sheds requests before they queue for longer than their deadline bears.
#include <agatespar/routing/admission.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// The estimate of the wait is rough, so only this share of the time that is left is planned for.
static constexpr double planned_share_of_slack = 0.5;
// So many may always wait, as long as no start has been seen from which a rate could be taken.
static constexpr std::size_t always_admitted = 2;
static constexpr std::chrono::milliseconds shortest_retry_after{200};
static constexpr std::chrono::milliseconds longest_retry_after{60'000};

admission::admission(duration memory) : memory_(memory) {}

static double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// The starts counted decay over `memory`, so in a steady state they are the rate times the memory.
double admission::start_rate(const line& each, steady_time now) const
{
    return each.starts * std::exp(-seconds(now - each.updated) / seconds(memory_)) / seconds(memory_);
}

void admission::on_queued(class_index request_class)
{
    ++lines_[request_class.value()].queued;
}

void admission::on_dequeued(class_index request_class, bool started, steady_time now)
{
    line& each = lines_[request_class.value()];
    each.queued -= std::min<std::size_t>(each.queued, 1);
    if (!started)
        return;
    each.starts = start_rate(each, now) * seconds(memory_) + 1;
    each.updated = now;
}

admission_verdict admission::judge(class_index request_class, duration service, steady_time deadline,
                                   steady_time now) const
{
    const line& each = lines_[request_class.value()];
    const double rate = start_rate(each, now);
    admission_verdict verdict;
    const double wait_s = rate > 0 ? static_cast<double>(each.queued + 1) / rate : 0;
    verdict.expected_wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>{std::min(wait_s, 1e6)});
    const double slack_s = seconds(deadline - now - service);
    const bool in_time = slack_s > 0 && wait_s <= planned_share_of_slack * slack_s;
    verdict.admitted = slack_s > 0 && (in_time || each.queued < always_admitted);
    if (verdict.admitted)
        return verdict;
    const double too_long_s = std::max(0.0, wait_s - planned_share_of_slack * std::max(0.0, slack_s));
    verdict.retry_after = std::clamp(std::chrono::milliseconds{static_cast<std::int64_t>(too_long_s * 1000)},
                                     shortest_retry_after, longest_retry_after);
    return verdict;
}

} // namespace agatespar
