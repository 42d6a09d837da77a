// Measures how fast a server sends the events of a stream.
#pragma once

#include <agatespar/support/clock.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace agatespar {

/// The times between the first events of a stream.
struct event_pace {
    std::optional<steady_time> last_event_at;
    std::vector<duration> intervals;
};

/// Records events that became complete at the same time. They are taken as evenly spaced since the previous event, as
/// several arrive together if this VM or the network was busy.
/// @param count number of events, at least one.
void note_events(event_pace& pace, std::size_t count, steady_time now);

/// @return the lower median of the intervals, or nothing if there are fewer than two. Unlike the mean it does not
/// depend on the prompts of other requests that the server processes in between, nor on a pause: both lengthen few
/// intervals.
std::optional<duration> median_interval(const event_pace& pace);

} // namespace agatespar
