// Sheds requests before they queue for longer than their deadline bears.
#include <agatespar/routing/admission.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// The estimate of the wait is rough, so only this share of the time that is left is planned for.
static constexpr double planned_share_of_slack = 0.7;
// So many may always wait, as a rate that few starts show is uncertain.
static constexpr std::size_t always_admitted = 2;
// A request with more time than this to wait counts as patient.
static constexpr double patient_slack_s = 60;
static constexpr std::chrono::milliseconds shortest_retry_after{200};
static constexpr std::chrono::milliseconds longest_retry_after{60'000};

admission::admission(duration memory, duration patient_memory) : memory_(memory), patient_memory_(patient_memory) {}

static double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double admission::rate(const decaying_count& count, duration memory, steady_time now)
{
    return count.starts * std::exp(-seconds(now - count.updated) / seconds(memory)) / seconds(memory);
}

void admission::count_start(decaying_count& count, duration memory, steady_time now)
{
    count.starts = rate(count, memory, now) * seconds(memory) + 1;
    count.updated = now;
}

void admission::on_started(class_index request_class, steady_time now)
{
    line& each = lines_[request_class.value()];
    count_start(each.recent, memory_, now);
    count_start(each.lasting, patient_memory_, now);
}

void admission::on_queued(class_index request_class)
{
    ++lines_[request_class.value()].queued;
}

void admission::on_dequeued(class_index request_class, bool started, steady_time now)
{
    line& each = lines_[request_class.value()];
    each.queued -= std::min<std::size_t>(each.queued, 1);
    if (started)
        on_started(request_class, now);
}

admission_verdict admission::judge(class_index request_class, duration service, steady_time deadline,
                                   steady_time now) const
{
    const line& each = lines_[request_class.value()];
    const double slack_s = seconds(deadline - now - service);
    const double starts_per_s =
        slack_s > patient_slack_s ? rate(each.lasting, patient_memory_, now) : rate(each.recent, memory_, now);
    admission_verdict verdict;
    const double wait_s = starts_per_s > 0 ? static_cast<double>(each.queued + 1) / starts_per_s : 0;
    verdict.expected_wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>{std::min(wait_s, 1e6)});
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
