// Bounds retries to a share of the fresh traffic, and spaces them.
#pragma once

#include <agatespar/support/clock.h>

#include <optional>
#include <random>

namespace agatespar {

/// How retries are bounded and spaced.
struct retry_settings {
    /// Retries per fresh request, over time.
    double share{0.08};
    /// Retries that may be saved up for a burst of failures.
    double burst{10};
    duration first_delay{std::chrono::milliseconds{20}};
    duration longest_delay{std::chrono::seconds{2}};
    int most_attempts{4};
};

/// A token bucket that fresh requests fill and retries empty.
class retry_budget {
public:
    explicit retry_budget(const retry_settings& settings = {});

    /// Counts a request that was not sent before.
    void on_fresh_request();
    /// Plans the next attempt of an idempotent or not started request, and takes it from the budget.
    /// @param attempts how many were made already. @param needed the time that an attempt is predicted to take.
    /// @return the delay with full jitter, or none if the budget, the attempts or the time to the deadline are used up.
    std::optional<duration> plan_retry(int attempts, duration needed, steady_time deadline, steady_time now,
                                       std::mt19937_64& random);

private:
    retry_settings settings_;
    double tokens_;
};

} // namespace agatespar
