// Limits on a server's silence, derived from the goals of the request's route.
#include <agatespar/gateway/silence.h>

#include <algorithm>

namespace agatespar {

// Fraction of the goal that the first attempt of a plain (non-streaming) request gets. A second attempt has the
// remaining fifth.
static constexpr double plain_goal_fraction = 0.8;
// Plain answers vary by some ten milliseconds; with a shorter limit, a second attempt would only add load.
static constexpr std::chrono::milliseconds min_plain_timeout{150};
// Fraction of a stream's goal after which its server is probed; the other half is left for the server that resumes the
// stream.
static constexpr double stream_goal_fraction = 0.5;
// Limit in a suspected zone: a few times the usual interval between events of a busy server.
static constexpr std::chrono::milliseconds suspect_zone_timeout{300};
// Streams are checked at least this often, as their zone may become suspected in the meantime.
static constexpr std::chrono::milliseconds max_check_interval{250};
static constexpr std::chrono::milliseconds min_check_interval{50};
// Clients cancel a stream after the longest of these three times without an event (PROTOCOL.md, Requests).
static constexpr std::chrono::milliseconds min_client_timeout{2000};
static constexpr int client_timeout_in_goals = 4;
static constexpr int client_timeout_in_gap_goals = 8;
// Fraction of the clients' time-out after which a stream that has begun is resumed on another server although its
// server is up; the other half is left for that server.
static constexpr double stall_timeout_fraction = 0.5;
// The same as a fraction of the time that was left when the silence began: with little time left, the client's time-out
// is longer than that, and no other server could answer any more.
static constexpr double stall_time_left_fraction = 0.5;
// Each answered probe doubles the silence before the next one, up to this many times: a server that has just answered
// is usually busy, and probes occupy its slots and cost money.
static constexpr int max_doublings = 3;
// Goal of routes that set none.
static constexpr std::chrono::milliseconds default_goal{1000};

static duration fraction_of(std::chrono::milliseconds time, double fraction)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(time) * fraction);
}

static duration silence_limit(const waiting_request& request)
{
    const service_route& route = *request.route;
    const auto or_default = [](std::chrono::milliseconds goal) { return goal.count() > 0 ? goal : default_goal; };
    if (route.kind == request_kind::streaming) {
        if (request.zone_suspected) {
            return suspect_zone_timeout;
        }
        return fraction_of(or_default(request.answer_begun ? route.gap_goal : route.goal), stream_goal_fraction);
    }
    return std::max<duration>(min_plain_timeout, fraction_of(or_default(route.goal), plain_goal_fraction));
}

static duration max_stall(const waiting_request& request)
{
    const service_route& route = *request.route;
    const auto client_timeout = std::max(
        {min_client_timeout, client_timeout_in_goals * route.goal, client_timeout_in_gap_goals * route.gap_goal});
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - request.since);
    return std::min(fraction_of(client_timeout, stall_timeout_fraction),
                    fraction_of(time_left, stall_time_left_fraction));
}

std::optional<duration> next_check_delay(const waiting_request& request, steady_time now)
{
    if (!is_safe_to_retry(*request.route)) {
        return std::nullopt;
    }
    const duration until = request.since + silence_limit(request) - now;
    if (request.route->kind != request_kind::streaming) {
        return std::max<duration>(until, min_check_interval);
    }
    return std::clamp<duration>(until, min_check_interval, max_check_interval);
}

silence_action evaluate_silence(const waiting_request& request, steady_time now)
{
    const bool overdue = !request.held_by_client && now >= request.since + silence_limit(request);
    if (!is_safe_to_retry(*request.route) || !overdue) {
        return silence_action::wait;
    }
    if (request.route->kind != request_kind::streaming) {
        return silence_action::switch_server;
    }
    if (request.answer_begun && now - request.since >= max_stall(request)) {
        return silence_action::switch_server;
    }
    const int doublings = std::min(request.answered_probes, max_doublings);
    const bool received_recently = now - request.server_last_received_at < silence_limit(request) * (1 << doublings);
    return received_recently ? silence_action::wait : silence_action::probe;
}

} // namespace agatespar
