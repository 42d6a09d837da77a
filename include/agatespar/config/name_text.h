// Parses the qualified names and shares that operators enter on the command line.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespar {

/// Splits "fleet/name". @return both parts, or invalid_argument if either is not a valid name.
outcome<std::pair<std::string, std::string>> split_qualified(std::string_view text);

/// @param text "fleet/name". @return the qualified name, or invalid_argument.
template <class Name>
outcome<qualified<Name>> parse_qualified(std::string_view text)
{
    return split_qualified(text).map([](const std::pair<std::string, std::string>& parts) {
        return qualified<Name>{fleet_name{parts.first}, Name{parts.second}};
    });
}

/// @param text "fleet/model@version". @return the version, or invalid_argument.
outcome<version_id> parse_version_id(std::string_view text);

/// @param texts "version=share" each, shares between 0 and 1. @return the shares, or invalid_argument.
outcome<std::map<version_name, double>> parse_shares(const std::vector<std::string>& texts);

} // namespace agatespar
