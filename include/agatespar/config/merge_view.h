// Views of a configuration for operators who merge fleets: names that exist in several fleets, and JSON output.
#pragma once

#include <agatespar/config/configuration.h>

#include <string>
#include <vector>

namespace agatespar {

/// The item that has a clashing name in one fleet.
struct clash_meaning {
    fleet_name fleet;
    /// Human-readable summary of the item's settings.
    std::string meaning;
};

/// A name that exists in more than one fleet. Clashes do not affect callers: a key belongs to an account of one fleet,
/// and all names in a request are looked up in that fleet only.
struct name_clash {
    /// "zone", "model", "class", "service" or "account".
    std::string kind;
    std::string name;
    std::vector<clash_meaning> meanings;
};

/// @return all clashes, ordered by kind and name.
std::vector<name_clash> find_clashes(const configuration& config);

/// @return the configuration as indented JSON: all fleets, or only the given one.
std::string format_configuration(const configuration& config, const std::optional<fleet_name>& fleet = {});

/// @return the differences between the fleets of two configurations, as a JSON Patch (RFC 6902).
std::string format_difference(const configuration& before, const configuration& after);

} // namespace agatespar
