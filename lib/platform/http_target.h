// Where an HTTP request goes: the server, and the resource there.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace agatespar {

/// A server that connections are opened to (RFC 9110, section 4.3.1).
struct http_origin {
    bool uses_tls{false};
    /// A name or an address; one of IPv6 without brackets.
    std::string host;
    std::uint16_t port{0};

    friend auto operator<=>(const http_origin&, const http_origin&) = default;
};

struct http_target {
    http_origin origin;
    /// The value of the Host field.
    std::string authority;
    /// Path and query as they are sent.
    std::string resource;
};

/// @return the parts of an http or https URL, or nothing if the text is not one.
std::optional<http_target> parse_http_url(const std::string& url);
/// @return whether the text has a control character, which would end a line of a head.
/// @param allows_blanks whether blanks and tabs are allowed.
bool has_control_character(const std::string& text, bool allows_blanks);

} // namespace agatespar
