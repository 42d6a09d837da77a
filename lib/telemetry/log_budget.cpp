// Token bucket whose lower part is reserved for lines about failures.
#include <agatespar/telemetry/log_budget.h>

#include <algorithm>
#include <utility>

namespace agatespar {

bool log_budget::take(bool ordinary, steady_time now)
{
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(settings_.burst, tokens_ + elapsed * settings_.lines_per_second);
    refilled_at_ = now;
    const double reserved_tokens = ordinary ? settings_.burst * settings_.reserved_fraction : 0;
    if (tokens_ < reserved_tokens + 1) {
        ++dropped_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::uint64_t log_budget::take_dropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace agatespar
