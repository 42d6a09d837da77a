// The seam to plain services: one call with one answer, some of which may not be repeated.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace agatespar {

struct plain_call {
    /// The backend server's address, e.g. "http://10.0.0.1:8080".
    std::string server_url;
    attempt_id attempt;
    /// The service's own name for the operation, e.g. "book_order".
    std::string method;
    /// A JSON document.
    std::string body;
    /// A call that is not idempotent goes out once, on a connection of its own.
    bool idempotent{false};
    std::optional<idempotency_key> key;
    std::optional<fencing_number> fence;
    /// W3C trace context to pass on; may be empty.
    std::string traceparent;
    std::chrono::milliseconds timeout{5000};
};

struct plain_answer {
    attempt_id attempt;
    /// A JSON document.
    std::string body;
};

using plain_callback = std::function<void(outcome<plain_answer>)>;

/// The operations of plain services. Callbacks come on the loop's thread, never from within the call.
///
/// A failure carries `not_run` only if no connection was made or if the service itself says so.
struct plain_service_client {
    std::function<void(plain_call, plain_callback)> call;
};

} // namespace agatespar
