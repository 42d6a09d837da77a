// Filters and scores the candidate servers of one routing decision and selects the best one.
#pragma once

#include <agatespar/routing/decision.h>
#include <agatespar/routing/view.h>

#include <optional>
#include <random>

namespace agatespar {

/// Whether servers that appear full in this VM's view may be chosen. The VM that owns a server has newer data and may
/// still grant a permit.
enum class full_servers { excluded, included };

/// The inputs of one search for a candidate.
struct candidate_search {
    const routing_view& view;
    const route_request& request;
    steady_time now;
    std::mt19937_64& random;
    explanation& explained;
    full_servers full{full_servers::excluded};
    /// The predicted total time is multiplied by this factor and must then fit before the deadline. With zero, only the
    /// first token must be predicted before the deadline, and the score penalises a late end.
    double latency_factor{0};
};

/// The best candidate of a search, and the number of servers that were scored.
struct best_candidate {
    std::optional<scored_candidate> best;
    std::size_t scored{0};
};

/// Scores a sample of the servers of each version: those that have a prefix of the prompt in their cache, the one that
/// the session's hash selects, and some drawn at random. If none of these is a candidate, goes through the version's
/// servers from a random position until enough candidates are found.
best_candidate find_best(const candidate_search& search, const version_set& versions);

} // namespace agatespar
