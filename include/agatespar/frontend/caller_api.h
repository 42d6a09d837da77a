// The HTTP API for callers: chat completions and plain-service calls.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/frontend/http_server.h>
#include <agatespar/request/request.h>

#include <functional>
#include <memory>
#include <random>

namespace agatespar {

/// Cancels a request whose caller disconnected.
using stop_request = std::function<void()>;

/// Dependencies of the HTTP API, mostly on the request path.
struct caller_api_dependencies {
    event_loop* loop{nullptr};
    std::mt19937_64* random{nullptr};
    std::function<std::shared_ptr<const configuration>()> config;
    std::function<stop_request(chat_request, answer_sink)> run_chat;
    std::function<void(service_request, service_callback)> run_service;
    /// Looks up the outcome of a key without running anything.
    std::function<void(const service_request&, service_callback)> look_up_outcome;
    /// Closes a key, so that no call with it can run any more.
    std::function<void(const service_request&, service_callback)> cancel_key;
    /// Counts one request against the account's rate.
    /// @return overloaded if the rate is exceeded.
    std::function<outcome<void>(const client_account_id&)> consume_rate;
    /// @return whether new requests are accepted; false until the VM is ready. A stopping VM still accepts requests.
    std::function<bool()> accepts_requests;
};

/// Handles POST /v1/chat/completions, POST /v1/services/{service}/{method}, and GET and DELETE of
/// /v1/services/{service}/outcomes/{key}. @return false if the path is none of these.
bool handle_caller_request(const caller_api_dependencies& dependencies, const std::shared_ptr<http_exchange>& exchange);

/// Responds with the error's HTTP status and its JSON object.
void respond_error(http_exchange& exchange, const error& problem, const request_id& id);

} // namespace agatespar
