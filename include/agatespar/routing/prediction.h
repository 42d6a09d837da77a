// Predicts the cost and latency of a request on a server, and computes the score of a candidate.
#pragma once

#include <agatespar/routing/decision.h>
#include <agatespar/routing/view.h>

namespace agatespar {

/// Predicts the cost and latency of the request on one server.
/// @param cached_tokens the number of prompt tokens that the server has in its prefix cache.
/// @return the candidate without its score.
scored_candidate predict(const routing_view& view, server_index server, const route_request& request,
                         std::uint32_t cached_tokens);

/// The reference values by which the terms of a score are normalised.
struct score_scales {
    /// The highest cost of an attempt, over the versions that are evaluated.
    double worst_cost{0};
    /// The longest predicted total time on an unloaded server, over the versions that are evaluated.
    double worst_total_ms{0};
    /// Time until the request's deadline.
    double remaining_ms{0};
};

/// Computes the weighted sum of cost, latency and failure risk. The latency term has an extra penalty for exceeding
/// the deadline or, for a streamed answer, the latency targets.
/// @return the score; lower is better.
double score(const routing_view& view, const route_request& request, const scored_candidate& candidate,
             const score_scales& scales);

/// @return the predicted total time in milliseconds on an unloaded, warmed-up server.
double unloaded_total_ms(const version_view& version, const route_request& request);
/// @return the predicted cost of one attempt, in the unit of version_view::cost_per_1k_tokens.
double attempt_cost(const version_view& version, const route_request& request);

} // namespace agatespar
