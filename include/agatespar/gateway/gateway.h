// The gateway for transparent requests on one entry VM: follows the topics of the store, accepts client connections,
// and forwards requests to backend servers.
#pragma once

#include <agatespar/backend/crash_guard.h>
#include <agatespar/gateway/fleet_state.h>
#include <agatespar/gateway/model_pressure.h>
#include <agatespar/gateway/protocol.h>
#include <agatespar/gateway/recent_times.h>
#include <agatespar/gateway/record_relay.h>
#include <agatespar/gateway/run_times.h>
#include <agatespar/gateway/server_choice.h>
#include <agatespar/gateway/service_queues.h>
#include <agatespar/gateway/service_retry_budget.h>
#include <agatespar/gateway/topic_follower.h>
#include <agatespar/http/client.h>
#include <agatespar/http/server.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/routing/zone_reachability.h>
#include <agatespar/telemetry/metrics.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace agatespar {

/// Settings of the gateway on one VM.
struct gateway_settings {
    std::string vm_name;
    zone_name zone;
    /// "ip:port" for clients, and for the readiness check of the platform.
    std::string front_address;
    std::string readiness_address;
    std::string readiness_path;
    /// "ip:port" and path where metrics are served.
    std::string metrics_address;
    std::string metrics_path;
    /// Maximum time from the request to stop until the process ends.
    std::chrono::milliseconds shutdown_timeout{8000};
    /// How long the store holds a long-poll read of a topic whose records have to be known within a bound. The store
    /// may miss a record, and then holds the read until the next one. An answer each second also lets VMs that receive
    /// records through this one detect soon that it has lost contact with the store.
    std::chrono::milliseconds poll_wait{1000};
    /// The same for reports and evidence on roll-outs, which may take a few seconds.
    std::chrono::milliseconds rollout_poll_wait{3000};
    /// Time between reads of the servers' topic, whose records are written one at a time.
    std::chrono::milliseconds server_poll_interval{500};
    /// How long after a restoration of the store entries of its copy are not trusted (`follower_settings`). The store
    /// removes the entry of a server that has ended three heartbeats after its last one.
    std::chrono::milliseconds server_restore_grace{4000};
    /// Maximum size of a server's entry, which has some hundred bytes. Larger ones are of other writers.
    std::size_t max_server_entry_bytes{std::size_t{16} * 1024};
    /// Time between reads of the VMs' evidence on roll-outs, so that one read returns the records of several VMs.
    std::chrono::milliseconds evidence_poll_interval{250};
    /// "ip:port" where this VM receives messages of other VMs.
    std::string peer_address;
    /// Bandwidth of this VM's network link in megabits per second, and its share of a CPU core.
    double link_mbps{0};
    double cpu_share{0};
    /// The operators' limit on open descriptors; without it, client connections are not limited.
    std::optional<std::size_t> max_fds;
    /// Memory of this VM in MB; 0: no limit.
    double memory_mb{0};
    /// This is the first start of all VMs, so the list of VMs in the store is still empty.
    bool first_start{false};
    /// Minimum number of VMs that fleet-wide limits are divided among, as a VM does not know yet of those that have
    /// just started.
    double min_vms{16};
    /// Fleet-wide limits are divided among the number of listed VMs times this, if that exceeds the minimum.
    double vm_count_factor{1.25};
    service_retry_settings retries;
    choice_settings choice;
    rollout_settings rollouts;
};

/// @return the health probe of a server, on a new connection; the caller sets its time-out.
client_request make_probe_request(const gateway_protocol& protocol, const fleet_server& server);

/// @return how the gateway follows a topic.
follower_settings make_follower_settings(fleet_topic topic, const gateway_settings& settings);

class transparent_request;

class gateway {
public:
    /// Opens the listeners and starts to follow the store.
    /// @param pool its memory budget, if it has one, is that of the clients too.
    /// @param on_stopped called when stop() has completed.
    /// @return the gateway, or an error if an address can't be used.
    static outcome<std::unique_ptr<gateway>> open(event_loop& loop, const gateway_settings& settings,
                                                  const gateway_protocol& protocol, const fleet_store& store,
                                                  connection_pool& pool, const peer_link_opener& open_link,
                                                  std::function<void()> on_stopped);
    gateway(event_loop& loop, const gateway_settings& settings, const gateway_protocol& protocol,
            const fleet_store& store, connection_pool& pool, const peer_link_opener& open_link,
            std::function<void()> on_stopped);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// @return whether this VM has the configuration and complete topics of orders, servers and reports, and is not
    /// stopping.
    bool is_ready() const;
    /// Applies changed settings without interrupting requests: limits, and the link and CPU share that this VM lists
    /// for itself. Roll-outs in progress keep their settings.
    /// @return whether an address or the zone differs, which takes effect only after a restart.
    bool update_settings(const gateway_settings& changed);
    /// Stops gracefully: completes open requests, or answers them at the time limit, then calls on_stopped. New
    /// requests are accepted until the platform has seen that this VM is no longer ready, except those that must not be
    /// repeated and may take longer than the stop.
    void stop();
    std::string front_address() const { return front_->address(); }
    std::string readiness_address() const { return readiness_->address(); }
    std::string metrics_address() const { return metrics_listener_->address(); }
    /// Sets a function that updates further metrics before they are served.
    void set_metrics_source(std::function<void(metrics_registry&)> source) { metrics_source_ = std::move(source); }

private:
    friend class transparent_request;

