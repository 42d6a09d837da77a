// The routing decision: filter the candidates, score a few of them, choose one.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/request.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <array>
#include <cstdint>
#include <random>

namespace agatespar {

struct routing_view;

/// Why this server or zone was chosen.
enum class decision_reason {
    lowest_score,
    holds_prefix,
    only_candidate,
    /// No server of the preferred versions was free, so a version that may stand in was taken.
    fallback,
    /// The own zone has no candidate; the other zone decides on the server.
    other_zone,
};

/// Where a request goes.
struct decision {
    zone_index zone;
    /// The request goes to a VM of `zone`, which decides itself; `server` means nothing then.
    bool forward{false};
    server_index server;
    version_index version;
    /// In the operators' unit, for this attempt alone.
    double expected_cost{0};
    duration predicted_first_token{0};
    duration predicted_total{0};
    /// Predicted time between two tokens.
    duration predicted_gap{0};
    decision_reason reason{decision_reason::lowest_score};
    /// The session was pinned to a version that is withdrawn, and moves to its successor.
    bool moved_from_withdrawn{false};
    version_index moved_from;
};

/// Why a version or server was not a candidate.
enum class filter_reason : std::uint8_t {
    version_not_allowed,
    version_withdrawn,
    version_stopped_by_guard,
    version_not_of_session,
    server_unhealthy,
    server_leaving,
    server_full,
    server_no_permit,
    server_tried,
    server_not_alone,
    predicted_too_late,
};
inline constexpr std::size_t filter_reasons = 11;

/// One server that was scored.
struct scored_candidate {
    server_index server;
    version_index version;
    double score{0};
    double cost{0};
    double first_token_ms{0};
    double total_ms{0};
    double gap_ms{0};
    std::uint32_t cached_tokens{0};
};

/// What a decision weighed; of fixed size, so that filling it allocates nothing.
struct explanation {
    std::array<std::uint16_t, filter_reasons> filtered{};
    /// Servers looked at, scored or filtered.
    std::uint16_t evaluated{0};
    /// The best scored ones, best first.
    inline_list<scored_candidate, 3> top;
    bool zone_out_of_service{false};
    bool quarantined{false};
    version_index moved_from;
    bool moved_from_withdrawn{false};

    std::uint16_t& count_of(filter_reason reason) { return filtered[static_cast<std::size_t>(reason)]; }
    std::uint16_t count_of(filter_reason reason) const { return filtered[static_cast<std::size_t>(reason)]; }
};

/// Decides where a request goes. Pure, and allocates nothing.
/// @param view what this VM believes. @param request what is to be routed. @param now the current time.
/// @param random chooses among servers that look alike. @param explained if given, is told what was weighed.
/// @return the choice, or a refusal that is always "not run": `not_allowed` if no version is allowed,
/// `withdrawn` if all that are allowed are withdrawn without successor, `unavailable` if no server or zone could
/// run it, `overloaded` with a time to retry after if servers are there but full, `deadline_exceeded` if none
/// would answer in time.
outcome<decision> decide(const routing_view& view, const route_request& request, steady_time now,
                         std::mt19937_64& random, explanation* explained = nullptr);

} // namespace agatespar
