// What a request would cost on a server, and when it would answer.
#pragma once

#include <agatespar/routing/decision.h>
#include <agatespar/routing/view.h>

namespace agatespar {

/// Fills the cost and the predicted times of one candidate.
/// @param cached_tokens how much of the prompt the server holds in its cache.
scored_candidate predict(const routing_view& view, server_index server, const route_request& request,
                         std::uint32_t cached_tokens);

/// Weighs cost, latency and exposure to risk, each relative to the worst of the request's versions.
/// @param worst_cost, worst_total_ms of an unloaded server, over the versions that are weighed.
/// @return the score; less is better.
double score(const routing_view& view, const route_request& request, const scored_candidate& candidate,
             double worst_cost, double worst_total_ms);

/// @return the predicted total time on an unloaded warm server.
double unloaded_total_ms(const version_view& version, const route_request& request);
/// @return the price of one attempt.
double attempt_cost(const version_view& version, const route_request& request);

} // namespace agatespar
