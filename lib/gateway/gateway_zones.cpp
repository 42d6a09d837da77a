// Probes availability zones that are avoided, so that requests return to them soon after they can be reached again.
#include <agatespar/gateway/gateway.h>
#include <agatespar/telemetry/log.h>

#include <utility>

namespace agatespar {

// A server answers a probe at once, and a new connection takes two round trips to the farthest zone; a lost packet is
// sent again after some 200 ms.
static constexpr std::chrono::milliseconds zone_probe_timeout{400};

bool gateway::is_cut_off() const
{
    const steady_time now = loop_.time().now();
    bool has_servers = false;
    for (const auto& [name, server] : fleet_.directory().all()) {
        if (!accepts_requests(*server) || fleet_.is_evacuated(server->record.zone)) {
            continue;
        }
        if (!zones_.is_unreachable(server->record.zone, now)) {
            return false;
        }
        has_servers = true;
    }
    return has_servers;
}

void gateway::update_cut_off()
{
    if (std::exchange(cut_off_, is_cut_off()) != cut_off_) {
        log_event(cut_off_ ? log_severity::warning : log_severity::info, cut_off_ ? "servers_lost" : "servers_regained",
                  {{"servers", static_cast<std::uint64_t>(fleet_.directory().all().size())}});
    }
}

void gateway::probe_zones()
{
    for (const zone_name& zone : zones_.take_due_probes(loop_.time().now())) {
        std::vector<std::shared_ptr<fleet_server>> servers;
        for (const auto& [name, server] : fleet_.directory().all()) {
            if (server->record.zone == zone && accepts_requests(*server)) {
                servers.push_back(server);
            }
        }
        if (servers.empty()) {
            continue;
        }
        // A random one, as the server that failed may have crashed by itself.
        std::uniform_int_distribution<std::size_t> any{0, servers.size() - 1};
        start_zone_probe(zone, servers[any(random_)]);
    }
}

void gateway::start_zone_probe(const zone_name& zone, const std::shared_ptr<fleet_server>& server)
{
    zone_probe& probe = zone_probes_[zone];
    end_zone_probe(probe);
    client_request request = make_probe_request(protocol_, *server);
    request.connect_timeout = zone_probe_timeout;
    client_callbacks callbacks;
    callbacks.head = [this, zone, server](const http_answer_head& head) {
        server->last_received_at = loop_.time().now();
        if (protocol_.read_answer(head).leaving) {
            fleet_.note_says_leaving(*server, request_id{});
        }
        zones_.note_reached(zone);
        log_event(log_severity::info, "zone_reached",
                  {{"zone", zone.value()}, {"server", server->record.name.value()}});
    };
    callbacks.body = [](std::string_view) {};
    callbacks.done = [] {};
    callbacks.failed = [this, zone](const send_failure& failure) {
        // A refused connection shows that the zone answers, but not that its servers do.
        if (!failure.connection_ended) {
            zones_.note_probe_failed(zone, loop_.time().now());
        }
    };
    auto started = pool_.start(request, std::move(callbacks));
    if (!started) {
        log_event(log_severity::debug, "probe_not_started", {{"reason", started.error().message}});
        return;
    }
    metrics_.make_counter("agatespar_zone_probes_total", "Probes of zones that are avoided.", {{"zone", zone.value()}})
        .add();
    probe.call = std::move(*started);
    probe.timer = loop_.schedule(zone_probe_timeout, [this, zone] {
        zone_probe& silent = zone_probes_[zone];
        silent.timer.reset();
        end_zone_probe(silent);
        zones_.note_probe_failed(zone, loop_.time().now());
    });
}

void gateway::end_zone_probe(zone_probe& probe)
{
    if (probe.timer) {
        loop_.cancel(*probe.timer);
        probe.timer.reset();
    }
    if (probe.call) {
        probe.call->cancel();
        probe.call.reset();
    }
}

} // namespace agatespar
