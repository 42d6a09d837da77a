// Client of model engines over HTTP with server-sent events.
#pragma once

#include <agatespar/platform/engine.h>
#include <agatespar/platform/http_client.h>

#include <cstddef>

namespace agatespar {

struct http_engine_settings {
    /// Maximum size of an event of a stream.
    std::size_t max_event_bytes{std::size_t{256} * 1024};
    std::chrono::milliseconds load_timeout{1000};
    std::chrono::milliseconds order_timeout{5000};
};

/// Makes completions with POST <server>/v1/completions, reads load with GET <server>/v1/load, and sends orders with
/// POST <server>/v1/orders.
/// @param client copied; what it refers to must outlive the result.
engine_client make_http_engine(const http_client& client, http_engine_settings settings = {});

} // namespace agatespar
