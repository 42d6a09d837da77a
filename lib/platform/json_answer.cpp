// Parses JSON answers of HTTP servers.
#include "json_answer.h"

#include <glib.h>

#include <charconv>

namespace agatespar {

static error_code code_of_status(int status)
{
    switch (status) {
    case 400:
        return error_code::invalid_argument;
    case 401:
        return error_code::unauthenticated;
    case 403:
        return error_code::not_allowed;
    case 404:
        return error_code::not_found;
    case 409:
        return error_code::conflict;
    case 410:
        return error_code::expired;
    case 413:
        return error_code::too_large;
    case 429:
        return error_code::overloaded;
    case 502:
    case 503:
        return error_code::unavailable;
    case 504:
        return error_code::deadline_exceeded;
    default:
        return error_code::internal;
    }
}

static run_state parse_run_state(const std::string& name)
{
    if (name == to_string(run_state::not_run)) {
        return run_state::not_run;
    }
    if (name == to_string(run_state::ran)) {
        return run_state::ran;
    }
    return run_state::outcome_unknown;
}

static std::optional<std::chrono::milliseconds> read_retry_after(const http_head& head)
{
    const std::string_view text = head.find_header("Retry-After");
    std::uint32_t seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

tl::unexpected<error> malformed_answer(std::string message)
{
    return tl::make_unexpected(
        error{error_code::malformed, std::move(message), run_state::outcome_unknown, std::nullopt});
}

outcome<nlohmann::json> parse_json_object(std::string_view text)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return malformed_answer("the answer is not a JSON object");
    }
    return document;
}

error read_error_answer(const http_head& head, std::string_view body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    std::string message = string_field(document, "message");
    if (message.empty()) {
        message = "the server answered with status " + std::to_string(head.status);
    }
    return error{code_of_status(head.status), std::move(message), parse_run_state(string_field(document, "ran")),
                 read_retry_after(head)};
}

outcome<nlohmann::json> read_json_answer(const outcome<http_response>& answer)
{
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->head.status < 200 || answer->head.status > 299) {
        return tl::make_unexpected(read_error_answer(answer->head, answer->body));
    }
    return parse_json_object(answer->body);
}

std::string string_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::uint64_t number_field(const nlohmann::json& object, const char* name, std::uint64_t fallback)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : fallback;
}

bool bool_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

const nlohmann::json& array_field(const nlohmann::json& object, const char* name)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : empty;
}

std::string escape_segment(const std::string& text)
{
    char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
    std::string segment{escaped};
    g_free(escaped);
    return segment;
}

} // namespace agatespar
