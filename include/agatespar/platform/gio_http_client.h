// HTTP client over GIO's connections and resolver, on the GLib main context of the loop's thread.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/http_client.h>

#include <cstddef>
#include <memory>

namespace agatespar {

/// Limits of an HTTP client.
struct gio_http_settings {
    std::size_t max_response_bytes{std::size_t{8} * 1024 * 1024};
    std::size_t max_connections{1024};
    /// Further calls to a server wait for a connection, within their timeouts.
    std::size_t max_connections_per_server{128};
    /// Only requests with an idempotent method use idle connections.
    std::size_t max_idle_per_server{8};
    /// How long an unused connection is kept open.
    std::chrono::seconds idle_connection_timeout{30};
    /// PEM file with the certificate authorities that are trusted; if empty, those of the operating system are.
    std::string tls_ca_file;
};

/// Makes HTTP calls. Answers are read strictly: one that is malformed, ambiguous or incomplete is a failure. Its
/// destructor cancels calls in flight without a callback.
class gio_http_client {
public:
    /// @param loop runs the calls' time-outs; it must outlive this object.
    explicit gio_http_client(event_loop& loop, const gio_http_settings& settings = {});
    gio_http_client(const gio_http_client&) = delete;
    gio_http_client& operator=(const gio_http_client&) = delete;
    ~gio_http_client();

    /// @return the operations; they refer to this object, which must outlive them.
    http_client client();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
