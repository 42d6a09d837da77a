// Parses addresses of sockets.
#include "socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace agatespar {

std::optional<sockaddr_in> parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    return address;
}

} // namespace agatespar
