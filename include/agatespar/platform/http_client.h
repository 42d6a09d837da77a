// HTTP client interface that all platform adapters use: calls and streams, limited in size and time.
#pragma once

#include <agatespar/http/message.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

struct http_request {
    std::string method{"GET"};
    std::string url;
    std::vector<http_header> headers;
    /// Sent as application/json, unless empty.
    std::string body;
    /// For send(): maximum time until the complete answer is read. For stream(): until its head is read.
    std::chrono::milliseconds timeout{5000};
    /// For stream(): maximum time between two chunks of the body.
    std::chrono::milliseconds idle_timeout{5000};
    /// Sends on a new connection and never resends, as required for a non-idempotent request. Requests whose method is
    /// not idempotent (RFC 9110, section 9.2.2) are always sent so.
    bool fresh_connection{false};
};

struct http_head {
    int status{0};
    std::vector<http_header> headers;

    /// @return the value of a header, or an empty view. The name is compared without case.
    std::string_view find_header(std::string_view name) const;
};

struct http_response {
    http_head head;
    std::string body;
};

using http_callback = std::function<void(outcome<http_response>)>;

/// The events of a streamed answer, in this order: one head, chunks of the body, one end.
struct http_stream_callbacks {
    std::function<void(const http_head&)> on_head;
    std::function<void(std::string_view)> on_bytes;
    /// Called once, with the failure if the call failed, which may be before the head.
    std::function<void(outcome<void>)> on_end;
};

/// Stops a call; no callback runs afterwards. May be called more than once, also after the end.
using cancel_handle = std::function<void()>;

/// The operations of an HTTP client. Callbacks run on the loop's thread, never from within the call.
///
/// A failed call reports in error::ran whether it may have reached the server: `not_run` if no connection was
/// established, otherwise `outcome_unknown`. An answer with any HTTP status is not a failure.
struct http_client {
    std::function<void(http_request, http_callback)> send;
    std::function<cancel_handle(http_request, http_stream_callbacks)> stream;
};

} // namespace agatespar
