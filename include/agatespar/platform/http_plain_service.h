// Plain services over HTTP.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/platform/plain_service.h>

namespace agatespar {

/// Calls by POST <server>/v1/methods/<method>; attempt, key and fence travel as headers.
/// @param client copied; what it refers to must outlive the result.
plain_service_client make_http_plain_service(const http_client& client);

} // namespace agatespar
