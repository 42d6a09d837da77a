// Predicts the cost and latency of a request on a server, and computes the score of a candidate.
#include <agatespar/routing/prediction.h>

#include <algorithm>

namespace agatespar {

// The latency targets of a streamed answer. The penalty is high enough that a server which misses them is chosen only
// if no server meets them.
static constexpr double target_first_token_ms = 310;
static constexpr double target_gap_ms = 38;
static constexpr double missed_target_penalty = 2;
// Keeps load off servers that are still warming up unless their capacity is needed.
static constexpr double warming_penalty = 0.25;

/// @return the fraction by which the value exceeds the target, zero if it does not.
static double relative_excess(double value, double target)
{
    return std::max(0.0, value / target - 1);
}

double attempt_cost(const version_view& version, const route_request& request)
{
    return version.cost_per_1k_tokens * (request.prompt_tokens + request.expected_output_tokens) / 1000.0;
}

double unloaded_total_ms(const version_view& version, const route_request& request)
{
    return request.prompt_tokens * 1000.0 / version.prefill_tokens_per_s +
           request.expected_output_tokens * version.decode_ms_per_token;
}

/// @return the predicted queueing time: the number of requests that must finish first, divided by the server's
/// completion rate. Assumes that each request takes as long as this one.
static double queue_ms(const server_view& server, std::uint32_t running, double service_ms)
{
    if (running < server.limit)
        return 0;
    return service_ms * (running - server.limit + 1.0) / std::max<double>(server.limit, 1);
}

scored_candidate predict(const routing_view& view, server_index server, const route_request& request,
                         std::uint32_t cached_tokens)
{
    const server_view& state = view.servers[server.value()];
    const version_view& version = view.versions[state.version.value()];
    const std::uint32_t running = estimated_running(state);
    const double busy = std::min(1.0, (running + 1.0) / std::max<double>(state.slots, 1));
    const std::uint32_t cached = std::min(cached_tokens, request.prompt_tokens);
    const double prefill_ms = (request.prompt_tokens - cached) * 1000.0 / version.prefill_tokens_per_s * state.slowdown;

    scored_candidate result;
    result.server = server;
    result.version = state.version;
    result.cached_tokens = cached;
    result.cost = attempt_cost(version, request);
    result.gap_ms = version.decode_ms_per_token * (1 + version.decode_slope * busy) * state.slowdown;
    const double service_ms = prefill_ms + request.expected_output_tokens * result.gap_ms;
    const double waiting_ms = queue_ms(state, running, service_ms);
    result.first_token_ms = waiting_ms + prefill_ms;
    result.total_ms = waiting_ms + service_ms;
    return result;
}

double score(const routing_view& view, const route_request& request, const scored_candidate& candidate,
             const score_scales& scales)
{
    const score_weights& weights = view.weights[request.fleet.value()];
    const server_view& state = view.servers[candidate.server.value()];
    const version_view& version = view.versions[candidate.version.value()];
    const double cost = scales.worst_cost > 0 ? candidate.cost / scales.worst_cost : 0;
    double latency = scales.worst_total_ms > 0 ? candidate.total_ms / scales.worst_total_ms : 0;
    latency += missed_target_penalty * relative_excess(candidate.total_ms, scales.remaining_ms);
    if (request.streamed) {
        latency += missed_target_penalty * (relative_excess(candidate.first_token_ms, target_first_token_ms) +
                                            relative_excess(candidate.gap_ms, target_gap_ms));
    }
    double exposure = version.risk + state.failure_rate;
    if (state.limit < state.slots)
        exposure += warming_penalty;
    return weights.cost * cost + weights.latency * latency + weights.exposure * exposure;
}

} // namespace agatespar
