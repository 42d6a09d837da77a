// Limits how many requests wait for a free server, and for how long.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <cstddef>

namespace agatespar {

/// Interval at which a waiting request retries routing.
inline constexpr std::chrono::milliseconds wait_retry_interval{200};

/// Counts the waiting requests of this VM and decides which refused requests may wait.
class wait_limiter {
public:
    /// Decides whether a refused request may wait. Most refusals end within seconds: a new owner of a server issues no
    /// permits for some seconds, and unused permits of other VMs expire within seconds.
    /// @param refusal the reason of the refusal.
    /// @param since time at which the request started to wait, or `now` if it does not wait yet.
    /// @param already_waiting whether the request has started to wait, and is counted already.
    bool may_wait(const error& refusal, steady_time since, bool already_waiting, steady_time deadline,
                  steady_time now) const;

    void begin_wait() { ++waiting_; }
    void end_wait() { --waiting_; }
    std::size_t waiting() const { return waiting_; }

private:
    std::size_t waiting_{0};
};

} // namespace agatespar
