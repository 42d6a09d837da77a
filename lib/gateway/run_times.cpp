// Learns the run times of a service's requests from complete answers, and derives the lifetime of load reports.
#include <agatespar/gateway/run_times.h>

#include <algorithm>

namespace agatespar {

// After this many mean run times, nearly all of the requests that a report counted have ended: one in twenty runs for
// three times the mean or longer if run times are distributed exponentially.
static constexpr double lifetime_in_run_times = 3;
// Reports of different servers arrive some ten milliseconds apart; with a shorter lifetime none would count.
static constexpr std::chrono::milliseconds min_lifetime{100};
// Streams last some seconds, and no request is known to run much longer.
static constexpr std::chrono::milliseconds max_lifetime{4000};
// Below this weight, the last answers are so old (some 30 s) that the class counts as not in use.
static constexpr double min_weight = 1.0 / 64;

void note_run_time(service_run_times& times, request_kind kind, duration run_time, steady_time now)
{
    decaying_average& average = kind == request_kind::streaming ? times.streaming : times.plain;
    note_value(average, std::chrono::duration<double>(run_time).count(), now);
}

duration load_report_lifetime(const service_run_times& times, steady_time now)
{
    double longest = 0;
    for (const decaying_average* average : {&times.plain, &times.streaming}) {
        if (weight_at(*average, now) >= min_weight) {
            longest = std::max(longest, mean_at(*average, 0, 0, now));
        }
    }
    if (longest <= 0) {
        return max_lifetime;
    }
    const std::chrono::duration<double> lifetime{longest * lifetime_in_run_times};
    return std::clamp<duration>(std::chrono::duration_cast<duration>(lifetime), min_lifetime, max_lifetime);
}

} // namespace agatespar
