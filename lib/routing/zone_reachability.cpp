// Tracks the failures of each zone since the last answer from it.
#include <agatespar/routing/zone_reachability.h>

namespace agatespar {

// A zone is avoided if this many of its servers fail within the window without an answer in between: one may have
// crashed by itself. It stays avoided until the window after the last failure or failed probe has passed.
static constexpr std::size_t min_failed_servers = 2;
static constexpr std::chrono::milliseconds zone_failure_window{1500};
// Partitions last seconds. Requests should return to the zone soon after the end of one, and a request that finds out
// that the zone is still cut off loses the time of a connection attempt; a probe costs a small fraction of that.
static constexpr std::chrono::milliseconds probe_interval{500};

void zone_reachability::note_unreachable(const zone_name& zone, const server_name& server, steady_time now)
{
    zone_state& state = zones_[zone];
    std::erase_if(state.failed, [now](const auto& entry) { return now - entry.second > zone_failure_window; });
    state.failed[server] = now;
    const bool was_avoided = is_avoided(zone, now);
    state.probe_failed = state.probe_failed && was_avoided;
    state.avoided = was_avoided || state.failed.size() >= min_failed_servers;
    state.last_failure = now;
}

void zone_reachability::note_reached(const zone_name& zone)
{
    zones_.erase(zone);
}

void zone_reachability::note_probe_failed(const zone_name& zone, steady_time now)
{
    if (const auto found = zones_.find(zone); found != zones_.end()) {
        found->second.last_failure = now;
        found->second.probe_failed = true;
    }
}

bool zone_reachability::is_avoided(const zone_name& zone, steady_time now) const
{
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.avoided && now - found->second.last_failure <= zone_failure_window;
}

bool zone_reachability::is_unreachable(const zone_name& zone, steady_time now) const
{
    return is_avoided(zone, now) && zones_.at(zone).probe_failed;
}

std::vector<zone_name> zone_reachability::take_due_probes(steady_time now)
{
    std::vector<zone_name> due;
    for (auto& [zone, state] : zones_) {
        if (is_avoided(zone, now) && now - state.probed_at >= probe_interval) {
            state.probed_at = now;
            due.push_back(zone);
        }
    }
    return due;
}

} // namespace agatespar
