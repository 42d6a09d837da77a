// Bounds on a server's silence, taken from what the route's clients expect.
#include <agatespar/gateway/silence.h>

#include <algorithm>

namespace agatespar {

// A second try of a plain request has a fifth of the goal left, and its first one nearly all of it.
static constexpr double plain_part = 0.8;
// Plain answers vary by some ten milliseconds; below this a second try would only add load.
static constexpr std::chrono::milliseconds least_plain{150};
// Half of what a stream's client bears, so that the other half is left for the server that goes on.
static constexpr double stream_part = 0.5;
// In a suspected zone: a few times what events of a busy server are apart.
static constexpr std::chrono::milliseconds suspected_silence{300};
// Streams are looked at this often at least, as their zone may become suspected meanwhile.
static constexpr std::chrono::milliseconds longest_look{250};
static constexpr std::chrono::milliseconds shortest_look{50};
// Clients leave a stream after the longest of these times without an event (PROTOCOL.md, Requests).
static constexpr std::chrono::milliseconds least_patience{2000};
static constexpr int patience_in_goals = 4;
static constexpr int patience_in_gaps = 8;
// The part of the clients' patience after which a stream that has begun goes on elsewhere though its server lives: the
// other half is left for the server that goes on.
static constexpr double stall_part = 0.5;
// Each probe that the server answers doubles the silence before the next one, this often at most: one that lived a
// moment ago is mostly busy, and probes take its places and are priced.
static constexpr int most_doublings = 3;
// For routes that set no goal.
static constexpr std::chrono::milliseconds default_goal{1000};

static duration part_of(std::chrono::milliseconds time, double part)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(time) * part);
}

static duration allowed_silence(const waiting_request& request)
{
    const service_route& route = *request.route;
    const auto or_default = [](std::chrono::milliseconds goal) { return goal.count() > 0 ? goal : default_goal; };
    if (route.kind == request_kind::streaming) {
        if (request.zone_suspected) {
            return suspected_silence;
        }
        return part_of(or_default(request.answer_begun ? route.gap_goal : route.goal), stream_part);
    }
    return std::max<duration>(least_plain, part_of(or_default(route.goal), plain_part));
}

static duration longest_stall(const service_route& route)
{
    const auto patience = std::max({least_patience, patience_in_goals * route.goal, patience_in_gaps * route.gap_goal});
    return part_of(patience, stall_part);
}

std::optional<duration> next_look(const waiting_request& request, steady_time now)
{
    if (!may_repeat(*request.route)) {
        return std::nullopt;
    }
    const duration until = request.since + allowed_silence(request) - now;
    if (request.route->kind != request_kind::streaming) {
        return std::max<duration>(until, shortest_look);
    }
    return std::clamp<duration>(until, shortest_look, longest_look);
}

silence_verdict judge_silence(const waiting_request& request, steady_time now)
{
    const bool quiet = !request.held_by_client && now >= request.since + allowed_silence(request);
    if (!may_repeat(*request.route) || !quiet) {
        return silence_verdict::wait;
    }
    if (request.route->kind != request_kind::streaming) {
        return silence_verdict::go_elsewhere;
    }
    if (request.answer_begun && now - request.since >= longest_stall(*request.route)) {
        return silence_verdict::go_elsewhere;
    }
    const int doublings = std::min(request.answered_probes, most_doublings);
    const bool heard = now - request.server_heard < allowed_silence(request) * (1 << doublings);
    return heard ? silence_verdict::wait : silence_verdict::probe;
}

} // namespace agatespar
