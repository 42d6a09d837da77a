// Rate of events, and the waiting time that follows from it by Little's law.
#include <agatespar/routing/start_rate.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// The share of the slack (the time to the deadline minus the service time) that the estimated waiting time may use. The
// rest is a margin, as the estimate is rough.
static constexpr double usable_slack_share = 0.7;
// This many queued requests are admitted whatever the estimated wait, as a rate estimated from few starts is uncertain.
static constexpr std::size_t min_queue_capacity = 2;
static constexpr std::chrono::milliseconds min_retry_after{200};
static constexpr std::chrono::milliseconds max_retry_after{60'000};

static double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double start_rate::per_second(steady_time now) const
{
    return events_ * std::exp(-seconds(now - updated_) / seconds(time_constant_)) / seconds(time_constant_);
}

void start_rate::count(steady_time now)
{
    events_ = per_second(now) * seconds(time_constant_) + 1;
    updated_ = now;
}

admission_verdict evaluate_wait(std::size_t queued, double starts_per_second, duration slack)
{
    const double slack_s = seconds(slack);
    admission_verdict verdict;
    const double wait_s = starts_per_second > 0 ? static_cast<double>(queued + 1) / starts_per_second : 0;
    verdict.expected_wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>{std::min(wait_s, 1e6)});
    const bool fits = slack_s > 0 && wait_s <= usable_slack_share * slack_s;
    verdict.in_time = fits && starts_per_second > 0;
    verdict.admitted = slack_s > 0 && (fits || queued < min_queue_capacity);
    if (verdict.admitted)
        return verdict;
    const double excess_wait_s = std::max(0.0, wait_s - usable_slack_share * std::max(0.0, slack_s));
    verdict.retry_after = std::clamp(std::chrono::milliseconds{static_cast<std::int64_t>(excess_wait_s * 1000)},
                                     min_retry_after, max_retry_after);
    return verdict;
}

} // namespace agatespar
