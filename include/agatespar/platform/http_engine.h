// Model engines over HTTP with server-sent events.
#pragma once

#include <agatespar/platform/engine.h>
#include <agatespar/platform/http_client.h>

#include <cstddef>

namespace agatespar {

struct http_engine_settings {
    /// The longest event that is taken from a stream.
    std::size_t max_event_bytes{std::size_t{256} * 1024};
    std::chrono::milliseconds load_timeout{1000};
    std::chrono::milliseconds order_timeout{5000};
};

/// Completions by POST <server>/v1/completions, load by GET <server>/v1/load, orders by POST <server>/v1/orders.
/// @param client copied; what it refers to must outlive the result.
engine_client make_http_engine(const http_client& client, http_engine_settings settings = {});

} // namespace agatespar
