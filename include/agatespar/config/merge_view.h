// What operators see of two merged fleets: the names that clash, and a configuration as JSON.
#pragma once

#include <agatespar/config/configuration.h>

#include <string>
#include <vector>

namespace agatespar {

/// What a clashing name means in one fleet.
struct clash_meaning {
    fleet_name fleet;
    std::string meaning;
};

/// A name that stands in more than one fleet. Callers never meet the clash: their key leads to an account of one fleet,
/// and all names in their requests are looked up in that fleet only.
struct name_clash {
    /// "zone", "model", "class", "service" or "account".
    std::string kind;
    std::string name;
    std::vector<clash_meaning> meanings;
};

/// @return all clashes, by kind and name.
std::vector<name_clash> find_clashes(const configuration& config);

/// @return the whole configuration as indented JSON, or one fleet of it.
std::string format_configuration(const configuration& config, const std::optional<fleet_name>& fleet = {});

/// @return what differs from one configuration to the next, as the operations of a JSON patch (RFC 6902).
std::string format_difference(const configuration& before, const configuration& after);

} // namespace agatespar
