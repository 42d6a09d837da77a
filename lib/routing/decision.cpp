// The routing decision: own zone first, then other zones, then versions that may stand in, then full servers.
#include "candidates.h"
#include "zone_choice.h"

#include <agatespar/routing/decision.h>
#include <agatespar/routing/prediction.h>
#include <agatespar/routing/rollout.h>

namespace agatespar {

// The shortest refusal texts fit into a string without an allocation.
static constexpr const char* text_not_allowed = "no version";
static constexpr const char* text_withdrawn = "withdrawn";
static constexpr const char* text_quarantined = "quarantined";
static constexpr const char* text_unavailable = "no server";
static constexpr const char* text_overloaded = "all full";
static constexpr const char* text_too_late = "too late";
static constexpr std::chrono::milliseconds retry_after_overload{1000};
// The 95th percentile of an answer's length is about twice its mean. Where a slower stand-in would answer so late, a
// short wait for the preferred version serves the caller better.
static constexpr double fallback_tail_allowance = 2;

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
        result.reason = decision_reason::holds_prefix;
    else if (reason == decision_reason::lowest_score && found.scored == 1)
        result.reason = decision_reason::only_candidate;
    return result;
}

static decision decision_for(const candidate_search& search, const zone_candidate& zone)
{
    const version_view& version = search.view.versions[zone.version.value()];
    const double way_ms = 2 * search.view.zones[zone.zone.value()].one_way_ms;
    decision result;
    result.zone = zone.zone;
    result.forward = true;
    result.version = zone.version;
    result.expected_cost = attempt_cost(version, search.request);
    result.predicted_first_token =
        from_ms(way_ms + search.request.prompt_tokens * 1000.0 / version.prefill_tokens_per_s);
    result.predicted_total = from_ms(way_ms + unloaded_total_ms(version, search.request));
    result.predicted_gap = from_ms(version.decode_ms_per_token);
    result.reason = decision_reason::other_zone;
    return result;
}

static bool in_service(const routing_view& view)
{
    return view.own_zone.value() < view.zones.size() && view.zones[view.own_zone.value()].in_service;
}

/// Looks in the own zone, then in the others. @return none if neither has room.
static std::optional<decision> place(const candidate_search& search, const version_set& versions,
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

/// The last search looks at the same servers again, and each shall be counted once.
static void forget_servers(explanation& explained)
{
    const auto first = static_cast<std::size_t>(filter_reason::server_unhealthy);
    for (std::size_t i = first; i < filter_reasons; ++i)
        explained.filtered[i] = 0;
}

static std::optional<decision> place_on_any(candidate_search search, const version_set& preferred,
                                            const version_set& fallback)
{
    if (const auto placed = place(search, preferred, decision_reason::lowest_score))
        return placed;
    search.tail_allowance = fallback_tail_allowance;
    if (const auto placed = place(search, fallback, decision_reason::fallback))
        return placed;
    search.tail_allowance = 0;
    if (!in_service(search.view))
        return std::nullopt;
    forget_servers(search.explained);
    search.full = full_servers::included;
    const best_candidate found = find_best(search, preferred);
    if (found.best)
        return decision_for(search, found, decision_reason::lowest_score);
    return std::nullopt;
}

static tl::unexpected<error> refusal(const explanation& explained)
{
    if (explained.count_of(filter_reason::predicted_too_late) > 0) {
        return tl::unexpected<error>{
            error{error_code::deadline_exceeded, text_too_late, run_state::not_run, retry_after_overload}};
    }
    const bool full = explained.count_of(filter_reason::server_full) > 0 ||
                      explained.count_of(filter_reason::server_no_permit) > 0 ||
                      explained.count_of(filter_reason::server_not_alone) > 0;
    if (full) {
        return tl::unexpected<error>{
            error{error_code::overloaded, text_overloaded, run_state::not_run, retry_after_overload}};
    }
    return failure(error_code::unavailable, text_unavailable);
}

outcome<decision> decide(const routing_view& view, const route_request& request, steady_time now,
                         std::mt19937_64& random, explanation* explained)
{
    explanation unread;
    explanation& weighed = explained ? *explained : unread;
    weighed = {};
    weighed.quarantined = request.quarantined;
    weighed.zone_out_of_service = !in_service(view);
    if (request.quarantined)
        return failure(error_code::not_allowed, text_quarantined);
    const eligible_versions eligible = choose_versions(view, request, &weighed);
    if (!eligible.any_allowed)
        return failure(error_code::not_allowed, text_not_allowed);
    if (eligible.versions.none())
        return failure(error_code::withdrawn, text_withdrawn);

    const version_set wanted = eligible.versions & request.preferred;
    const version_set preferred = wanted.any() ? wanted : eligible.versions;
    const version_set fallback = eligible.versions & request.fallback & ~preferred;
    std::optional<decision> placed = place_on_any({view, request, now, random, weighed}, preferred, fallback);
    if (!placed)
        return refusal(weighed);
    const bool moved_here = eligible.moved_from_withdrawn && view.versions[eligible.moved_from.value()].model ==
                                                                 view.versions[placed->version.value()].model;
    placed->moved_from_withdrawn = moved_here;
    placed->moved_from = eligible.moved_from;
    return *placed;
}

} // namespace agatespar
