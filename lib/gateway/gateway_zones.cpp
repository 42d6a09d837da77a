// Probes availability zones that are avoided, so that requests return to them soon after they can be reached again.
#include <agatespar/gateway/gateway.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <utility>

namespace agatespar {

// A server answers a probe at once, and a new connection takes two round trips to the farthest zone; a lost packet is
// sent again after some 200 ms.
static constexpr std::chrono::milliseconds zone_probe_timeout{400};
// Servers that are probed at a time. Single servers of a zone may be down or silent while the zone can be reached.
static constexpr std::size_t probes_per_zone = 3;

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
        std::shuffle(servers.begin(), servers.end(), random_);
        // Those that this VM has not found to fail come first.
        std::stable_partition(servers.begin(), servers.end(), [](const auto& server) { return server->failures == 0; });
        servers.resize(std::min(servers.size(), probes_per_zone));
        start_zone_probes(zone, servers);
    }
}

void gateway::start_zone_probes(const zone_name& zone, const std::vector<std::shared_ptr<fleet_server>>& servers)
{
    zone_probe_round& round = zone_probes_[zone];
    end_zone_probes(round);
    for (const auto& server : servers) {
        client_request request = make_probe_request(protocol_, *server);
        request.connect_timeout = zone_probe_timeout;
        client_callbacks callbacks;
        callbacks.head = [this, zone, server](const http_answer_head& head) { on_zone_answer(zone, *server, head); };
        callbacks.body = [](std::string_view) {};
        callbacks.done = [] {};
        callbacks.failed = [](const send_failure&) {};
        if (auto started = pool_.start(request, std::move(callbacks)); started) {
            round.calls.push_back(std::move(*started));
        }
    }
    metrics_.make_counter("agatespar_zone_probes_total", "Probes of zones that are avoided.", {{"zone", zone.value()}})
        .add(round.calls.size());
    if (round.calls.empty()) {
        return;
    }
    round.timer = loop_.schedule(zone_probe_timeout, [this, zone] {
        zone_probe_round& silent = zone_probes_[zone];
        silent.timer.reset();
        end_zone_probes(silent);
        zones_.note_probe_failed(zone, loop_.time().now());
    });
}

void gateway::on_zone_answer(const zone_name& zone, fleet_server& server, const http_answer_head& head)
{
    server.last_received_at = loop_.time().now();
    if (protocol_.read_answer(head).leaving) {
        fleet_.note_says_leaving(server, request_id{});
    }
    zones_.note_reached(zone);
    zone_probe_round& round = zone_probes_[zone];
    if (round.timer) {
        loop_.cancel(*round.timer);
        round.timer.reset();
        log_event(log_severity::info, "zone_reached", {{"zone", zone.value()}, {"server", server.record.name.value()}});
    }
}

void gateway::end_zone_probes(zone_probe_round& round)
{
    if (round.timer) {
        loop_.cancel(*round.timer);
        round.timer.reset();
    }
    for (const auto& call : round.calls) {
        call->cancel();
    }
    round.calls.clear();
}

} // namespace agatespar
