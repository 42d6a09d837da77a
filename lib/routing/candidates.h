// The candidates of one decision: filtered, scored, and the best of them.
#pragma once

#include <agatespar/routing/decision.h>
#include <agatespar/routing/view.h>

#include <optional>
#include <random>

namespace agatespar {

/// Whether servers that look full may be taken, as their owner may know better.
enum class full_servers { excluded, included };

/// The inputs that all candidates of one decision share.
struct candidate_search {
    const routing_view& view;
    const route_request& request;
    steady_time now;
    std::mt19937_64& random;
    explanation& explained;
    full_servers full{full_servers::excluded};
    /// A candidate's predicted time, times this, must fit before the deadline; zero leaves that to the score.
    double tail_allowance{0};
};

/// The best candidate of a search, and how many there were.
struct best_candidate {
    std::optional<scored_candidate> best;
    std::size_t scored{0};
};

/// Scores a few servers of each version: those that hold the prompt's prefix, the session's home, and some drawn
/// at random; all of a version's servers only where none of the few will do.
best_candidate find_best(const candidate_search& search, const version_set& versions);

} // namespace agatespar
