// Limits retries to a share of the new requests, and spaces them with exponential backoff.
#include <agatespar/routing/retry_budget.h>

#include <algorithm>

namespace agatespar {

retry_budget::retry_budget(const retry_settings& settings) : settings_(settings), tokens_(settings.burst) {}

void retry_budget::on_new_request()
{
    tokens_ = std::min(settings_.burst, tokens_ + settings_.share);
}

std::optional<duration> retry_budget::plan_retry(int attempts, duration attempt_duration, steady_time deadline,
                                                 steady_time now, std::mt19937_64& random)
{
    if (attempts >= settings_.max_attempts || tokens_ < 1)
        return std::nullopt;
    const int doublings = std::clamp(attempts - 1, 0, 20);
    const duration delay_limit = std::min<duration>(settings_.max_delay, settings_.initial_delay * (1LL << doublings));
    const duration delay{std::uniform_int_distribution<duration::rep>{0, delay_limit.count()}(random)};
    // Compares durations rather than points in time, so that a deadline of steady_time::max() does not overflow.
    if (deadline - now < delay + attempt_duration)
        return std::nullopt;
    tokens_ -= 1;
    return delay;
}

} // namespace agatespar
