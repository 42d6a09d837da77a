// Computes the orders to send to engines so that each serves its desired versions in its desired role.
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

/// What one server should serve. Derived from the configuration alone, so that every owner of the server derives the
/// same state.
struct desired_placement {
    server_key server;
    std::vector<engine_version> versions;
    /// The role that the order gives to the engine.
    std::string role{"serve"};
    /// The offset of the log record that set the desired state.
    fencing_number fence;
};

/// What one server was last observed to serve, and the last order sent to it.
struct observed_placement {
    std::vector<engine_version> versions;
    /// When `versions` was observed. An observation made before an order says nothing about the effect of that order.
    steady_time seen;
    /// When the last order was sent, if any.
    std::optional<steady_time> last_ordered_at;
    /// The fencing number of the last order.
    fencing_number last_order_fence;
};

/// Limits on the orders of one zone.
struct placement_settings {
    /// How long an engine may take to load before the order is sent again.
    std::chrono::seconds repeat_interval{60};
    /// Maximum number of concurrent loads from the weight store.
    std::size_t max_store_loads{1};
    /// Maximum number of concurrent loads of versions that an engine of the zone already holds.
    std::size_t max_peer_loads{4};
};

/// One order to send.
struct placement_order {
    server_key server;
    std::vector<engine_version> versions;
    std::string role;
    fencing_number fence;
    /// Whether the order loads a version that no engine of the zone holds yet, which is read from the weight store.
    bool first_copy{false};
};

/// Decides which orders to send now. Each order carries the complete desired state, so repeating it has no effect. A
/// server that a delayed older order reverted is observed to differ and gets a new order, whether or not it checks
/// fencing numbers.
/// @param desired what the servers should serve, most urgent first.
/// @param observed the last observation of each server; a server without an entry is unreachable and gets no order.
/// @param settings the limits on concurrent loads and on repeated orders.
/// @return the orders, which the caller sends and records in `observed`.
std::vector<placement_order> plan_orders(std::span<const desired_placement> desired,
                                         const std::map<server_key, observed_placement>& observed,
                                         const placement_settings& settings, steady_time now);

} // namespace agatespar
