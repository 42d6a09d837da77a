// Counts this VM's calls to the platform's store, and the bytes that it sends to other VMs.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/gateway/record_relay.h>
#include <agatespar/telemetry/metrics.h>

#include <functional>

namespace agatespar {

/// @return the name of a topic in metrics and log lines.
const char* topic_label(fleet_topic topic);

/// @param role returns the role in which this VM calls the store at the time of a call.
/// @return a store that counts its calls in `agatespar_store_calls_total`, by call, topic and role.
/// @param metrics outlives the store.
fleet_store count_store_calls(const fleet_store& store, metrics_registry& metrics, std::function<const char*()> role);

/// @return an opener whose links count the payload bytes sent in `agatespar_relay_bytes_total`, by kind of message.
/// @param metrics outlives the links.
peer_link_opener count_relay_bytes(peer_link_opener open_link, metrics_registry& metrics);

} // namespace agatespar
