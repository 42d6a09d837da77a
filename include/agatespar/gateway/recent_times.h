// Recent durations of one kind, and their median.
#pragma once

#include <agatespar/support/clock.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace agatespar {

/// @return the lower median, or nothing for no durations.
std::optional<duration> median(std::vector<duration> times);

/// The last durations that were noted, up to a fixed number.
struct recent_times {
    std::vector<duration> times;
    /// Where the next one is written once `times` has its full size.
    std::size_t next{0};
};

/// Notes a duration in place of the oldest one.
void note_time(recent_times& recent, duration time);

} // namespace agatespar
