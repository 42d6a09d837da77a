// Parses JSON answers of HTTP servers. They are untrusted: fields may be missing or of another type.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/support/outcome.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace agatespar {

/// @return the JSON object of a successful answer, or the failure that the answer or the call reports.
outcome<nlohmann::json> read_json_answer(const outcome<http_response>& answer);

/// @return the failure that an answer with an error status reports. Its body may be the object {"message", "ran"};
/// otherwise the result has run_state::outcome_unknown.
error read_error_answer(const http_head& head, std::string_view body);

/// @return the JSON object, or `malformed`.
outcome<nlohmann::json> parse_json_object(std::string_view text);

/// @return the failure for an answer that violates the protocol: `malformed`, with run_state::outcome_unknown.
tl::unexpected<error> malformed_answer(std::string message);

std::string string_field(const nlohmann::json& object, const char* name);
std::uint64_t number_field(const nlohmann::json& object, const char* name, std::uint64_t fallback = 0);
bool bool_field(const nlohmann::json& object, const char* name);
/// @return the array, or an empty one.
const nlohmann::json& array_field(const nlohmann::json& object, const char* name);

/// @return the text with all but unreserved characters percent-encoded, as one segment of a path.
std::string escape_segment(const std::string& text);

} // namespace agatespar
