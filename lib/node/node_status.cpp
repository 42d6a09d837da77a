// Status document and metrics of a VM.
#include "node_services.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <ctime>
#include <fstream>

namespace agatespar {

using nlohmann::json;

static json describe_config(const config_reader& reader)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(reader.contact_age());
    return {{"number", reader.current()->number.value()},
            {"ready", reader.ready()},
            {"tailing", reader.tailing()},
            {"log_contact_age_ms", age.count()}};
}

static json describe_servers(const server_table& table)
{
    json servers = json::array();
    for (const server_id& id : table.server_ids()) {
        const known_server& server = *table.find(id);
        json versions = json::array();
        for (const engine_version& version : server.versions) {
            versions.push_back(version.model.value() + "@" + version.version.value());
        }
        servers.push_back({{"name", to_string(id)},
                           {"healthy", server.load.healthy},
                           {"leaving", server.entry.state == vm_state::leaving},
                           {"limit", server.load.limit},
                           {"running", server.load.running},
                           {"own_running", server.own_running},
                           {"versions", std::move(versions)}});
    }
    return servers;
}

static json describe_zones(const server_table& table)
{
    json zones = json::array();
    for (const auto& [id, zone] : table.other_zones()) {
        json free_slots = json::object();
        for (const target_capacity& entry : zone.capacity) {
            const route_target& target = entry.target;
            free_slots[target.version ? to_string(*target.version) : to_string(*target.service)] = entry.free_slots;
        }
        zones.push_back({{"zone", to_string(id)},
                         {"in_service", zone.in_service},
                         {"reachable", zone.reachable},
                         {"free_slots", std::move(free_slots)}});
    }
    return zones;
}

static json describe_requests(const request_counters& counters)
{
    return {{"started", counters.started},
            {"running", counters.running},
            {"answered", counters.answered},
            {"refused_not_run", counters.refused_not_run},
            {"failed_unknown", counters.failed_unknown},
            {"cancelled", counters.cancelled},
            {"attempts", counters.attempts},
            {"forwarded", counters.forwarded}};
}

json node::impl::status()
{
    json peers = json::array();
    for (const boot_id member : members.members().live()) {
        peers.push_back(std::to_string(member.value()));
    }
    json partitions = json::array();
    for (const auto& [partition, owner] : ledger.owners()) {
        partitions.push_back({{"partition", partition.value()}, {"ready", owner->ready()}});
    }
    return {{"vm", std::to_string(peer_transport->self().value())},
            {"zone", to_string(settings.zone)},
            {"ready", is_ready()},
            {"stopping", stopping},
            {"config", describe_config(config.reader())},
            {"members", std::move(peers)},
            {"has_majority", members.members().has_majority()},
            {"servers", describe_servers(table)},
            {"other_zones", describe_zones(table)},
            {"ledger_partitions", std::move(partitions)},
            {"usage_pending", usage.outbox().pending()},
            {"requests", describe_requests(counters)}};
}

/// Sets a metric to the value of a counter that a service maintains.
static void set_metric(metrics_registry& metrics, const char* name, const char* help, std::uint64_t value,
                       metric_labels labels = {})
{
    metrics.make_counter(name, help, std::move(labels)).value = value;
}

