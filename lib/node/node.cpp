// Constructs and connects the services of one VM, and stops them in order.
#include "node_services.h"
#include "session_codec.h"

#include <agatespar/http/connection_limit.h>
#include <agatespar/platform/http_engine.h>
#include <agatespar/platform/http_log.h>
#include <agatespar/platform/http_plain_service.h>
#include <agatespar/platform/http_rating_service.h>
#include <agatespar/platform/http_vm_list.h>
#include <agatespar/telemetry/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>

namespace agatespar {

static constexpr std::chrono::seconds trace_interval{2};
static constexpr std::chrono::seconds quality_interval{1};
static constexpr std::uint64_t quality_ticks_per_publish = 5;
static constexpr std::chrono::milliseconds drain_interval{50};
// Time between the last messages of a stopping VM and the end of its process, so that they are sent.
static constexpr std::chrono::milliseconds exit_delay{200};

/// @return the number of zones with entry VMs.
static std::size_t count_zones(const std::vector<vm_entry>& entries)
{
    std::set<zone_id> zones;
    for (const vm_entry& entry : entries) {
        if (entry.kind == vm_kind::entry) {
            zones.insert({entry.fleet, entry.zone});
        }
    }
    return zones.size();
}

static rating_service make_rating(const node_settings& settings, const http_client& client)
{
    return settings.rating_url.empty() ? rating_service{} : make_http_rating_service(client, settings.rating_url);
}

static span_sink make_trace_sink(const node_settings& settings, const http_client& client)
{
    if (!settings.trace_file.empty()) {
        return make_file_span_sink(settings.trace_file);
    }
    if (settings.trace_url.empty()) {
        return {};
    }
    return [client, url = settings.trace_url](std::string json) {
        http_request request;
        request.method = "POST";
        request.url = url;
        request.body = std::move(json);
        client.send(std::move(request), [](const outcome<http_response>&) {});
    };
}

node::impl::impl(glib_event_loop& event_loop, const node_settings& initial, std::unique_ptr<transport> opened)
    : loop(event_loop), settings(initial), random(std::random_device{}()), peer_transport(std::move(opened)),
      http(loop), log(make_http_log(http.client(), settings.log_url)), spans({}, random()),
      trace_sink(make_trace_sink(settings, http.client())), table(settings.zone),
      quality(table, peer_transport->self()),
      members(loop, *peer_transport, router, settings.zone, peer_transport->self(), settings.peers),
      config(loop, log, *peer_transport, router, members, random),
      servers(loop, make_http_vm_list(http.client(), settings.vm_list_url), make_http_engine(http.client()),
              *peer_transport, router, members, table),
      zones(loop, *peer_transport, router, members, table, config.reader(), settings.region, random),
      ledger(loop, log, *peer_transport, router, members, ledger_settings{}),
      usage(loop, log, *peer_transport, router, members, random)
{
    registry.provide("membership", members);
    registry.provide("config", config);
    registry.provide("servers", servers);
    registry.provide("zones", zones);
    registry.provide("ledger", ledger);
    registry.provide("usage", usage);
    peer_transport->set_handler([this](const frame& received) { router.dispatch(received); });
    config.listen([this](const std::shared_ptr<const configuration>& changed) {
        table.apply_configuration(changed);
        servers.apply_configuration(*changed);
        quality.apply_configuration();
        log_event(log_severity::info, "configuration_in_force", {{"number", changed->number.value()}});
    });
    servers.listen([this](const std::vector<vm_entry>& entries) {
        zones.on_vm_list(entries);
        ledger.set_zones(count_zones(entries));
        limits.set_vms(
            static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const vm_entry& entry) {
                return entry.kind == vm_kind::entry && entry.state == vm_state::live;
            })));
    });
    wire_requests();
    wire_interfaces();
    members.listen([this](const membership_event& event) {
        const bool counts = event.kind == membership_event_kind::item && event.item.kind == gossip_kind::version_counts;
        if (counts) {
            quality.import_counts(event.item.bytes);
        }
        const bool verdict =
            event.kind == membership_event_kind::item && event.item.kind == gossip_kind::quarantine_verdict;
        if (verdict) {
            crashes.on_item(event.item, loop.time().now());
        }
    });
    trace_timer = loop.schedule(trace_interval, [this] { export_traces(); });
    quality.set_rating_available(!settings.rating_url.empty());
    update_quality();
}

