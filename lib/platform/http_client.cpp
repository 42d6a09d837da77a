// Looks up HTTP headers.
#include <agatespar/platform/http_client.h>

namespace agatespar {

std::string_view http_head::find_header(std::string_view name) const
{
    return agatespar::find_header(headers, name).value_or("");
}

} // namespace agatespar
