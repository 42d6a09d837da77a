// The routing decision: filters the candidate servers, scores a sample of them and chooses the best one.
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

/// The reason for which a server or zone was chosen.
enum class decision_reason {
    lowest_score,
    /// The server had the best score and probably has a prefix of the prompt in its cache.
    cached_prefix,
    only_candidate,
    /// No server of the preferred versions was free, so a fallback version was chosen.
    fallback,
    /// This VM's zone has no candidate; a VM of the other zone chooses the server.
    other_zone,
};

/// The destination of one attempt of a request, with its predicted cost and latency.
struct decision {
    zone_index zone;
    /// The request is forwarded to a VM of `zone`, which makes its own decision; `server` is then unset.
    bool forward{false};
    server_index server;
    version_index version;
    /// Cost of this attempt alone, in the operators' cost unit.
    double expected_cost{0};
    duration predicted_first_token{0};
    duration predicted_total{0};
    /// Predicted time between two consecutive output tokens.
    duration predicted_gap{0};
    decision_reason reason{decision_reason::lowest_score};
    /// The session was pinned to a withdrawn version and is now pinned to its successor.
    bool moved_from_withdrawn{false};
    /// The withdrawn version; valid only if `moved_from_withdrawn` is set.
    version_index moved_from;
};

/// The reason for which a version or server was excluded from the candidates.
enum class filter_reason : std::uint8_t {
    version_not_allowed,
    version_withdrawn,
    version_stopped_by_guard,
    /// The session is pinned to another version of the model, or its hash selects another one.
    version_not_selected,
    server_unhealthy,
    /// The server is shutting down and accepts no new requests.
    server_leaving,
    server_full,
    /// This VM holds no unused permit for the server and may not request one.
    server_no_permit,
    /// An earlier attempt of the request used the server, or the server's owner refused a permit.
    server_already_tried,
    /// The request must run alone, but the server is processing other requests.
    server_not_idle,
    /// The predicted latency exceeds the time that is left until the deadline.
    predicted_past_deadline,
};
/// The number of values of filter_reason.
inline constexpr std::size_t filter_reason_count = 11;

/// A server that passed the filters, with its predicted cost and latency and its score.
struct scored_candidate {
    server_index server;
    version_index version;
    /// Lower is better.
    double score{0};
    /// Same unit as decision::expected_cost.
    double cost{0};
    double first_token_ms{0};
    double total_ms{0};
    /// Predicted time between two consecutive output tokens.
    double gap_ms{0};
    /// Number of prompt tokens that are expected to be in the server's prefix cache.
    std::uint32_t cached_tokens{0};
};

/// The inputs and intermediate results of a decision. Of fixed size, so that filling it allocates no memory.
struct explanation {
    /// Number of excluded versions or servers for each filter_reason.
    std::array<std::uint16_t, filter_reason_count> filtered{};
    /// Number of evaluated servers, both scored and filtered ones.
    std::uint16_t evaluated{0};
    /// The candidates with the best scores, best first.
    inline_list<scored_candidate, 3> top;
    /// This VM's own zone is out of service.
    bool zone_out_of_service{false};
    /// The request is quarantined because its fingerprint crashed servers repeatedly.
    bool quarantined{false};
    version_index moved_from;
    bool moved_from_withdrawn{false};

    std::uint16_t& count_of(filter_reason reason) { return filtered[static_cast<std::size_t>(reason)]; }
    std::uint16_t count_of(filter_reason reason) const { return filtered[static_cast<std::size_t>(reason)]; }
};

/// Chooses the server or zone that gets a request. Has no side effects except on `random` and `explained`, and
/// allocates no memory on the heap.
/// @param view this VM's view of servers, versions and zones. @param request the request to route.
/// @param now the current time.
/// @param random draws the servers and the zone to evaluate. @param explained if not null, receives the inputs and
/// intermediate results of the decision.
/// @return the decision, or a refusal whose state is always run_state::not_run: `not_allowed` if no version is allowed
/// or the request is quarantined, `withdrawn` if no allowed version is eligible, e.g. because all are withdrawn without
/// a successor, `unavailable` if no server or zone can run it, `overloaded` with a retry-after time if suitable servers
/// exist but are full, `deadline_exceeded` with a retry-after time if none is predicted to answer before the deadline.
outcome<decision> decide(const routing_view& view, const route_request& request, steady_time now,
                         std::mt19937_64& random, explanation* explained = nullptr);

} // namespace agatespar
