// The versions of a service that get no requests: those that a roll-out has left behind.
#pragma once

#include <agatespar/gateway/fleet_records.h>

#include <span>
#include <vector>

namespace agatespar {

/// Maximum number of retired versions that are kept for a service. Servers of a version that was retired sixteen
/// roll-outs ago are gone, and the list is part of each report.
inline constexpr std::size_t max_retired_versions = 16;

/// A version is retired when its roll-out was reverted, when its order was withdrawn or replaced before the roll-out
/// was complete, or when a roll-out to another version was completed. Only an operator's order ends that.
/// @param retired the versions of one service, the earliest first. @return whether the version was not retired before.
bool retire_version(std::vector<version_name>& retired, const version_name& version);
/// @return whether the version was retired before.
bool reinstate_version(std::vector<version_name>& retired, const version_name& version);
bool is_retired(std::span<const version_name> retired, const version_name& version);

} // namespace agatespar
