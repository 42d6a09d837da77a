// This VM's view of the fleet: configuration in force, servers, evacuated zones and roll-outs.
#pragma once

#include <agatespar/gateway/recent_sessions.h>
#include <agatespar/gateway/retired_versions.h>
#include <agatespar/gateway/rollout_watch.h>
#include <agatespar/gateway/server_directory.h>
#include <agatespar/gateway/service_map.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>

namespace agatespar {

/// Updated by records of the store and by the clock. Logs each change of the view with the record that caused it.
class fleet_state {
public:
    /// @param store decodes the records; outlives this object. @param own_vm_id identifies this VM in roll-out
    /// evidence.
    fleet_state(const fleet_store& store, const rollout_settings& rollouts, std::uint64_t own_vm_id)
        : store_(store), rollout_settings_(rollouts), own_vm_id_(own_vm_id),
          sessions_(rollouts.session_timeout, rollouts.exposed_share)
    {
    }

    void set_cold_phase(std::function<double(const server_record& server)> phase)
    {
        directory_.set_cold_phase(std::move(phase));
    }
    /// The settings apply to roll-outs that are ordered after the call.
    void change_rollout_settings(const rollout_settings& rollouts)
    {
        rollout_settings_ = rollouts;
        sessions_.change(rollouts.session_timeout);
    }
    void apply_operator_record(const keyed_record& record, steady_time now);
    void apply_server_record(const keyed_record& record, steady_time now);
    void apply_report_record(const keyed_record& record);
    void apply_evidence_record(const keyed_record& record, steady_time now);
    /// Records that a request of a session has arrived.
    void record_session_request(session_hash session, steady_time now) { sessions_.note(session, now); }
    /// Applies a server's own word that it is leaving. @param request the request whose answer said so.
    void note_says_leaving(const fleet_server& server, const request_id& request);
    /// Called when the topic with the servers' entries has become unreadable, or readable again.
    void note_store_lost(steady_time now) { directory_.note_store_lost(now); }
    void note_store_back(steady_time now) { directory_.note_store_back(now); }
    /// Called when the topic with the reports was found to be restored from an older copy.
    void note_reports_restored(steady_time now);
    /// Removes the servers whose entries have been missing for too long.
    void tick(steady_time now);

    /// @return the configuration in force, or null before the first.
    const std::shared_ptr<const service_map>& map() const { return map_; }
    const server_directory& directory() const { return directory_; }
    bool is_evacuated(const zone_name& zone) const { return evacuated_.contains(zone); }
    /// @return the service's roll-out, or null.
    rollout_watch* rollout_of(const service_name& service);
    std::map<service_name, rollout_watch>& rollouts() { return rollouts_; }
    /// @return the versions of the service that get no requests while another version has servers.
    std::span<const version_name> retired_versions(const service_name& service) const;
    const std::map<service_name, std::vector<version_name>>& retired_versions() const { return retired_; }
    /// @return a report that this VM is to write, with the versions that are retired once it holds.
    rollout_report with_retired(rollout_report report) const;

private:
    void apply_service_map(const keyed_record& record);
    void apply_rollout(const std::string& name, const keyed_record& record, steady_time now);
    void apply_evacuation(const std::string& name, const keyed_record& record);
    void start_rollout(const rollout_order& order, steady_time now);
    /// Retires the target of an order that ends, unless its roll-out is complete.
    /// @param next target of the order that replaces it, or null if it was withdrawn.
    void retire_unfinished(const rollout_watch& ended, const version_name* next);
    /// Retires the versions that a report names or has left behind, except the target of the order in force.
    void apply_retired(const rollout_report& report);
    void retire(const service_name& service, const version_name& version);
    /// @return the versions of the service's known servers that accept requests, without retired ones.
    std::set<version_name> serving_versions(const service_name& service) const;

    const fleet_store& store_;
    rollout_settings rollout_settings_;
    std::uint64_t own_vm_id_;
    recent_sessions sessions_;
    std::shared_ptr<const service_map> map_;
    server_directory directory_;
    std::set<zone_name> evacuated_;
    std::map<service_name, rollout_watch> rollouts_;
    std::map<service_name, rollout_report> reports_;
    std::map<service_name, std::vector<version_name>> retired_;
};

/// Conditions that a server must meet to run a request.
struct server_criteria {
    const service_name* service{nullptr};
    /// Empty if any model is acceptable.
    std::optional<model_name> model;
    version_choice version{version_choice::any};
    /// The roll-out's target version, to which `version` refers.
    const version_name* target{nullptr};
    /// Servers that have already been tried for this request; they are excluded.
    std::span<const server_name> tried;
};

/// Servers of retired versions are excluded. If no old version that is not retired has a server (one that accepts
/// requests, in a zone that is not evacuated), requests for an old version go to the target; if only retired versions
/// have servers, requests for any or an old version go to these.
/// @return the servers that may run a request. Cold servers are included only if all eligible servers are cold.
std::vector<std::shared_ptr<fleet_server>> eligible_servers(const fleet_state& fleet, const server_criteria& criteria,
                                                            steady_time now);

} // namespace agatespar
