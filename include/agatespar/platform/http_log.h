// The log service over HTTP.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/platform/log_service.h>

namespace agatespar {

/// The limits of calls to the log service.
struct http_log_settings {
    /// For an append, and for a read beyond the time that the read itself may wait.
    std::chrono::milliseconds timeout{3000};
};

/// Appends by POST <base>/v1/streams/<name>/records, reads by GET with `from`, `limit` and `wait_ms`.
/// @param client copied; what it refers to must outlive the result. @param base_url e.g. "http://10.0.0.1:8080".
log_service make_http_log(const http_client& client, const std::string& base_url, http_log_settings settings = {});

} // namespace agatespar
