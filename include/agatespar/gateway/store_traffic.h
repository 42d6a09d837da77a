// Counts what this VM asks of the platform's store and of other VMs, and why.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/gateway/record_relay.h>
#include <agatespar/telemetry/metrics.h>

#include <functional>

namespace agatespar {

/// @return the word for a topic in metrics and log lines.
const char* topic_word(fleet_topic topic);

/// @param role tells why this VM goes to the store at the moment of a call.
/// @return a store whose calls are counted as `agatespar_store_calls_total` by call, topic and role.
/// @param metrics outlives the store.
fleet_store count_store_calls(const fleet_store& store, metrics_registry& metrics, std::function<const char*()> role);

/// @return an opener whose links count the bytes of payload sent as `agatespar_relay_bytes_total` by kind of message.
/// @param metrics outlives the links.
peer_link_opener count_relay_bytes(peer_link_opener open_link, metrics_registry& metrics);

} // namespace agatespar
