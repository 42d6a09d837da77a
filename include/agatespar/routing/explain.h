// Renders what a decision weighed as a sentence for an operator.
#pragma once

#include <agatespar/routing/decision.h>

#include <functional>
#include <string>

namespace agatespar {

/// Gives back the names that the decision did not need.
struct routing_names {
    std::function<std::string(server_index)> server;
    std::function<std::string(version_index)> version;
    std::function<std::string(zone_index)> zone;
};

/// @return one or more sentences that say where the request went or why it was refused, and what was weighed.
std::string explain_as_sentence(const outcome<decision>& result, const explanation& explained,
                                const routing_names& names);

} // namespace agatespar
