// Loads the first copy of a version from the weight store, then further copies from peers that hold it.
#include <agatespar/backend/placement.h>

#include <algorithm>
#include <set>

namespace agatespar {

namespace {

/// The loads in progress in the zone, and the versions that at least one engine holds.
struct zone_loads {
    std::set<engine_version> held;
    std::set<engine_version> first_copies;
    std::size_t from_store{0};
    std::size_t from_peers{0};
};

} // namespace

static std::vector<engine_version> missing_versions(const desired_placement& desired,
                                                    const observed_placement& observed)
{
    std::vector<engine_version> missing;
    for (const engine_version& version : desired.versions) {
        if (std::find(observed.versions.begin(), observed.versions.end(), version) == observed.versions.end()) {
            missing.push_back(version);
        }
    }
    return missing;
}

static bool matches_desired(const desired_placement& desired, const observed_placement& observed)
{
    return missing_versions(desired, observed).empty() && observed.versions.size() == desired.versions.size();
}

static bool is_order_pending(const desired_placement& desired, const observed_placement& observed,
                             const placement_settings& settings, steady_time now)
{
    return observed.last_ordered_at && observed.last_order_fence == desired.fence &&
           now - *observed.last_ordered_at < settings.repeat_interval;
}

/// Counts a load of the missing versions against the limits.
/// @param first_copy set to whether the load needs the weight store. @return false if the load has to wait.
static bool reserve_load(zone_loads& loads, const std::vector<engine_version>& missing,
                         const placement_settings& settings, bool& first_copy)
{
    first_copy = false;
    for (const engine_version& version : missing) {
        if (loads.first_copies.count(version) > 0) {
            // The first copy is still loading; a second one would use the weight store's bandwidth twice.
            return false;
        }
        first_copy = first_copy || loads.held.count(version) == 0;
    }
    if (missing.empty()) {
        return true;
    }
    std::size_t& used = first_copy ? loads.from_store : loads.from_peers;
    if (used >= (first_copy ? settings.max_store_loads : settings.max_peer_loads)) {
        return false;
    }
    ++used;
    for (const engine_version& version : missing) {
        if (loads.held.count(version) == 0) {
            loads.first_copies.insert(version);
        }
    }
    return true;
}

std::vector<placement_order> plan_orders(std::span<const desired_placement> desired,
                                         const std::map<server_key, observed_placement>& observed,
                                         const placement_settings& settings, steady_time now)
{
    zone_loads loads;
    for (const auto& [server, seen] : observed) {
        loads.held.insert(seen.versions.begin(), seen.versions.end());
    }
    std::vector<const desired_placement*> waiting;
    for (const desired_placement& each : desired) {
        const auto found = observed.find(each.server);
        if (found == observed.end() || matches_desired(each, found->second)) {
            continue;
        }
        if (!is_order_pending(each, found->second, settings, now)) {
            waiting.push_back(&each);
            continue;
        }
        bool first_copy = false;
        placement_settings unlimited_settings = settings;
        unlimited_settings.max_store_loads = unlimited_settings.max_peer_loads = SIZE_MAX;
        reserve_load(loads, missing_versions(each, found->second), unlimited_settings, first_copy);
    }
    std::vector<placement_order> orders;
    for (const desired_placement* each : waiting) {
        bool first_copy = false;
        if (reserve_load(loads, missing_versions(*each, observed.at(each->server)), settings, first_copy)) {
            orders.push_back({each->server, each->versions, each->role, each->fence, first_copy});
        }
    }
    return orders;
}

} // namespace agatespar