static void set_request_metrics(metrics_registry& metrics, const request_counters& counters, std::size_t waiting)
{
    set_metric(metrics, "agatespar_requests_started_total", "Requests that callers or other zones sent.",
               counters.started);
    constexpr const char* ended = "agatespar_requests_ended_total";
    constexpr const char* help = "Requests by how they ended.";
    set_metric(metrics, ended, help, counters.answered, {{"result", "answered"}});
    set_metric(metrics, ended, help, counters.refused_not_run, {{"result", "refused_not_run"}});
    set_metric(metrics, ended, help, counters.failed_unknown, {{"result", "outcome_unknown"}});
    set_metric(metrics, ended, help, counters.cancelled, {{"result", "cancelled"}});
    set_metric(metrics, "agatespar_attempts_total", "Attempts on backend servers.", counters.attempts);
    set_metric(metrics, "agatespar_resumed_streams_total", "Broken streams that went on elsewhere.", counters.resumed);
    set_metric(metrics, "agatespar_retries_denied_total", "Retries that the budget or deadline forbade.",
               counters.retries_denied);
    set_metric(metrics, "agatespar_late_events_dropped_total", "Late or crossed pieces of answers that were dropped.",
               counters.late_events_dropped);
    set_metric(metrics, "agatespar_cascaded_total", "Answers of a cheaper model that a stronger one replaced.",
               counters.cascaded);
    set_metric(metrics, "agatespar_server_crashes_total", "Backend servers that crashed under a request.",
               counters.crashes);
    set_metric(metrics, "agatespar_quarantined_total", "Requests refused because they crash servers.",
               counters.quarantined);
    set_metric(metrics, "agatespar_forwards_total", "Requests sent on to another zone.", counters.forwarded);
    metrics.make_gauge("agatespar_requests_waiting", "Requests that wait for room on a backend server.")
        .set(static_cast<double>(waiting));
    metrics.make_gauge("agatespar_requests_running", "Requests running now.")
        .set(static_cast<double>(counters.running));
}

static void set_peer_metrics(metrics_registry& metrics, const transport& peer_transport)
{
    const transport_counters& total = peer_transport.counters();
    set_metric(metrics, "agatespar_peer_frames_refused_total", "Frames that were not sealed with the VM key.",
               total.frames_refused);
    set_metric(metrics, "agatespar_peer_frames_replayed_total", "Frames that were repeated or outdated.",
               total.frames_replayed);
    set_metric(metrics, "agatespar_peer_frames_dropped_total", "Frames that peers did not take.", total.frames_dropped);
    for (unsigned number = 0; number <= UINT8_MAX; ++number) {
        const transport_counters& kind = peer_transport.counters_of(static_cast<message_kind>(number));
        if (kind.frames_sent + kind.frames_received == 0) {
            continue;
        }
        const metric_label label{"kind", std::to_string(number)};
        set_metric(metrics, "agatespar_peer_bytes_sent_total", "Bytes sent to other VMs.", kind.bytes_sent, {label});
        set_metric(metrics, "agatespar_peer_bytes_received_total", "Bytes from other VMs.", kind.bytes_received,
                   {label});
        set_metric(metrics, "agatespar_peer_frames_sent_total", "Frames sent to other VMs.", kind.frames_sent, {label});
        set_metric(metrics, "agatespar_peer_frames_received_total", "Frames from other VMs.", kind.frames_received,
                   {label});
    }
}

static void set_config_metrics(metrics_registry& metrics, const config_reader& reader)
{
    const config_reader_counters& counters = reader.counters();
    metrics.make_gauge("agatespar_config_number", "The configuration in force.")
        .set(static_cast<double>(reader.current()->number.value()));
    set_metric(metrics, "agatespar_config_hash_mismatches_total", "Peers with the same number and another hash.",
               counters.hash_mismatches);
    set_metric(metrics, "agatespar_config_malformed_total", "Records that are no patches.", counters.malformed);
    set_metric(metrics, "agatespar_config_conflicts_total", "Patches against an outdated number.", counters.conflicts);
    set_metric(metrics, "agatespar_config_log_bytes_total", "Bytes read from the configuration's streams.",
               counters.log_bytes);
    set_metric(metrics, "agatespar_config_peer_bytes_total", "Bytes of configuration from peers.", counters.peer_bytes);
}

