// Limits the rate of log lines; ordinary lines are dropped before those about failures.
#pragma once

#include <agatespar/support/clock.h>

#include <cstdint>

namespace agatespar {

struct log_budget_settings {
    /// Sustained rate of lines. A VM serves some twenty requests a second at peak, with one line each; the rest is for
    /// the many changes of state during a failure.
    double lines_per_second{100};
    /// Maximum number of unused lines that accumulate and may be written at once.
    double burst{300};
    /// Fraction of the burst that is reserved for lines about failures. Ordinary lines are written only while more than
    /// this is left.
    double reserved_fraction{0.5};
};

/// Token bucket that decides, before a line is built, whether it is written.
class log_budget {
public:
    explicit log_budget(const log_budget_settings& settings = {}) : settings_(settings), tokens_(settings.burst) {}

    /// @param ordinary the line reports an expected outcome, not a failure. @return whether to write the line; dropped
    /// lines are counted.
    bool take(bool ordinary, steady_time now);
    /// @return the number of lines dropped since the last call.
    std::uint64_t take_dropped();

private:
    log_budget_settings settings_;
    double tokens_;
    steady_time refilled_at_;
    std::uint64_t dropped_{0};
};

} // namespace agatespar
