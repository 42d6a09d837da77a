// All services of one VM, in the order of their construction; private to the node.
#pragma once

#include <agatespar/backend/crash_guard.h>
#include <agatespar/frontend/caller_api.h>
#include <agatespar/kernel/glib_event_loop.h>
#include <agatespar/kernel/service_registry.h>
#include <agatespar/node/config_service.h>
#include <agatespar/node/ledger_service.h>
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>
#include <agatespar/node/node.h>
#include <agatespar/node/operator_api.h>
#include <agatespar/node/server_service.h>
#include <agatespar/node/settings.h>
#include <agatespar/node/usage_service.h>
#include <agatespar/node/zone_service.h>
#include <agatespar/platform/gio_http_client.h>
#include <agatespar/request/account_limits.h>
#include <agatespar/request/answer_quality.h>
#include <agatespar/request/call_forwarding.h>
#include <agatespar/request/chat_service.h>
#include <agatespar/request/explain_store.h>
#include <agatespar/request/forwarding.h>
#include <agatespar/request/service_run.h>
#include <agatespar/routing/retry_budget.h>
#include <agatespar/telemetry/metrics.h>
#include <agatespar/telemetry/trace.h>

#include <memory>
#include <random>

namespace agatespar {

/// The services. Each may use the ones declared before it.
struct node::impl {
    impl(glib_event_loop& event_loop, const node_settings& initial, std::unique_ptr<transport> opened);
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl();

    /// Starts to accept requests over HTTP.
    outcome<void> listen();
    void stop();

    void wire_requests();
    void wire_interfaces();
    void handle_exchange(const std::shared_ptr<http_exchange>& exchange);
    bool is_ready() const;
    nlohmann::json status();
    std::string render_metrics();
    void write_port_file() const;
    void export_traces();
    void update_quality();
    void begin_drain();
    void check_drain();
    void finish_stop();

    glib_event_loop& loop;
    node_settings settings;
    std::mt19937_64 random;
    std::unique_ptr<transport> peer_transport;
    message_router router;
    service_registry registry;
    gio_http_client http;
    log_service log;
    metrics_registry metrics;
    span_recorder spans;
    span_sink trace_sink;
    explain_store explanations;
    request_counters counters;
    retry_budget retries;
    wait_limiter waiting;
    server_table table;
    answer_quality quality;
    account_limits limits;
    crash_guard crashes;
    membership_service members;
    config_service config;
    server_service servers;
    zone_service zones;
    ledger_service ledger;
    usage_service usage;
    std::unique_ptr<chat_service> chat;
    std::unique_ptr<forwarding> forwards;
    std::unique_ptr<call_forwarding> call_forwards;
    service_dependencies calls;
    caller_api_dependencies caller_api;
    operator_api_dependencies operator_api;
    std::unique_ptr<http_server> server;

    bool stopping{false};
    steady_time drain_deadline;
    std::size_t cut{0};
    timer_id drain_timer;
    timer_id trace_timer;
    timer_id quality_timer;
    std::uint64_t quality_ticks{0};
};

} // namespace agatespar
