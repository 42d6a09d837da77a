// HTTP client that uses libsoup, on the GLib main context of the loop's thread.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/http_client.h>

#include <cstddef>
#include <memory>

namespace agatespar {

/// Limits of an HTTP client.
struct soup_http_settings {
    std::size_t max_response_bytes{std::size_t{8} * 1024 * 1024};
    int max_connections{1024};
    int max_connections_per_host{128};
    /// How long an unused connection is kept open.
    std::chrono::seconds idle_connection_timeout{30};
    /// PEM file with the certificate authorities that are trusted; if empty, those of the operating system are.
    std::string tls_ca_file;
};

/// Makes HTTP calls. Its destructor cancels calls in flight without a callback.
class soup_http_client {
public:
    /// @param loop runs the calls' time-outs; it must outlive this object.
    explicit soup_http_client(event_loop& loop, const soup_http_settings& settings = {});
    soup_http_client(const soup_http_client&) = delete;
    soup_http_client& operator=(const soup_http_client&) = delete;
    ~soup_http_client();

    /// @return the operations; they refer to this object, which must outlive them.
    http_client client();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
