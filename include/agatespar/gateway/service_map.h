// The operator's configuration of transparent requests: routes, services, client accounts and their keys.
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
/// Grows with each configuration that the operator writes; the steps are uneven.
using service_map_version = strong<struct service_map_version_tag, std::uint64_t>;

/// What may be repeated of a request.
enum class request_kind {
    /// May run any number of times.
    safe,
    /// May run once at most.
    unsafe,
    /// Answered by a series of events. Without resumption it is treated as unsafe.
    streaming,
};

/// One of the services among which a route's requests are split.
struct service_share {
    service_name service;
    double weight{1};
};

/// Which requests belong together, and what may be done with them.
struct service_route {
    route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind{request_kind::unsafe};
    /// A broken stream may go on at its last event on another server.
    bool resumable{false};
    /// The longest time that a client is kept waiting.
    std::chrono::milliseconds timeout{0};
    /// The time within which an answer is worth most.
    std::chrono::milliseconds goal{0};
    /// The longest pause between events with which a stream is still on time.
    std::chrono::milliseconds gap_goal{0};
    /// Zero is the most important.
    int priority{0};
    std::vector<service_share> services;
    /// Servers that may run one request, the first included.
    int most_runs{1};
    /// Needs no key.
    bool is_public{false};
    /// Requests carry prompts whose parts servers keep.
    bool has_prompts{false};
    /// The models among which the router chooses, smallest first; empty if the client names its model.
    std::vector<model_name> ladder;
};

/// One model that a service's engines can run.
struct model_price {
    model_name model;
    /// For a thousand generated tokens; a token that is read counts a quarter.
    cost_units cost;
};

struct routed_service {
    service_name name;
    /// Connections that one server takes from all callers together.
    std::uint32_t most_connections{0};
    /// Requests a second that a cold server bears, from all callers together; 0: it is never cold.
    double cold_rate{0};
    std::vector<model_price> models;
};

/// The client account that a key belongs to.
struct key_holder {
    client_account_name account;
    std::optional<int> priority;
};

/// One version of the configuration, whole.
struct service_map {
    service_map_version version;
    std::vector<service_route> routes;
    std::map<service_name, routed_service> services;
    /// Without accounts no request needs a key.
    bool has_accounts{false};
    std::unordered_map<std::string, key_holder> keys;
    server_limits limits;
};

/// @param host as in the request, with or without a port. @param target path and query.
/// @return the route of that host with the longest prefix that begins the path, or null.
const service_route* find_route(const service_map& map, std::string_view host, std::string_view target);

/// @param draw uniform in [0, 1). @return the service that the draw falls on by the weights, or null if there is none.
const service_name* draw_service(const service_route& route, double draw);

/// @return whether a second run can do no harm: safe ones, and streams that go on where they broke off.
bool may_repeat(const service_route& route);

} // namespace agatespar
