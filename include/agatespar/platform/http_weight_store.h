// Client of the weight store over HTTP.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/platform/weight_store.h>

namespace agatespar {

/// Acquires with POST <base>/v1/grants.
/// @param client copied; what it refers to must outlive the result. @param base_url e.g. "http://10.0.0.1:8080".
weight_store make_http_weight_store(const http_client& client, const std::string& base_url);

} // namespace agatespar
