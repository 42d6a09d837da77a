// When a server that says nothing is no longer waited for.
#pragma once

#include <agatespar/gateway/service_map.h>
#include <agatespar/support/clock.h>

#include <optional>

namespace agatespar {

/// How a request that waits for its server stands.
struct waiting_request {
    const service_route* route{nullptr};
    /// The server has begun to answer, be it with a part of a head only.
    bool answer_begun{false};
    /// Since when the request has made no progress: its sending, the first byte of a head that is not whole yet, or the
    /// last whole event. A byte now and then is no progress.
    steady_time since;
    /// When the server last sent anything to this VM, for whichever request.
    steady_time server_heard;
    /// Other servers of its zone can't be reached, so its silence means more.
    bool zone_suspected{false};
    /// Probes that the server has answered since this request's last progress.
    int answered_probes{0};
    /// Its client does not take what came, so nothing more is read from the server.
    bool held_by_client{false};
};

/// @return how long from now to look again whether the request is still worth waiting for, or nothing if it must not
/// be repeated.
std::optional<duration> next_look(const waiting_request& request, steady_time now);

/// What to do with a request at the time that next_look() told.
enum class silence_verdict {
    /// Wait on.
    wait,
    /// Ask the server whether it lives: a busy one makes its streams wait too.
    probe,
    /// Go on elsewhere, though the server may be well: the answer of a plain request may be lost, a stream stalled.
    go_elsewhere,
};

silence_verdict judge_silence(const waiting_request& request, steady_time now);

} // namespace agatespar
