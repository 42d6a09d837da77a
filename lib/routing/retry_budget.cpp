// Bounds retries to a share of the fresh traffic, and spaces them.
#include <agatespar/routing/retry_budget.h>

#include <algorithm>

namespace agatespar {

retry_budget::retry_budget(const retry_settings& settings) : settings_(settings), tokens_(settings.burst) {}

void retry_budget::on_fresh_request()
{
    tokens_ = std::min(settings_.burst, tokens_ + settings_.share);
}

std::optional<duration> retry_budget::plan_retry(int attempts, duration needed, steady_time deadline, steady_time now,
                                                 std::mt19937_64& random)
{
    if (attempts >= settings_.most_attempts || tokens_ < 1)
        return std::nullopt;
    const int doublings = std::clamp(attempts - 1, 0, 20);
    const duration most = std::min<duration>(settings_.longest_delay, settings_.first_delay * (1LL << doublings));
    const duration delay{std::uniform_int_distribution<duration::rep>{0, most.count()}(random)};
    // Compared as differences, so that a deadline of "never" does not overflow.
    if (deadline - now < delay + needed)
        return std::nullopt;
    tokens_ -= 1;
    return delay;
}

} // namespace agatespar
