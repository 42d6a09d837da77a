// How long requests typically run at the servers of a service, and so how long their load reports are valid.
#pragma once

#include <agatespar/gateway/decaying_average.h>
#include <agatespar/gateway/service_map.h>

#include <chrono>

namespace agatespar {

/// The half-life of the averages of run times: some seconds, as loads change within these.
inline constexpr std::chrono::milliseconds run_time_half_life{5000};

/// Typical run times of a service's requests, in seconds, by class.
struct service_run_times {
    /// From the send of a plain request to the end of its answer.
    decaying_average plain{run_time_half_life, 0, 0, {}};
    /// From the send of a streaming request to the end of its stream.
    decaying_average streaming{run_time_half_life, 0, 0, {}};
};

/// Records that a server has answered a request completely.
void note_run_time(service_run_times& times, request_kind kind, duration run_time, steady_time now);

/// @return the age at which a load report of a server of the service says nothing any more: a few run times of the
/// service's longest class; of streams of some seconds if no run time is known.
duration load_report_lifetime(const service_run_times& times, steady_time now);

} // namespace agatespar
