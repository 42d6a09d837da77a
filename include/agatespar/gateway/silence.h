// Decides how long to wait for a server that sends nothing.
#pragma once

#include <agatespar/gateway/service_map.h>
#include <agatespar/support/clock.h>

#include <optional>

namespace agatespar {

/// State of a request that waits for data from its server.
struct waiting_request {
    const service_route* route{nullptr};
    /// The server has begun to answer; an incomplete response head counts.
    bool answer_begun{false};
    /// When the request last made progress: when it was sent, when the first byte of a still incomplete head arrived,
    /// or when the last complete event arrived. Single bytes in between are no progress.
    steady_time since;
    /// When the server last sent data to this VM, for any request.
    steady_time server_last_received_at;
    /// Other servers of its zone cannot be reached, so a shorter silence is suspicious.
    bool zone_suspected{false};
    /// Probes that the server has answered since the request's last progress.
    int answered_probes{0};
    /// The client does not read what has arrived, so nothing more is read from the server.
    bool held_by_client{false};
    /// When the request has to be answered.
    steady_time deadline{steady_time::max()};
};

/// @return the time from now until the request has to be checked again, or nothing if it must not be retried.
std::optional<duration> next_check_delay(const waiting_request& request, steady_time now);

/// What to do with a request at the time of a check (see next_check_delay()).
enum class silence_action {
    /// Keep waiting.
    wait,
    /// Probe the server to find out whether it is up: a busy server makes its streams wait, too.
    probe,
    /// Retry the request or resume the stream on another server, even if this server may be healthy: the answer to a
    /// plain (non-streaming) request may be lost, or a stream may have stalled.
    switch_server,
};

silence_action evaluate_silence(const waiting_request& request, steady_time now);

} // namespace agatespar
