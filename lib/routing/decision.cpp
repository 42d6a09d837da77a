// The routing decision. It tries the preferred versions in the own zone, then in other zones, then the fallback
// versions in the same order, and last the servers of the own zone that appear to be full.
#include "candidates.h"
#include "zone_choice.h"

#include <agatespar/routing/decision.h>
#include <agatespar/routing/prediction.h>
#include <agatespar/routing/rollout.h>

namespace agatespar {

// These texts are short enough for std::string's internal buffer, so that a refusal allocates no memory.
static constexpr const char* text_not_allowed = "no version";
static constexpr const char* text_withdrawn = "withdrawn";
static constexpr const char* text_quarantined = "quarantined";
static constexpr const char* text_unavailable = "no server";
static constexpr const char* text_overloaded = "all full";
static constexpr const char* text_too_late = "too late";
static constexpr std::chrono::milliseconds refusal_retry_after{1000};
// Multiplies the predicted mean latency of a fallback version before it is compared with the deadline, as the 95th
// percentile of the answer length is about twice the mean. If a slower fallback would miss the deadline at this length,
// a short wait for the preferred version is better for the caller.
static constexpr double fallback_latency_factor = 2;

static duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

static decision decision_for(const candidate_search& search, const best_candidate& found, decision_reason reason)
{
    decision result;
    result.zone = search.view.own_zone;
    result.server = found.best->server;
    result.version = found.best->version;
    result.expected_cost = found.best->cost;
    result.predicted_first_token = from_ms(found.best->first_token_ms);
    result.predicted_total = from_ms(found.best->total_ms);
    result.predicted_gap = from_ms(found.best->gap_ms);
    result.reason = reason;
    if (reason == decision_reason::lowest_score && found.best->cached_tokens > 0)
        result.reason = decision_reason::cached_prefix;
    else if (reason == decision_reason::lowest_score && found.scored == 1)
        result.reason = decision_reason::only_candidate;
    return result;
}

static decision decision_for(const candidate_search& search, const zone_candidate& zone)
{
    const version_view& version = search.view.versions[zone.version.value()];
    const double round_trip_ms = 2 * search.view.zones[zone.zone.value()].one_way_ms;
    decision result;
    result.zone = zone.zone;
    result.forward = true;
    result.version = zone.version;
    result.expected_cost = attempt_cost(version, search.request);
    result.predicted_first_token =
        from_ms(round_trip_ms + search.request.prompt_tokens * 1000.0 / version.prefill_tokens_per_s);
    result.predicted_total = from_ms(round_trip_ms + unloaded_total_ms(version, search.request));
    result.predicted_gap = from_ms(version.decode_ms_per_token);
    result.reason = decision_reason::other_zone;
    return result;
}

static bool in_service(const routing_view& view)
{
    return view.own_zone.value() < view.zones.size() && view.zones[view.own_zone.value()].in_service;
}

/// Searches the own zone first, then the other zones. @return std::nullopt if no zone has a free server.
static std::optional<decision> find_destination(const candidate_search& search, const version_set& versions,
                                                decision_reason reason)
{
    if (versions.none())
        return std::nullopt;
    if (in_service(search.view)) {
        const best_candidate found = find_best(search, versions);
        if (found.best)
            return decision_for(search, found, reason);
    }
    if (search.request.forwarded)
        return std::nullopt;
    if (const auto zone = choose_zone(search.view, versions, search.random))
        return decision_for(search, *zone);
    return std::nullopt;
}

/// Resets the per-server counts before the last search, which evaluates the same servers again: each server is counted
/// only once.
static void reset_server_counts(explanation& explained)
{
    const auto first = static_cast<std::size_t>(filter_reason::server_unhealthy);
    for (std::size_t i = first; i < filter_reason_count; ++i)
        explained.filtered[i] = 0;
}

static std::optional<decision> find_any_destination(candidate_search search, const version_set& preferred,
                                                    const version_set& fallback)
{
    if (const auto destination = find_destination(search, preferred, decision_reason::lowest_score))
        return destination;
    search.latency_factor = fallback_latency_factor;
    if (const auto destination = find_destination(search, fallback, decision_reason::fallback))
        return destination;
    search.latency_factor = 0;
    if (!in_service(search.view))
        return std::nullopt;
    reset_server_counts(search.explained);
    search.full = full_servers::included;
    const best_candidate found = find_best(search, preferred);
    if (found.best)
        return decision_for(search, found, decision_reason::lowest_score);
    return std::nullopt;
}

static tl::unexpected<error> refusal(const explanation& explained)
{
    if (explained.count_of(filter_reason::predicted_past_deadline) > 0) {
        return tl::unexpected<error>{
            error{error_code::deadline_exceeded, text_too_late, run_state::not_run, refusal_retry_after}};
    }
    const bool full = explained.count_of(filter_reason::server_full) > 0 ||
                      explained.count_of(filter_reason::server_no_permit) > 0 ||
                      explained.count_of(filter_reason::server_not_idle) > 0;
    if (full) {
        return tl::unexpected<error>{
            error{error_code::overloaded, text_overloaded, run_state::not_run, refusal_retry_after}};
    }
    return failure(error_code::unavailable, text_unavailable);
}

outcome<decision> decide(const routing_view& view, const route_request& request, steady_time now,
                         std::mt19937_64& random, explanation* explained)
{
    explanation discarded;
    explanation& details = explained ? *explained : discarded;
    details = {};
    details.quarantined = request.quarantined;
    details.zone_out_of_service = !in_service(view);
    if (request.quarantined)
        return failure(error_code::not_allowed, text_quarantined);
    const eligible_versions eligible = choose_versions(view, request, &details);
    if (!eligible.any_allowed)
        return failure(error_code::not_allowed, text_not_allowed);
    if (eligible.versions.none())
        return failure(error_code::withdrawn, text_withdrawn);

    const version_set wanted = eligible.versions & request.preferred;
    const version_set preferred = wanted.any() ? wanted : eligible.versions;
    const version_set fallback = eligible.versions & request.fallback & ~preferred;
    std::optional<decision> destination =
        find_any_destination({view, request, now, random, details}, preferred, fallback);
    if (!destination)
        return refusal(details);
    const bool moved_here = eligible.moved_from_withdrawn && view.versions[eligible.moved_from.value()].model ==
                                                                 view.versions[destination->version.value()].model;
    destination->moved_from_withdrawn = moved_here;
    destination->moved_from = eligible.moved_from;
    return *destination;
}

} // namespace agatespar
