// Which orders to send to engines so that each serves the versions and role that it should.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/platform/engine.h>
#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace agatespar {

/// What one server should serve. It comes from the configuration, so that every owner derives the same.
struct desired_placement {
    server_key server;
    std::vector<engine_version> versions;
    std::string role{"serve"};
    /// The offset of the log record that the desired state comes from.
    fencing_number fence;
};

/// What one server was last seen to serve, and what was ordered.
struct observed_placement {
    std::vector<engine_version> versions;
    /// When this was seen; nothing that was seen before an order tells of its effect.
    steady_time seen;
    std::optional<steady_time> ordered;
    fencing_number ordered_fence;
};

struct placement_settings {
    /// How long an engine may take to load before the order is repeated.
    std::chrono::seconds repeat_after{60};
    /// Loads from the weight store that may be under way at once.
    std::size_t store_loads{1};
    /// Loads of a version that some engine of the zone holds already.
    std::size_t peer_loads{4};
};

/// One order to send.
struct placement_order {
    server_key server;
    std::vector<engine_version> versions;
    std::string role;
    fencing_number fence;
    /// The first copy of a version in the zone, read from the weight store.
    bool first_copy{false};
};

/// Decides which orders go out now. Orders state the whole desired state, so that repeated ones change nothing, and a
/// server that an old order set back is seen to differ and ordered again, whether or not it checks fencing numbers.
/// @param desired what the servers should serve, in the order of their urgency.
/// @param observed what is known of them; a server that is missing is not reachable and gets no order.
/// @return the orders, for the caller to send and to note in `observed`.
std::vector<placement_order> plan_orders(std::span<const desired_placement> desired,
                                         const std::map<server_key, observed_placement>& observed,
                                         const placement_settings& settings, steady_time now);

} // namespace agatespar
