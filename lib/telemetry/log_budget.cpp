// Token bucket whose lower part is reserved for lines about failures.
#include <agatespar/telemetry/log_budget.h>

#include <algorithm>
#include <utility>

namespace agatespar {

bool log_budget::take(bool ordinary, steady_time now)
{
    const double elapsed = std::chrono::duration<double>(now - filled_).count();
    left_ = std::min(settings_.burst, left_ + elapsed * settings_.lines_per_second);
    filled_ = now;
    const double kept = ordinary ? settings_.burst * settings_.ordinary_part : 0;
    if (left_ < kept + 1) {
        ++dropped_;
        return false;
    }
    left_ -= 1;
    return true;
}

std::uint64_t log_budget::take_dropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace agatespar
