// Selects one version of each model for a request, by the session's pins and the roll-out's shares.
#include <agatespar/routing/decision.h>
#include <agatespar/routing/rollout.h>
#include <agatespar/routing/view.h>
#include <agatespar/support/hash.h>

#include <array>
#include <cmath>

namespace agatespar {

namespace {

/// The state of the selection for one model.
struct model_choice {
    /// The sum of the shares of the versions that accept new sessions.
    double total_share{0};
    /// The selected version, or -1 while none is selected.
    int chosen{-1};
};

using model_choices = std::array<model_choice, max_models>;

} // namespace

static void count(explanation* explained, filter_reason reason)
{
    if (explained)
        ++explained->count_of(reason);
}

/// Follows the chain of successors of withdrawn versions. The number of steps is bounded, in case the chain has a
/// cycle.
/// @return the first version that is not withdrawn, or std::nullopt if the chain has none.
static std::optional<version_index> first_active_version(const routing_view& view, version_index version)
{
    for (std::size_t steps = 0; steps < view.versions.size(); ++steps) {
        const version_view& each = view.versions[version.value()];
        if (!each.withdrawn)
            return version;
        if (!each.successor)
            return std::nullopt;
        version = *each.successor;
    }
    return std::nullopt;
}

/// Selects the session's pinned versions, or their successors if they are withdrawn.
static void apply_pins(const routing_view& view, const route_request& request, model_choices& models,
                       eligible_versions& result)
{
    for (const version_index pin : request.pins) {
        if (pin.value() >= view.versions.size())
            continue;
        const std::optional<version_index> active = first_active_version(view, pin);
        if (!active || !request.allowed[active->value()])
            continue;
        models[view.versions[active->value()].model.value()].chosen = active->value();
        if (*active != pin) {
            result.moved_from_withdrawn = true;
            result.moved_from = pin;
        }
    }
}

static bool open_to_new_sessions(const routing_view& view, const route_request& request, std::size_t version)
{
    const version_view& each = view.versions[version];
    return request.allowed[version] && !each.withdrawn && !each.stopped_by_guard && each.share > 0;
}

/// Selects a version for each model without a pinned one: maps the session hash to a point in [0, total share) and
/// takes the version whose interval of the cumulative shares contains it.
static void apply_shares(const routing_view& view, const route_request& request, model_choices& models)
{
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        if (open_to_new_sessions(view, request, i))
            models[view.versions[i].model.value()].total_share += view.versions[i].share;
    }
    std::array<double, max_models> cumulative_share{};
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        const std::size_t model = view.versions[i].model.value();
        if (models[model].chosen >= 0 || !open_to_new_sessions(view, request, i))
            continue;
        const auto hash = combine_hashes(request.session_hash, model);
        const double point = std::ldexp(static_cast<double>(hash >> 11U), -53) * models[model].total_share;
        cumulative_share[model] += view.versions[i].share;
        if (point < cumulative_share[model])
            models[model].chosen = static_cast<int>(i);
    }
}

/// Counts the excluded versions by reason.
static void count_excluded_versions(const routing_view& view, const route_request& request,
                                    const eligible_versions& result, explanation* explained)
{
    if (!explained)
        return;
    explained->moved_from_withdrawn = result.moved_from_withdrawn;
    explained->moved_from = result.moved_from;
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        if (result.versions[i])
            continue;
        if (!request.allowed[i])
            count(explained, filter_reason::version_not_allowed);
        else if (view.versions[i].withdrawn)
            count(explained, filter_reason::version_withdrawn);
        else if (view.versions[i].stopped_by_guard)
            count(explained, filter_reason::version_stopped_by_guard);
        else
            count(explained, filter_reason::version_not_selected);
    }
}

eligible_versions choose_versions(const routing_view& view, const route_request& request, explanation* explained)
{
    eligible_versions result;
    model_choices models{};
    apply_pins(view, request, models, result);
    apply_shares(view, request, models);
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        result.any_allowed = result.any_allowed || request.allowed[i];
        if (models[view.versions[i].model.value()].chosen == static_cast<int>(i))
            result.versions.set(i);
    }
    count_excluded_versions(view, request, result, explained);
    return result;
}

} // namespace agatespar
