// The operator's configuration for transparent requests: routes, services, client accounts and their keys.
#pragma once

#include <agatespar/http/server.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/strong_type.h>
#include <agatespar/support/units.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespar {

using route_name = strong<struct route_name_tag, std::string>;
/// Increases with each configuration that the operator writes, not necessarily by one.
using service_map_version = strong<struct service_map_version_tag, std::uint64_t>;

/// Whether a request may be retried.
enum class request_kind {
    /// May run any number of times.
    safe,
    /// May run once at most.
    unsafe,
    /// Answered by a stream of events. If the stream can't be resumed, the request is treated as unsafe.
    streaming,
};

/// One of the services among which a route's requests are split.
struct service_share {
    service_name service;
    double weight{1};
};

/// A set of requests, selected by host and path, and the rules for handling them.
struct service_route {
    route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind{request_kind::unsafe};
    /// A broken stream may be resumed after its last event on another server.
    bool resumable{false};
    /// Maximum time until the client gets an answer or an error.
    std::chrono::milliseconds timeout{0};
    /// Target for the answer time; an answer within it has its full value.
    std::chrono::milliseconds goal{0};
    /// Longest gap between two events with which a stream still counts as on time.
    std::chrono::milliseconds gap_goal{0};
    /// Zero is the most important.
    int priority{0};
    std::vector<service_share> services;
    /// Maximum number of servers that may run one request, including the first.
    int max_runs{1};
    /// Requests need no key.
    bool is_public{false};
    /// Requests carry prompts, parts of which servers cache.
    bool has_prompts{false};
    /// The models from which the router chooses, smallest first; empty if clients name the model.
    std::vector<model_name> model_tiers;
};

/// Price of one model that a service's engines can run.
struct model_price {
    model_name model;
    /// Price of a thousand generated tokens; an input token costs a quarter of a generated one.
    cost_units cost;
};

/// A service to which routes send requests.
struct routed_service {
    service_name name;
    /// Maximum number of connections that one server accepts from all callers together.
    std::uint32_t max_connections_per_server{0};
    /// Requests per second that a cold server can handle, from all callers together; 0 if servers are never cold.
    double max_cold_rate{0};
    std::vector<model_price> models;
};

/// The client account that a key belongs to, and its priority if it has its own.
struct api_key_owner {
    client_account_name account;
    std::optional<int> priority;
};

/// One complete version of the configuration.
struct service_map {
    service_map_version version;
    std::vector<service_route> routes;
    std::map<service_name, routed_service> services;
    /// Whether any accounts are configured. If not, no request needs a key.
    bool has_accounts{false};
    /// Account of each key.
    std::unordered_map<std::string, api_key_owner> keys;
    server_limits limits;
};

/// @param host as in the request, with or without a port. @param target path and query.
/// @return the route of that host with the longest matching path prefix, or null.
const service_route* find_route(const service_map& map, std::string_view host, std::string_view target);

/// Chooses a service at random, with probabilities in proportion to the weights.
/// @param draw uniform in [0, 1). @return the service, or null if none has a positive weight.
const service_name* draw_service(const service_route& route, double draw);

/// @return whether a request can be run again without harm: safe requests, and streams that can be resumed.
bool is_safe_to_retry(const service_route& route);

} // namespace agatespar
