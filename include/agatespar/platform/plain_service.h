// Interface to plain services, i.e. backend services other than model engines: calls with one answer each. Some calls
// must not be retried.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace agatespar {

/// One attempt to call a service.
struct plain_call {
    /// The backend server's address, e.g. "http://10.0.0.1:8080".
    std::string server_url;
    attempt_id attempt;
    /// The service's name for the operation, e.g. "book_order".
    std::string method;
    /// A JSON document.
    std::string body;
    /// A call that is not idempotent is sent once, on a new connection.
    bool idempotent{false};
    /// Passed to the service, so that it can detect repeated calls.
    std::optional<idempotency_key> key;
    /// Fencing number of the claim under which the call is made; empty without a claim, or if the server does not check
    /// fencing numbers.
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

/// The operations of plain services. Callbacks run on the loop's thread, never from within the call.
///
/// A failure has `not_run` only if no connection was established or if the service itself reports it.
struct plain_service_client {
    std::function<void(plain_call, plain_callback)> call;
};

} // namespace agatespar
