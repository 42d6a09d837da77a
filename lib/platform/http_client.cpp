// Look-up of HTTP headers.
#include <agatespar/platform/http_client.h>

#include <strings.h>

#include <algorithm>

namespace agatespar {

std::string_view http_head::find_header(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header& header) {
        return header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0;
    });
    return found == headers.end() ? std::string_view{} : std::string_view{found->value};
}

} // namespace agatespar
