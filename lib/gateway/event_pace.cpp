// Keeps the first intervals of a stream and finds their median.
#include <agatespar/gateway/event_pace.h>
#include <agatespar/gateway/recent_times.h>

#include <algorithm>

namespace agatespar {

// More intervals than this change the median little, and each stream in flight keeps its own.
static constexpr std::size_t max_intervals = 64;

void note_events(event_pace& pace, std::size_t count, steady_time now)
{
    if (pace.last_event_at) {
        const duration interval = (now - *pace.last_event_at) / static_cast<long>(count);
        const std::size_t room = max_intervals - pace.intervals.size();
        pace.intervals.insert(pace.intervals.end(), std::min(count, room), interval);
    }
    pace.last_event_at = now;
}

std::optional<duration> median_interval(const event_pace& pace)
{
    if (pace.intervals.size() < 2) {
        return std::nullopt;
    }
    return median(pace.intervals);
}

} // namespace agatespar
