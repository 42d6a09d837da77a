// Client of plain services over HTTP.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/platform/plain_service.h>

namespace agatespar {

/// Calls with POST <server>/v1/methods/<method>. Attempt, key and fencing number are sent as headers.
/// @param client copied; what it refers to must outlive the result.
plain_service_client make_http_plain_service(const http_client& client);

} // namespace agatespar
