// Keeps durations in a ring and finds their median.
#include <agatespar/gateway/recent_times.h>

#include <algorithm>

namespace agatespar {

// Bounds the work to find the median.
static constexpr std::size_t max_times = 64;

std::optional<duration> median(std::vector<duration> times)
{
    if (times.empty()) {
        return std::nullopt;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

void note_time(recent_times& recent, duration time)
{
    if (recent.times.size() < max_times) {
        recent.times.push_back(time);
        return;
    }
    recent.times[recent.next] = time;
    recent.next = (recent.next + 1) % max_times;
}

} // namespace agatespar
