// The choice of another zone by its summary.
#pragma once

#include <agatespar/routing/indices.h>

#include <optional>
#include <random>

namespace agatespar {

struct routing_view;

/// Where a request can go that finds no server in its own zone.
struct zone_candidate {
    zone_index zone;
    version_index version;
};

/// Draws a zone by its free slots, nearer ones first, so that the VMs of a zone do not all pick the same.
/// @return none if no zone in service and reach has a free slot for any of the versions.
std::optional<zone_candidate> choose_zone(const routing_view& view, const version_set& versions,
                                          std::mt19937_64& random);

} // namespace agatespar
