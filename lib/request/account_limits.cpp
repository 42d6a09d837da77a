// Token buckets that limit the request rates of client accounts.
#include <agatespar/request/account_limits.h>

#include <algorithm>

namespace agatespar {

outcome<void> account_limits::take(const client_account_id& account, const client_account_settings& settings,
                                   steady_time now)
{
    if (!settings.rate) {
        buckets_.erase(account);
        return {};
    }
    const double rate = settings.rate->requests_per_second / static_cast<double>(vms_);
    // A bucket that holds less than one token would never admit a request.
    const double burst = std::max(1.0, settings.rate->burst / static_cast<double>(vms_));
    const auto [entry, inserted] = buckets_.try_emplace(account, bucket{burst, now});
    bucket& current = entry->second;
    const double elapsed = std::chrono::duration<double>(now - current.refilled_at).count();
    current.tokens = std::min(burst, current.tokens + elapsed * rate);
    current.refilled_at = now;
    if (current.tokens >= 1.0) {
        current.tokens -= 1.0;
        return {};
    }
    const std::chrono::duration<double> wait{(1.0 - current.tokens) / rate};
    return tl::make_unexpected(error{error_code::overloaded, "the client account's request rate is exceeded",
                                     run_state::not_run, std::chrono::ceil<std::chrono::milliseconds>(wait)});
}

} // namespace agatespar