    void make_followers(const peer_link_opener& open_link);
    std::unique_ptr<topic_follower> make_follower(const follower_settings& settings,
                                                  std::function<void(const keyed_record&)> changed);
    void answer_readiness(const std::shared_ptr<server_exchange>& exchange) const;
    void answer_metrics(const std::shared_ptr<server_exchange>& exchange);
    void refresh_metrics();
    void show_memory();
    void limit_memory();
    /// Logs when memory pressure begins and ends.
    void check_memory_pressure();
    void handle_request(const std::shared_ptr<server_exchange>& exchange);
    void on_reachability_changed(fleet_topic topic, bool reachable, const std::string& reason, steady_time since);
    void apply_limits();
    void apply_descriptor_limit();
    void tick();
    /// Probes of servers of one zone that are under way, and their common time-out.
    struct zone_probe_round {
        std::vector<std::shared_ptr<client_call>> calls;
        std::optional<timer_id> timer;
    };
    /// @return whether the zones of all servers that may get requests are unreachable.
    bool is_cut_off() const;
    void update_cut_off();
    /// Sends the probes that are due to servers of avoided zones.
    void probe_zones();
    void start_zone_probes(const zone_name& zone, const std::vector<std::shared_ptr<fleet_server>>& servers);
    void on_zone_answer(const zone_name& zone, fleet_server& server, const http_answer_head& head);
    void end_zone_probes(zone_probe_round& round);
    void write_reports();
    void write_evidence_rows();
    void end_when_idle(steady_time until);
    /// Records that a server crashed before it had sent anything of its answer to a request, and tells the other VMs.
    void note_crash(const crashed_attempt& attempt, const fleet_server& server, const request_metadata& request);
    /// Records that a server has begun to answer a request.
    void note_answer_begun(const crash_suspects& request);
    void apply_crash_record(const keyed_record& record);
    /// Adds verdicts that this VM has changed to its record in the store.
    void publish_verdicts(const std::vector<gossip_item>& items);
    /// Counts a load report that cannot be read, and logs it at most once a second.
    void note_unreadable_load(const fleet_server& server, const std::string& text);
    service_retry_budget& budget_of(const service_name& service);
    /// @return whether requests under this configuration wait for room.
    bool waits_for_room(const std::shared_ptr<const service_map>& map);
    /// @return the number of VMs that fleet-wide limits are divided among.
    double assumed_vms() const;
    /// @return the number of VMs that are listed, at least one.
    double listed_vms() const;

    event_loop& loop_;
    gateway_settings settings_;
    gateway_protocol protocol_;
    fleet_store store_;
    connection_pool& pool_;
    std::function<void()> on_stopped_;
    std::mt19937_64 random_;
    metrics_registry metrics_;
    fleet_state fleet_;
    zone_reachability zones_;
    std::map<zone_name, zone_probe_round> zone_probes_;
    pressure_state memory_pressure_;
    crash_guard crashes_;
    /// The verdicts that this VM changed last, the newest at the end.
    std::vector<gossip_item> own_verdicts_;
    std::unique_ptr<topic_follower> orders_;
    std::unique_ptr<topic_follower> servers_;
    std::unique_ptr<topic_follower> reports_;
    std::unique_ptr<topic_follower> evidence_;
    std::unique_ptr<topic_follower> vms_;
    std::unique_ptr<record_relay> relay_;
    std::map<service_name, service_retry_budget> budgets_;
    std::map<service_name, model_pressure> pressures_;
    std::map<service_name, service_run_times> run_times_;
    service_queues queues_;
    /// A server has reported its present speed. Not set yet, as load reports with that figure are not read.
    bool servers_report_speed_{false};
    /// What waits_for_room() evaluated last, and the result.
    std::shared_ptr<const service_map> evaluated_map_;
    bool evaluated_speed_{false};
    bool waits_for_room_{false};
    /// Times that connections to servers of a zone took to open.
    std::map<zone_name, recent_times> round_trips_;
    std::optional<steady_time> unreadable_load_logged_at_;
    bool writing_report_{false};
    bool stopping_{false};
    /// No server can be reached from this VM, so the platform should send clients to VMs of other zones.
    bool cut_off_{false};
    /// When the requests that are open during a stop are ended, so that their answers can still be sent.
    std::optional<steady_time> requests_end_at_;
    /// The requests that have not ended. Each is kept alive by its deadline's timer.
    std::set<transparent_request*> open_requests_;
    std::optional<timer_id> tick_timer_;
    std::unique_ptr<http_listener> front_;
    std::unique_ptr<http_listener> readiness_;
    std::unique_ptr<http_listener> metrics_listener_;
    std::function<void(metrics_registry&)> metrics_source_;
};

} // namespace agatespar
