// Connects the topics of the store, the listeners and the handling of requests.
#include "transparent_request.h"

#include <agatespar/gateway/crash_record.h>
#include <agatespar/gateway/evidence_record.h>
#include <agatespar/gateway/gateway.h>
#include <agatespar/gateway/store_traffic.h>
#include <agatespar/support/hash.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <tuple>

namespace agatespar {

// Interval of updates to state that depends on time alone, such as expiring records and the end of a roll-out.
static constexpr std::chrono::milliseconds tick_interval{200};
// The platform checks the readiness of a VM each second, and stops sending clients to it after two failed checks.
static constexpr std::chrono::milliseconds readiness_notice_delay{2500};
// Time left at the end of the shutdown before the platform kills the process.
static constexpr std::chrono::milliseconds shutdown_margin{400};
// Time left before that for the answers of requests that are still open.
static constexpr std::chrono::milliseconds last_answers_margin{200};
// Interval at which a stopping VM checks for open requests.
static constexpr std::chrono::milliseconds idle_check_interval{50};
// Maximum size of the headers of readiness checks and of reads of the metrics: the platform sends short ones.
static constexpr std::uint32_t readiness_header_bytes = 4096;
// Maximum number of connections for readiness checks, and of those for the metrics: the platform uses one or two.
static constexpr std::size_t platform_connections = 16;

/// @return an id of this start of the process, so that a restarted VM is not mistaken for its previous instance.
static std::uint64_t own_boot_id(const std::string& vm_name, const event_loop& loop)
{
    const auto started = loop.time().wall_now().time_since_epoch().count();
    return combine_hashes(stable_hash(vm_name), static_cast<std::uint64_t>(started));
}

outcome<std::unique_ptr<gateway>> gateway::open(event_loop& loop, const gateway_settings& settings,
                                                const gateway_protocol& protocol, const fleet_store& store,
                                                connection_pool& pool, const peer_link_opener& open_link,
                                                std::function<void()> on_stopped)
{
    auto opened = std::make_unique<gateway>(loop, settings, protocol, store, pool, open_link, std::move(on_stopped));
    auto* self = opened.get();
    auto front = http_listener::open(
        loop, settings.front_address, server_limits{}, [self](const auto& exchange) { self->handle_request(exchange); },
        pool.memory());
    if (!front) {
        return tl::make_unexpected(front.error());
    }
    opened->front_ = std::move(*front);
    server_limits limits;
    limits.message = {readiness_header_bytes, 0};
    auto readiness = http_listener::open(
        loop, settings.readiness_address, limits, [self](const auto& exchange) { self->answer_readiness(exchange); },
        pool.memory());
    if (!readiness) {
        return tl::make_unexpected(readiness.error());
    }
    opened->readiness_ = std::move(*readiness);
    auto metrics_listener = http_listener::open(
        loop, settings.metrics_address, limits, [self](const auto& exchange) { self->answer_metrics(exchange); },
        pool.memory());
    if (!metrics_listener) {
        return tl::make_unexpected(metrics_listener.error());
    }
    opened->metrics_listener_ = std::move(*metrics_listener);
    opened->apply_descriptor_limit();
    opened->relay_->start();
    opened->tick();
    return opened;
}

gateway::gateway(event_loop& loop, const gateway_settings& settings, const gateway_protocol& protocol,
                 const fleet_store& store, connection_pool& pool, const peer_link_opener& open_link,
                 std::function<void()> on_stopped)
    : loop_(loop), settings_(settings), protocol_(protocol),
      store_(count_store_calls(store, metrics_, [this] { return relay_ ? relay_->role() : "start"; })), pool_(pool),
      on_stopped_(std::move(on_stopped)), random_(stable_hash(settings.vm_name)),
      fleet_(store_, settings.rollouts, own_boot_id(settings.vm_name, loop)), queues_(loop, metrics_, random_())
{
    make_followers(count_relay_bytes(open_link, metrics_));
    limit_memory();
}

gateway::~gateway()
{
    if (tick_timer_) {
        loop_.cancel(*tick_timer_);
    }
    for (auto& [zone, round] : zone_probes_) {
        end_zone_probes(round);
    }
}

std::unique_ptr<topic_follower> gateway::make_follower(const follower_settings& settings,
                                                       std::function<void(const keyed_record&)> changed)
{
    follower_callbacks callbacks;
    callbacks.changed = [this, changed = std::move(changed)](const keyed_record& record) {
        changed(record);
        relay_->schedule_push();
    };
    callbacks.complete = [this, topic = settings.topic] {
        log_event(log_severity::info, "topic_known", {{"topic", topic_label(topic)}});
        relay_->on_topic_complete();
    };
    callbacks.reachable = [this, topic = settings.topic](bool reachable, const std::string& reason, steady_time since) {
        on_reachability_changed(topic, reachable, reason, since);
    };
    callbacks.restored = [this, topic = settings.topic](store_era before, store_era now, std::uint64_t end) {
        log_event(log_severity::warning, "store_era_changed",
                  {{"topic", topic_label(topic)}, {"before", before.value()}, {"now", now.value()}, {"end", end}});
        metrics_
            .make_counter("agatespar_store_restorations_total",
                          "Restorations of the store from an older copy, as seen in a topic.",
                          {{"topic", topic_label(topic)}})
            .add();
        if (topic == fleet_topic::reports) {
            fleet_.note_reports_restored(loop_.time().now());
        }
    };
    if (settings.topic == fleet_topic::operator_orders) {
        // The configuration in force never goes back to an older version.
        callbacks.ignores_older = [this](const std::string& key) {
            return store_.read_operator_key(key).what == operator_key::subject::service_map;
        };
    }
    return std::make_unique<topic_follower>(loop_, store_, settings, std::move(callbacks));
}

follower_settings make_follower_settings(fleet_topic topic, const gateway_settings& settings)
{
    follower_settings follower;
    follower.topic = topic;
    switch (topic) {
    case fleet_topic::operator_orders:
        follower.wait = settings.poll_wait;
        break;
    case fleet_topic::reports:
        follower.wait = settings.rollout_poll_wait;
        break;
    case fleet_topic::servers:
        follower.wait = settings.poll_wait;
        follower.poll_interval = settings.server_poll_interval;
        follower.restore_grace = settings.server_restore_grace;
        follower.max_value_bytes = settings.max_server_entry_bytes;
        break;
    case fleet_topic::evidence:
        follower.wait = settings.rollout_poll_wait;
        follower.poll_interval = settings.evidence_poll_interval;
        break;
    case fleet_topic::vms:
        follower.poll_interval = settings.evidence_poll_interval;
        follower.starts_empty = settings.first_start;
        break;
    }
    return follower;
}

void gateway::make_followers(const peer_link_opener& open_link)
{
    const auto follow = [this](fleet_topic topic, std::function<void(const keyed_record&)> changed) {
        return make_follower(make_follower_settings(topic, settings_), std::move(changed));
    };
    orders_ = follow(fleet_topic::operator_orders, [this](const keyed_record& record) {
        fleet_.apply_operator_record(record, loop_.time().now());
        apply_limits();
    });
    servers_ = follow(fleet_topic::servers,
                      [this](const keyed_record& record) { fleet_.apply_server_record(record, loop_.time().now()); });
    reports_ = follow(fleet_topic::reports, [this](const keyed_record& record) { fleet_.apply_report_record(record); });
    evidence_ = follow(fleet_topic::evidence, [this](const keyed_record& record) {
        if (is_crash_record(record)) {
            apply_crash_record(record);
            return;
        }
        fleet_.apply_evidence_record(record, loop_.time().now());
    });
    vms_ = follow(fleet_topic::vms, [this](const keyed_record& record) { relay_->apply_vm_record(record); });
    relay_settings relay;
    relay.self = {settings_.vm_name, settings_.zone, settings_.peer_address, settings_.link_mbps, settings_.cpu_share};
    // The followers are passed in the order of fleet_topic.
    relay_ = std::make_unique<record_relay>(
        loop_, store_, relay,
        record_relay::follower_set{orders_.get(), servers_.get(), reports_.get(), evidence_.get(), vms_.get()},
        open_link);
    fleet_.set_cold_phase([this](const server_record& server) {
        return relay_->relative_rank(
            combine_hashes(stable_hash(server.name.value()), static_cast<std::uint64_t>(server.started_unix_ms)));
    });
}

void gateway::on_reachability_changed(fleet_topic topic, bool reachable, const std::string& reason, steady_time since)
{
    log_event(reachable ? log_severity::info : log_severity::warning, reachable ? "store_regained" : "store_lost",
              {{"topic", topic_label(topic)}, {"reason", reason}});
    if (topic != fleet_topic::servers) {
        return;
    }
    if (reachable) {
        fleet_.note_store_back(since);
    }
    else {
        fleet_.note_store_lost(since);
    }
}

void gateway::apply_limits()
{
    if (fleet_.map()) {
        front_->set_limits(fleet_.map()->limits);
    }
}

void gateway::apply_descriptor_limit()
{
    const bool has_limit = settings_.max_fds.has_value();
    front_->set_connection_limit(
        has_limit ? std::optional{client_connection_limit(*settings_.max_fds, process_descriptor_limit())}
                  : std::nullopt);
    for (http_listener* listener : {readiness_.get(), metrics_listener_.get()}) {
        listener->set_connection_limit(has_limit ? std::optional{platform_connections} : std::nullopt);
    }
}

bool gateway::is_ready() const
{
    return !stopping_ && !cut_off_ && fleet_.map() && orders_->is_complete() && servers_->is_complete() &&
           reports_->is_complete();
}

void gateway::answer_readiness(const std::shared_ptr<server_exchange>& exchange) const
{
    const bool is_readiness_path = exchange->head().target == settings_.readiness_path;
    exchange->answer(local_answer_head(!is_readiness_path ? 404 : is_ready() ? 200 : 503), {});
}

void gateway::answer_metrics(const std::shared_ptr<server_exchange>& exchange)
{
    if (exchange->head().target != settings_.metrics_path) {
        exchange->answer(local_answer_head(404), {});
        return;
    }
    refresh_metrics();
    http_answer_head head = local_answer_head(200);
    head.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    exchange->answer(head, render_prometheus(metrics_));
}

void gateway::refresh_metrics()
{
    const auto show = [this](std::string_view name, std::string_view help, double value, metric_labels labels = {}) {
        metrics_.make_gauge(name, help, std::move(labels)).set(value);
    };
    show("agatespar_configuration_version", "Version of the configuration in force; 0 before the first.",
         fleet_.map() ? static_cast<double>(fleet_.map()->version.value()) : 0);
    show("agatespar_ready", "Whether this VM says that it is ready.", is_ready() ? 1 : 0);
    show("agatespar_cut_off", "Whether no server can be reached from this VM.", cut_off_ ? 1 : 0);
    show("agatespar_open_requests", "Requests under way.", static_cast<double>(front_->open_exchanges()));
    show("agatespar_client_connections", "Open connections of clients.", static_cast<double>(front_->connections()));
    show("agatespar_servers", "Backend servers that are known.", static_cast<double>(fleet_.directory().all().size()));
    show("agatespar_vms", "VMs that are listed in the store.", static_cast<double>(relay_->vms()));
    show("agatespar_reads_store", "Whether this VM reads the store itself.", relay_->reads_store() ? 1 : 0);
    for (const auto* follower : {&orders_, &servers_, &reports_, &evidence_, &vms_}) {
        show("agatespar_store_reachable", "Whether a topic of the platform's store can be read.",
             (*follower)->is_reachable() ? 1 : 0, {{"topic", topic_label((*follower)->topic())}});
    }
    for (const auto& [service, retired] : fleet_.retired_versions()) {
        show("agatespar_retired_versions", "Versions of a service that get no requests.",
             static_cast<double>(retired.size()), {{"service", service.value()}});
    }
    const auto count = [this](std::string_view name, std::string_view help, std::uint64_t value) {
        metrics_.make_counter(name, help).value = value;
    };
    count("agatespar_client_connections_evicted_total", "Client connections closed in favour of new ones.",
          front_->counters().evicted);
    count("agatespar_client_connections_refused_total", "Client connections closed without having been read.",
          front_->counters().refused);
    count("agatespar_accept_pauses_total", "Pauses in accepting clients, as no descriptor was left.",
          front_->counters().accept_pauses);
    count("agatespar_server_connections_opened_total", "Connections opened to servers and the store.",
          pool_.counters().opened);
    count("agatespar_server_connections_reused_total", "Calls on kept connections.", pool_.counters().reused);
    count("agatespar_strange_answers_total", "Answers of other requests that were skipped.",
          pool_.counters().mismatched_answers);
    show_memory();
    if (metrics_source_) {
        metrics_source_(metrics_);
    }
}

void gateway::handle_request(const std::shared_ptr<server_exchange>& exchange)
{
    std::make_shared<transparent_request>(*this, exchange)->start();
}

void gateway::tick()
{
    fleet_.tick(loop_.time().now());
    probe_zones();
    update_cut_off();
    check_memory_pressure();
    write_evidence_rows();
    write_reports();
    tick_timer_ = loop_.schedule(tick_interval, [this] { tick(); });
}

void gateway::write_evidence_rows()
{
    for (auto& [service, watch] : fleet_.rollouts()) {
        if (const auto evidence = watch.next_evidence(loop_.time().now())) {
            relay_->write_row(fleet_topic::evidence, write_evidence(*evidence, settings_.vm_name));
        }
    }
}

void gateway::write_reports()
{
    if (writing_report_ || !reports_->is_complete() || !reports_->is_gap_free()) {
        return;
    }
    for (auto& [service, watch] : fleet_.rollouts()) {
        const bool target_serves = fleet_.directory().serves(service, watch.order().target);
        const auto report = watch.next_report(loop_.time().now(), target_serves, relay_->is_reader());
        if (!report) {
            continue;
        }
        const guard_verdict& failures = watch.failure_verdict();
        const guard_verdict& slowness = watch.slowness_verdict();
        log_event(log_severity::info, "rollout_report_sent",
                  {{"service", service.value()},
                   {"target", report->target.value()},
                   {"state", static_cast<int>(report->state)},
                   {"target_failed", failures.candidate.bad},
                   {"target_slow", slowness.candidate.bad},
                   {"target_answers", failures.candidate.total()},
                   {"others_failed", failures.incumbent.bad},
                   {"others_slow", slowness.incumbent.bad},
                   {"others_answers", failures.incumbent.total()},
                   {"failure_evidence", failures.evidence},
                   {"slowness_evidence", slowness.evidence}});
        writing_report_ = true;
        store_.append(
            fleet_topic::reports, {store_.write_report(fleet_.with_retired(*report))}, reports_->end(),
            [this](append_result result) {
                // The follower receives the report when it has been written, even if the answer of this call was
                // lost; until then it may be sent again.
                writing_report_ = false;
                log_event(log_severity::info, "rollout_report_written", {{"result", static_cast<int>(result)}});
            });
        return;
    }
}

double gateway::assumed_vms() const
{
    return std::max(settings_.min_vms, settings_.vm_count_factor * listed_vms());
}

double gateway::listed_vms() const
{
    return std::max(1.0, static_cast<double>(relay_->vms()));
}

service_retry_budget& gateway::budget_of(const service_name& service)
{
    service_retry_budget& budget = budgets_.try_emplace(service, settings_.retries).first->second;
    budget.set_assumed_vms(assumed_vms());
    return budget;
}

bool gateway::waits_for_room(const std::shared_ptr<const service_map>& map)
{
    if (map != evaluated_map_ || servers_report_speed_ != evaluated_speed_) {
        evaluated_map_ = map;
        evaluated_speed_ = servers_report_speed_;
        waits_for_room_ = uses_waiting_queue(*map, servers_report_speed_);
    }
    return waits_for_room_;
}

bool gateway::update_settings(const gateway_settings& changed)
{
    const auto addresses = [](const gateway_settings& of) {
        return std::tie(of.front_address, of.readiness_address, of.metrics_address, of.peer_address, of.zone);
    };
    const bool has_other_addresses = addresses(settings_) != addresses(changed);
    settings_.shutdown_timeout = changed.shutdown_timeout;
    settings_.retries = changed.retries;
    for (auto& [service, budget] : budgets_) {
        budget.change(settings_.retries);
    }
    settings_.rollouts = changed.rollouts;
    fleet_.change_rollout_settings(settings_.rollouts);
    settings_.max_fds = changed.max_fds;
    apply_descriptor_limit();
    relay_->set_own_capacity(changed.link_mbps, changed.cpu_share);
    settings_.memory_mb = changed.memory_mb;
    limit_memory();
    return has_other_addresses;
}

void gateway::stop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    log_event(log_severity::info, "stopping",
              {{"open_requests", static_cast<std::uint64_t>(front_->open_exchanges())}});
    front_->close_after_answers();
    const steady_time until = loop_.time().now() + settings_.shutdown_timeout - shutdown_margin;
    requests_end_at_ = until - last_answers_margin;
    queues_.stop();
    for (transparent_request* request : open_requests_) {
        request->limit_time(*requests_end_at_);
    }
    loop_.schedule(std::min(readiness_notice_delay, settings_.shutdown_timeout / 2), [this, until] {
        front_->stop();
        end_when_idle(until);
    });
}

void gateway::end_when_idle(steady_time until)
{
    // Answers that have not been sent completely to their clients count as open requests too.
    const std::size_t open = front_->open_exchanges() + front_->lingering();
    if (open == 0 || loop_.time().now() >= until) {
        log_event(log_severity::info, "stopped", {{"cut_requests", static_cast<std::uint64_t>(open)}});
        on_stopped_();
        return;
    }
    loop_.schedule(idle_check_interval, [this, until] { end_when_idle(until); });
}

} // namespace agatespar
