// Renders a routing decision and its explanation as sentences for operators.
#pragma once

#include <agatespar/routing/decision.h>

#include <functional>
#include <string>

namespace agatespar {

/// Functions that look up the name of an index, as a decision itself contains only indices.
struct routing_names {
    std::function<std::string(server_index)> server;
    std::function<std::string(version_index)> version;
    std::function<std::string(zone_index)> zone;
};

/// @param result the result of decide(). @param explained the explanation that decide() filled.
/// @return one or more sentences: where the request was sent or why it was refused, the second-best candidate, and
/// which versions and servers were excluded.
std::string explain_as_sentence(const outcome<decision>& result, const explanation& explained,
                                const routing_names& names);

} // namespace agatespar
