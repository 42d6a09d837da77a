// Bounds the volume of log lines over time, and sheds ordinary ones before those about failures.
#pragma once

#include <agatespar/support/clock.h>

#include <cstdint>

namespace agatespar {

struct log_budget_settings {
    /// Lines that may be written over time. A VM serves some twenty requests a second at peak, one line each; the rest
    /// is for changes of belief in a storm.
    double lines_per_second{100};
    /// Lines that may be saved up, and be written at once.
    double burst{300};
    /// Ordinary lines are written only while more than this part of the burst is left.
    double ordinary_part{0.5};
};

/// Decides before a line is built whether it will be written.
class log_budget {
public:
    explicit log_budget(const log_budget_settings& settings = {}) : settings_(settings), left_(settings.burst) {}

    /// @param ordinary the line tells what was expected. @return whether to write it; one that is not is counted.
    bool take(bool ordinary, steady_time now);
    /// @return lines that were not written since the last call.
    std::uint64_t take_dropped();

private:
    log_budget_settings settings_;
    double left_;
    steady_time filled_;
    std::uint64_t dropped_{0};
};

} // namespace agatespar
