// Limits the request rate of each client account. Each VM enforces its share of the rate.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <cstddef>
#include <unordered_map>

namespace agatespar {

/// One token bucket for each client account. The load balancer spreads callers evenly over the VMs, so each VM grants
/// an equal share of the account's rate without exchanging messages with other VMs.
class account_limits {
public:
    /// Sets the number of VMs that share each account's rate.
    void set_vms(std::size_t count) { vms_ = count == 0 ? 1 : count; }

    /// Takes one token from an account's bucket. An account without a configured rate is not limited.
    /// @return overloaded with run_state::not_run and the time until the next token if the bucket is empty.
    outcome<void> take(const client_account_id& account, const client_account_settings& settings, steady_time now);

private:
    struct bucket {
        double tokens{0.0};
        steady_time refilled_at;
    };

    std::size_t vms_{1};
    std::unordered_map<client_account_id, bucket> buckets_;
};

} // namespace agatespar
