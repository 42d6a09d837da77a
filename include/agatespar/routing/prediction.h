// What a request would cost on a server, and when it would answer.
#pragma once

#include <agatespar/routing/decision.h>
#include <agatespar/routing/view.h>

namespace agatespar {

/// Fills the cost and the predicted times of one candidate.
/// @param cached_tokens how much of the prompt the server holds in its cache.
scored_candidate predict(const routing_view& view, server_index server, const route_request& request,
                         std::uint32_t cached_tokens);

/// What the parts of a score are relative to.
struct score_scales {
    /// Of an unloaded server, over the versions that are weighed.
    double worst_cost{0};
    double worst_total_ms{0};
    /// To the request's deadline.
    double left_ms{0};
};

/// Weighs cost, latency and exposure to risk. Missing the deadline, or a streamed answer's targets, counts most.
/// @return the score; less is better.
double score(const routing_view& view, const route_request& request, const scored_candidate& candidate,
             const score_scales& scales);

/// @return the predicted total time on an unloaded warm server.
double unloaded_total_ms(const version_view& version, const route_request& request);
/// @return the price of one attempt.
double attempt_cost(const version_view& version, const route_request& request);

} // namespace agatespar
