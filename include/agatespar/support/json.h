// Parses untrusted JSON with limits on its size and depth.
#pragma once

#include <agatespar/support/outcome.h>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace agatespar {

/// Limits of an untrusted JSON text: its size in bytes and its nesting depth.
struct json_limits {
    std::size_t bytes{1U << 20U};
    std::size_t depth{32};
};

/// @param text untrusted input. @return the document; too_large if a limit is exceeded, or malformed
/// with the position of the error.
outcome<nlohmann::json> parse_json(std::string_view text, const json_limits& limits = {});

/// Reads a whole number of an untrusted document. The library would convert negative numbers and fractions without an
/// error, and to any value if they are out of range.
/// @param name of the field, for the message. @throws std::invalid_argument if it is not a whole number up to `max`.
std::uint64_t read_whole_number(const nlohmann::json& number, std::string_view name, std::uint64_t max);

} // namespace agatespar
