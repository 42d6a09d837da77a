// Parses untrusted JSON within bounds of size and depth.
#pragma once

#include <agatespar/support/outcome.h>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace agatespar {

/// The bounds of a JSON text that comes from outside.
struct json_limits {
    std::size_t bytes{1U << 20U};
    std::size_t depth{32};
};

/// @param text untrusted input. @return the document; too_large past a bound, malformed with the position otherwise.
outcome<nlohmann::json> parse_json(std::string_view text, const json_limits& limits = {});

} // namespace agatespar
