// Addresses of sockets in the notation of settings and records.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace agatespar {

/// @param text "ip:port" of IPv4. @return the address, or nothing if the text is not one.
std::optional<sockaddr_in> parse_address(const std::string& text);

} // namespace agatespar
