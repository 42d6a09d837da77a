// Client of the log service over HTTP.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/platform/log_service.h>

namespace agatespar {

/// Limits of calls to the log service.
struct http_log_settings {
    /// Time-out of an append, and of a read in addition to `read_request::wait`.
    std::chrono::milliseconds timeout{3000};
};

/// Appends with POST <base>/v1/streams/<name>/records, reads with GET and `from`, `limit` and `wait_ms`.
/// @param client copied; what it refers to must outlive the result. @param base_url e.g. "http://10.0.0.1:8080".
log_service make_http_log(const http_client& client, const std::string& base_url, http_log_settings settings = {});

} // namespace agatespar
