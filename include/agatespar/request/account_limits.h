// Holds client accounts to their rate of requests, each VM to its share of it.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <cstddef>
#include <unordered_map>

namespace agatespar {

/// One token bucket for each client account. The balancer spreads callers over the VMs, so each VM gives an equal share
/// of the account's rate; no message is needed for it.
class account_limits {
public:
    /// Sets over how many VMs the rates are spread.
    void set_vms(std::size_t count) { vms_ = count == 0 ? 1 : count; }

    /// Takes one request from an account's bucket.
    /// @return overloaded with the time to the next token, "not run", if the bucket is empty.
    outcome<void> take(const client_account_id& account, const client_account_settings& settings, steady_time now);

private:
    struct bucket {
        double tokens{0.0};
        steady_time filled;
    };

    std::size_t vms_{1};
    std::unordered_map<client_account_id, bucket> buckets_;
};

} // namespace agatespar