node::impl::~impl()
{
    loop.cancel(quality_timer);
    loop.cancel(trace_timer);
    loop.cancel(drain_timer);
}

void node::impl::wire_requests()
{
    const auto send = [this](const std::string& address, message_kind kind, std::string payload) {
        return peer_transport->send(address, kind, std::move(payload));
    };
    const auto pick_vm = [this](const zone_id& zone) { return zones.pick_vm(zone); };
    const auto next_id = [this] { return random(); };
    forwards = std::make_unique<forwarding>(
        forwarding_dependencies{&loop, next_id, send, pick_vm, [this](chat_request request, answer_sink sink) {
                                    return chat->run(std::move(request), std::move(sink), true);
                                }});
    call_forwards = std::make_unique<call_forwarding>(call_forwarding_dependencies{
        &loop, next_id, send, pick_vm, [this](service_request request, service_callback callback) {
            run_service_call(calls, std::move(request), true, std::move(callback));
        }});
    router.handle({message_kind::forward_request, message_kind::forward_chunk, message_kind::forward_end,
                   message_kind::forward_cancel},
                  [this](const frame& received) { forwards->take(received); });
    router.handle({message_kind::forward_call, message_kind::forward_answer},
                  [this](const frame& received) { call_forwards->take(received); });
    chat = std::make_unique<chat_service>(chat_dependencies{
        &loop, &table, &random, &explanations, &spans, &counters, make_http_engine(http.client()), servers.source(),
        make_session_codec(settings.session_secret),
        [this](const zone_id& zone, const chat_request& request, duration remaining, const answer_sink& sink) {
            return forwards->send(zone, request, remaining, sink);
        },
        usage.account(), [this] { return config.reader().contact_age(); }, &retries, &waiting, &quality, &crashes,
        [this](const gossip_item& item) { members.members().publish(item, true); },
        make_rating(settings, http.client())});
    calls = service_dependencies{
        &loop,
        &table,
        &random,
        &explanations,
        &spans,
        &counters,
        &ledger.client(),
        &retries,
        &waiting,
        make_http_plain_service(http.client()),
        servers.source(),
        usage.account(),
        [this] { return config.reader().contact_age(); },
        [this](const zone_id& zone, const service_request& request, duration remaining, service_callback callback) {
            call_forwards->send(zone, request, remaining, std::move(callback));
        },
        ledger_settings{}};
}

void node::impl::wire_interfaces()
{
    caller_api.loop = &loop;
    caller_api.random = &random;
    caller_api.config = [this] { return config.reader().current(); };
    caller_api.run_chat = [this](chat_request request, answer_sink sink) {
        return chat->run(std::move(request), std::move(sink), false);
    };
    caller_api.run_service = [this](service_request request, service_callback callback) {
        run_service_call(calls, std::move(request), false, std::move(callback));
    };
    caller_api.look_up_outcome = [this](const service_request& request, service_callback callback) {
        look_up_service_outcome(calls, request, std::move(callback));
    };
    caller_api.cancel_key = [this](const service_request& request, service_callback callback) {
        cancel_service_key(calls, request, std::move(callback));
    };
    caller_api.consume_rate = [this](const client_account_id& account) -> outcome<void> {
        const client_account_settings* found = find_account(table.config(), account);
        return found == nullptr ? outcome<void>{} : limits.take(account, *found, loop.time().now());
    };
    caller_api.accepts_requests = [this] { return config.reader().ready() && servers.ready(); };
    operator_api.key_hashes = settings.operator_key_hashes;
    operator_api.ready = [this] { return is_ready(); };
    operator_api.metrics = [this] { return render_metrics(); };
    operator_api.status = [this] { return status(); };
    operator_api.explain = [this](const std::string& request) { return explanations.find(request_id{request}); };
}

outcome<void> node::impl::listen()
{
    http_server_settings server_settings;
    server_settings.listen_address = settings.listen;
    server_settings.tls_certificate_file = settings.tls_certificate_file;
    server_settings.tls_key_file = settings.tls_key_file;
    server_settings.max_held_bytes = settings.client_memory_bytes;
    const std::size_t descriptors = process_descriptor_limit();
    server_settings.max_connections =
        std::min(settings.max_connections, client_connection_limit(descriptors, descriptors));
    auto opened = http_server::open(
        loop, server_settings, [this](const std::shared_ptr<http_exchange>& exchange) { handle_exchange(exchange); });
    if (!opened) {
        return tl::make_unexpected(opened.error());
    }
    server = *std::move(opened);
    write_port_file();
    return {};
}

