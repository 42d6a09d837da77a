// Client of the rating service over HTTP.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/platform/rating_service.h>

namespace agatespar {

/// Rates with POST <base>/v1/ratings.
/// @param client copied; what it refers to must outlive the result. @param base_url e.g. "http://10.0.0.1:8080".
rating_service make_http_rating_service(const http_client& client, const std::string& base_url);

} // namespace agatespar
