// Admission control: refuses requests that would wait in the queue for longer than their deadline allows.
#include <agatespar/routing/admission.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// The share of the slack (the time to the deadline minus the service time) that the estimated waiting time may use. The
// rest is a margin, as the estimate is rough.
static constexpr double usable_slack_share = 0.7;
// This many queued requests are admitted whatever the estimated wait, as a rate estimated from few starts is uncertain.
static constexpr std::size_t min_queue_capacity = 2;
// Requests with more slack than this use the start rate with the long time constant.
static constexpr double long_slack_s = 60;
static constexpr std::chrono::milliseconds min_retry_after{200};
static constexpr std::chrono::milliseconds max_retry_after{60'000};

admission::admission(duration time_constant, duration long_time_constant)
    : time_constant_(time_constant), long_time_constant_(long_time_constant)
{
}

static double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double admission::rate(const decaying_count& count, duration time_constant, steady_time now)
{
    return count.starts * std::exp(-seconds(now - count.updated) / seconds(time_constant)) / seconds(time_constant);
}

void admission::count_start(decaying_count& count, duration time_constant, steady_time now)
{
    count.starts = rate(count, time_constant, now) * seconds(time_constant) + 1;
    count.updated = now;
}

void admission::on_started(class_index request_class, steady_time now)
{
    class_queue& each = queues_[request_class.value()];
    count_start(each.short_term, time_constant_, now);
    count_start(each.long_term, long_time_constant_, now);
}

void admission::on_queued(class_index request_class)
{
    ++queues_[request_class.value()].queued;
}

void admission::on_dequeued(class_index request_class, bool started, steady_time now)
{
    class_queue& each = queues_[request_class.value()];
    each.queued -= std::min<std::size_t>(each.queued, 1);
    if (started)
        on_started(request_class, now);
}

admission_verdict admission::evaluate(class_index request_class, duration service, steady_time deadline,
                                      steady_time now) const
{
    const class_queue& each = queues_[request_class.value()];
    const double slack_s = seconds(deadline - now - service);
    const double starts_per_s = slack_s > long_slack_s ? rate(each.long_term, long_time_constant_, now)
                                                       : rate(each.short_term, time_constant_, now);
    admission_verdict verdict;
    const double wait_s = starts_per_s > 0 ? static_cast<double>(each.queued + 1) / starts_per_s : 0;
    verdict.expected_wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>{std::min(wait_s, 1e6)});
    const bool in_time = slack_s > 0 && wait_s <= usable_slack_share * slack_s;
    verdict.admitted = slack_s > 0 && (in_time || each.queued < min_queue_capacity);
    if (verdict.admitted)
        return verdict;
    const double excess_wait_s = std::max(0.0, wait_s - usable_slack_share * std::max(0.0, slack_s));
    verdict.retry_after = std::clamp(std::chrono::milliseconds{static_cast<std::int64_t>(excess_wait_s * 1000)},
                                     min_retry_after, max_retry_after);
    return verdict;
}

} // namespace agatespar
