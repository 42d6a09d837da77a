// Chooses another zone by the zones' summaries.
#pragma once

#include <agatespar/routing/indices.h>

#include <optional>
#include <random>

namespace agatespar {

struct routing_view;

/// Another zone and a version that has free slots there, for a request without a free server in its own zone.
struct zone_candidate {
    zone_index zone;
    version_index version;
};

/// Draws another zone and a version at random, weighted by free slots and favouring zones with low network latency. The
/// draw is random so that the VMs of a zone do not all choose the same zone.
/// @return std::nullopt if no other zone that is in service and reachable has a free slot for any of the versions.
std::optional<zone_candidate> choose_zone(const routing_view& view, const version_set& versions,
                                          std::mt19937_64& random);

} // namespace agatespar
