// One cold copy of a version first, then copies from its peers.
#include <agatespar/backend/placement.h>

#include <algorithm>
#include <set>

namespace agatespar {

namespace {

/// The loads that are under way, and the versions that some engine holds.
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

static bool is_settled(const desired_placement& desired, const observed_placement& observed)
{
    return missing_versions(desired, observed).empty() && observed.versions.size() == desired.versions.size();
}

static bool is_under_way(const desired_placement& desired, const observed_placement& observed,
                         const placement_settings& settings, steady_time now)
{
    return observed.ordered && observed.ordered_fence == desired.fence &&
           now - *observed.ordered < settings.repeat_after;
}

/// Books a load of some versions. @return false if it has to wait.
static bool admit(zone_loads& loads, const std::vector<engine_version>& missing, const placement_settings& settings,
                  bool& first_copy)
{
    first_copy = false;
    for (const engine_version& version : missing) {
        if (loads.first_copies.count(version) > 0) {
            // Its first copy is on its way; a second would take the store's rate twice.
            return false;
        }
        first_copy = first_copy || loads.held.count(version) == 0;
    }
    if (missing.empty()) {
        return true;
    }
    std::size_t& used = first_copy ? loads.from_store : loads.from_peers;
    if (used >= (first_copy ? settings.store_loads : settings.peer_loads)) {
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
        if (found == observed.end() || is_settled(each, found->second)) {
            continue;
        }
        if (!is_under_way(each, found->second, settings, now)) {
            waiting.push_back(&each);
            continue;
        }
        bool first_copy = false;
        placement_settings unbounded = settings;
        unbounded.store_loads = unbounded.peer_loads = SIZE_MAX;
        admit(loads, missing_versions(each, found->second), unbounded, first_copy);
    }
    std::vector<placement_order> orders;
    for (const desired_placement* each : waiting) {
        bool first_copy = false;
        if (admit(loads, missing_versions(*each, observed.at(each->server)), settings, first_copy)) {
            orders.push_back({each->server, each->versions, each->role, each->fence, first_copy});
        }
    }
    return orders;
}

} // namespace agatespar
