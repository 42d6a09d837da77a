// The entry for transparent requests on one VM: follows the store, listens to clients, and forwards to servers.
#pragma once

#include <agatespar/gateway/fleet_state.h>
#include <agatespar/gateway/model_pressure.h>
#include <agatespar/gateway/protocol.h>
#include <agatespar/gateway/record_relay.h>
#include <agatespar/gateway/server_choice.h>
#include <agatespar/gateway/service_retry_budget.h>
#include <agatespar/gateway/topic_follower.h>
#include <agatespar/http/client.h>
#include <agatespar/http/server.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/telemetry/metrics.h>

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace agatespar {

/// How one VM's gateway runs.
struct gateway_settings {
    std::string vm_name;
    zone_name zone;
    /// "ip:port" for clients, and for the platform's question whether this VM is ready.
    std::string front_address;
    std::string readiness_address;
    std::string readiness_path;
    /// "ip:port" where the metrics are shown, and their path.
    std::string metrics_address;
    std::string metrics_path;
    /// From the order to stop to the end of the process, at most.
    std::chrono::milliseconds stop_time{8000};
    /// How long the store holds a read of its orders: with an answer each second, VMs that this one passes records on
    /// to know soon that it has lost the store.
    std::chrono::milliseconds order_wait{1000};
    /// Between reads of the servers' topic, whose records come one by one.
    std::chrono::milliseconds server_pause{500};
    /// Between reads of what VMs saw of a roll-out, so that their records share a call.
    std::chrono::milliseconds evidence_pause{250};
    /// "ip:port" where this VM takes messages of other VMs.
    std::string peer_address;
    /// Of its network link, in megabits a second, and its part of a core.
    double link_mbps{0};
    double cpu_share{0};
    /// All VMs start for the first time, so that the list of VMs is empty.
    bool first_start{false};
    /// VMs among which what all may do together is divided, at least: a VM does not know of others that just came.
    double least_vms{16};
    /// With more VMs listed than that, their number times this.
    double vm_margin{1.25};
    repeat_settings repeats;
    choice_settings choice;
    rollout_settings rollouts;
};

class transparent_run;

class gateway {
public:
    /// Listens and starts to follow the store. @return why an address can't be used.
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

    /// @return whether this VM knows the configuration and the servers, and is not stopping.
    bool is_ready() const;
    /// Takes other settings while requests go on: bounds, and how this VM lists itself. Roll-outs that are under way
    /// keep theirs. @return whether addresses changed, which hold from the next start.
    bool change_settings(const gateway_settings& changed);
    /// Ends what is under way, then calls back. New requests are taken until the platform has noticed.
    void stop();
    std::string front_address() const { return front_->address(); }
    std::string readiness_address() const { return readiness_->address(); }
    std::string metrics_address() const { return metrics_listener_->address(); }
    /// Sets a function that brings its metrics up to date before they are shown.
    void set_metrics_source(std::function<void(metrics_registry&)> source) { metrics_source_ = std::move(source); }

private:
    friend class transparent_run;

    void make_followers(const peer_link_opener& open_link);
    std::unique_ptr<topic_follower> make_follower(const follower_settings& settings,
                                                  std::function<void(const keyed_record&)> changed);
    void answer_readiness(const std::shared_ptr<server_exchange>& exchange) const;
    void answer_metrics(const std::shared_ptr<server_exchange>& exchange);
    void refresh_metrics();
    void take_request(const std::shared_ptr<server_exchange>& exchange);
    void note_reachable(fleet_topic topic, bool reachable, const std::string& reason, steady_time since);
    void apply_limits();
    void tick();
    void write_reports();
    void write_evidence_rows();
    void end_when_idle(steady_time until);
    repeat_budget& budget_of(const service_name& service);
    /// @return VMs among which what all may do together is divided.
    double assumed_vms() const;

    event_loop& loop_;
    gateway_settings settings_;
    gateway_protocol protocol_;
    fleet_store store_;
    connection_pool& pool_;
    std::function<void()> on_stopped_;
    std::mt19937_64 random_;
    metrics_registry metrics_;
    fleet_state fleet_;
    zone_reach zones_;
    std::unique_ptr<topic_follower> orders_;
    std::unique_ptr<topic_follower> servers_;
    std::unique_ptr<topic_follower> reports_;
    std::unique_ptr<topic_follower> evidence_;
    std::unique_ptr<topic_follower> vms_;
    std::unique_ptr<record_relay> relay_;
    std::map<service_name, repeat_budget> budgets_;
    std::map<service_name, model_pressure> pressures_;
    bool writing_report_{false};
    bool stopping_{false};
    std::optional<timer_id> tick_timer_;
    std::unique_ptr<http_listener> front_;
    std::unique_ptr<http_listener> readiness_;
    std::unique_ptr<http_listener> metrics_listener_;
    std::function<void(metrics_registry&)> metrics_source_;
};

} // namespace agatespar
