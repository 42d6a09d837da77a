// Limits retries to a share of the new requests, and spaces them with exponential backoff.
#pragma once

#include <agatespar/support/clock.h>

#include <optional>
#include <random>

namespace agatespar {

/// The limits and delays of retries.
struct retry_settings {
    /// Number of retries per new request, averaged over time.
    double share{0.08};
    /// Number of retries that can be accumulated for a burst of failures.
    double burst{10};
    /// Upper bound of the delay of the first retry; it doubles with each further one.
    duration initial_delay{std::chrono::milliseconds{20}};
    duration max_delay{std::chrono::seconds{2}};
    /// Attempts per request, including the first one.
    int max_attempts{4};
};

/// A token bucket: each new request adds a fraction of a token, and each retry takes one.
class retry_budget {
public:
    explicit retry_budget(const retry_settings& settings = {});

    /// Adds the share of a new request, i.e. of a first attempt, to the budget.
    void on_new_request();
    /// Plans the next attempt of a request that is idempotent or did not start to run, and takes a token for it.
    /// @param attempts the number of attempts so far. @param attempt_duration the predicted duration of an attempt.
    /// @return the delay before the attempt, with full jitter; std::nullopt if the budget or the attempts are used up,
    /// or if the attempt would not finish before the deadline. No token is taken then.
    std::optional<duration> plan_retry(int attempts, duration attempt_duration, steady_time deadline, steady_time now,
                                       std::mt19937_64& random);

private:
    retry_settings settings_;
    double tokens_;
};

} // namespace agatespar