void node::impl::handle_exchange(const std::shared_ptr<http_exchange>& exchange)
{
    if (handle_operator_request(operator_api, exchange) || handle_caller_request(caller_api, exchange)) {
        return;
    }
    respond_error(*exchange, {error_code::not_found, "no such path", run_state::not_run, {}}, request_id{});
}

bool node::impl::is_ready() const
{
    return !stopping && config.reader().ready() && servers.ready();
}

void node::impl::write_port_file() const
{
    if (settings.port_file.empty()) {
        return;
    }
    const nlohmann::json addresses{{"http", server->address()}, {"peer", peer_transport->address()}};
    const std::string unfinished = settings.port_file + ".tmp";
    std::ofstream{unfinished} << addresses.dump() << "\n";
    std::rename(unfinished.c_str(), settings.port_file.c_str());
}

void node::impl::export_traces()
{
    trace_timer = loop.schedule(trace_interval, [this] { export_traces(); });
    if (trace_sink) {
        export_spans(spans, "agatespard",
                     to_string(settings.zone) + "/" + std::to_string(peer_transport->self().value()), trace_sink);
    }
}

/// Updates the versions' quality from the ratings, and regularly publishes this VM's counts to the other VMs of the
/// zone.
void node::impl::update_quality()
{
    quality_timer = loop.schedule(quality_interval, [this] { update_quality(); });
    for (const guard_change& change : quality.tick()) {
        log_event(log_severity::warning, change.stopped ? "version_stopped" : "version_released",
                  {{"version", to_string(change.version)}, {"reason", change.reason}});
    }
    if (++quality_ticks % quality_ticks_per_publish != 0) {
        return;
    }
    for (const auto& fleet : table.config().fleets) {
        const std::string counts = quality.export_counts(fleet.first);
        if (!counts.empty()) {
            const std::string name = fleet.first.value() + "/" + std::to_string(peer_transport->self().value());
            members.members().publish({gossip_kind::version_counts, name, quality_ticks, 0, counts}, false);
        }
    }
}

void node::impl::stop()
{
    if (stopping) {
        return;
    }
    stopping = true;
    log_event(log_severity::info, "stopping", {{"running", counters.running}});
    members.members().announce_leaving(loop.time().now());
    drain_timer = loop.schedule(settings.notice_time, [this] { begin_drain(); });
}

void node::impl::begin_drain()
{
    drain_deadline = loop.time().now() + settings.drain_time;
    check_drain();
}

/// Waits until requests, claims and usage records are finished, or the drain time is over. New requests are still
/// served, as the balancer may detect the stop late and a refusal would fail a caller's request.
void node::impl::check_drain()
{
    usage.outbox().flush();
    const bool finished = counters.running == 0 && ledger.unfinished() == 0 && usage.outbox().pending() == 0;
    if (finished || loop.time().now() >= drain_deadline) {
        finish_stop();
        return;
    }
    drain_timer = loop.schedule(drain_interval, [this] { check_drain(); });
}

void node::impl::finish_stop()
{
    cut = counters.running;
    log_event(cut == 0 ? log_severity::info : log_severity::warning, "stopped",
              {{"cut_requests", static_cast<std::uint64_t>(cut)}});
    members.leave();
    export_traces();
    drain_timer = loop.schedule(exit_delay, [this] { loop.quit(); });
}

outcome<std::unique_ptr<node>> node::open(glib_event_loop& loop, const node_settings& settings)
{
    std::random_device source;
    const boot_id self{(std::uint64_t{source()} << 32U) | source()};
    auto peer_transport = transport::open(loop, {settings.peer_listen, settings.key, self});
    if (!peer_transport) {
        return tl::make_unexpected(peer_transport.error());
    }
    auto opened = std::unique_ptr<node>{new node{std::make_unique<impl>(loop, settings, *std::move(peer_transport))}};
    if (auto listening = opened->impl_->listen(); !listening) {
        return tl::make_unexpected(listening.error());
    }
    return opened;
}

node::node(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

node::~node() = default;

void node::stop()
{
    impl_->stop();
}

const std::string& node::http_address() const
{
    return impl_->server->address();
}

const std::string& node::peer_address() const
{
    return impl_->peer_transport->address();
}

std::size_t node::cut_requests() const
{
    return impl_->cut;
}

} // namespace agatespar