static void set_ledger_metrics(metrics_registry& metrics, const ledger_service& ledger,
                               const claim_client_counters& counters)
{
    set_metric(metrics, "agatespar_claims_granted_total", "Claims that won their key.", counters.granted);
    set_metric(metrics, "agatespar_claims_repeated_total", "Repeats answered with the first outcome.",
               counters.repeats_answered);
    set_metric(metrics, "agatespar_claims_refused_total", "Claims refused.", counters.refused);
    set_metric(metrics, "agatespar_claims_unknown_total", "Claims whose key has an unknown outcome.",
               counters.outcome_unknown);
    set_metric(metrics, "agatespar_claims_expired_total", "Claims that expired before dispatch.",
               counters.expired_before_dispatch);
    std::uint64_t appends = 0;
    for (const auto& [partition, owner] : ledger.owners()) {
        appends += owner->counters().appends;
    }
    set_metric(metrics, "agatespar_ledger_appends_total", "Appends of the partitions owned now.", appends);
}

static void set_usage_metrics(metrics_registry& metrics, const usage_outbox& outbox)
{
    const usage_outbox_counters& counters = outbox.counters();
    set_metric(metrics, "agatespar_usage_settled_total", "Usage records made.", counters.settled);
    set_metric(metrics, "agatespar_usage_confirmed_total", "Usage records safe in the log.", counters.confirmed);
    set_metric(metrics, "agatespar_usage_released_unheld_total", "Answers closed while only this VM held the record.",
               counters.released_unheld);
    set_metric(metrics, "agatespar_usage_adopted_total", "Records appended for VMs that are gone.", counters.adopted);
    metrics.make_gauge("agatespar_usage_pending", "Usage records that wait for the log.")
        .set(static_cast<double>(outbox.pending()));
}

/// @return the process's resident memory in bytes; zero if the system does not provide it.
static double resident_bytes()
{
    std::ifstream statistics{"/proc/self/statm"};
    double all_pages = 0;
    double resident_pages = 0;
    statistics >> all_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

static void set_process_metrics(metrics_registry& metrics)
{
    metrics.make_gauge("agatespar_process_cpu_seconds", "Processor time of this process since its start.")
        .set(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
    metrics.make_gauge("agatespar_process_resident_bytes", "Resident memory of this process, libraries included.")
        .set(resident_bytes());
}

std::string node::impl::render_metrics()
{
    set_process_metrics(metrics);
    set_request_metrics(metrics, counters, waiting.waiting());
    set_peer_metrics(metrics, *peer_transport);
    set_config_metrics(metrics, config.reader());
    set_ledger_metrics(metrics, ledger, ledger.client().counters());
    set_usage_metrics(metrics, usage.outbox());
    const http_server_counters& http_counters = server->counters();
    set_metric(metrics, "agatespar_http_requests_total", "HTTP requests.", http_counters.requests);
    set_metric(metrics, "agatespar_http_too_large_total", "HTTP requests with too large a body.",
               http_counters.too_large);
    set_metric(metrics, "agatespar_http_undelimited_total", "HTTP requests whose head does not tell where they end.",
               http_counters.undelimited);
    set_metric(metrics, "agatespar_http_timed_out_total", "HTTP requests that came too slowly.",
               http_counters.timed_out);
    set_metric(metrics, "agatespar_http_without_room_total", "HTTP requests refused as too many bytes were held.",
               http_counters.without_room);
    set_metric(metrics, "agatespar_http_slow_readers_total", "Callers disconnected as they did not read their streams.",
               http_counters.slow_readers_disconnected);
    set_metric(metrics, "agatespar_http_connections_evicted_total", "Idle connections closed in favour of new ones.",
               http_counters.evicted_connections);
    set_metric(metrics, "agatespar_http_connections_refused_total", "Connections closed without having been read.",
               http_counters.over_connection_limit);
    metrics.make_gauge("agatespar_http_connections", "Open connections of callers.")
        .set(static_cast<double>(http_counters.open_connections));
    metrics.make_gauge("agatespar_http_held_bytes", "Bytes that requests and unread answers hold.")
        .set(static_cast<double>(server->held()));
    return render_prometheus(metrics);
}

} // namespace agatespar
