// All that this VM believes of the fleet: configuration in force, servers, evacuated zones and roll-outs.
#pragma once

#include <agatespar/gateway/recent_sessions.h>
#include <agatespar/gateway/rollout_watch.h>
#include <agatespar/gateway/server_directory.h>
#include <agatespar/gateway/service_map.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>

namespace agatespar {

/// Takes in records of the store and the passing of time. Each change of belief is logged with its source.
class fleet_state {
public:
    /// @param store decodes the records. @param own tells VMs apart.
    fleet_state(const fleet_store& store, const rollout_settings& rollouts, std::uint64_t own)
        : store_(store), rollout_settings_(rollouts), own_(own),
          sessions_(rollouts.session_time, rollouts.exposed_share)
    {
    }

    void set_cold_place(std::function<double(const server_record& server)> place)
    {
        directory_.set_cold_place(std::move(place));
    }
    /// Holds for roll-outs that are ordered from now on.
    void change_rollout_settings(const rollout_settings& rollouts)
    {
        rollout_settings_ = rollouts;
        sessions_.change(rollouts.session_time);
    }
    void take_operator_record(const keyed_record& record, steady_time now);
    void take_server_record(const keyed_record& record, steady_time now);
    void take_report_record(const keyed_record& record);
    void take_evidence_record(const keyed_record& record, steady_time now);
    /// A request of a session came in.
    void note_session(session_hash session, steady_time now) { sessions_.note(session, now); }
    /// The servers' topic can't be read any more, or can be read again.
    void note_store_lost(steady_time now) { directory_.note_store_lost(now); }
    void note_store_back(steady_time now) { directory_.note_store_back(now); }
    /// Lets servers whose entries stayed away lapse.
    void tick(steady_time now);

    /// @return the configuration in force, or null before the first.
    const std::shared_ptr<const service_map>& map() const { return map_; }
    const server_directory& directory() const { return directory_; }
    bool is_evacuated(const zone_name& zone) const { return evacuated_.contains(zone); }
    /// @return the service's roll-out, or null.
    rollout_watch* rollout_of(const service_name& service);
    std::map<service_name, rollout_watch>& rollouts() { return rollouts_; }

private:
    void take_service_map(const keyed_record& record);
    void take_rollout(const std::string& name, const keyed_record& record, steady_time now);
    void take_evacuation(const std::string& name, const keyed_record& record);

    const fleet_store& store_;
    rollout_settings rollout_settings_;
    std::uint64_t own_;
    recent_sessions sessions_;
    std::shared_ptr<const service_map> map_;
    server_directory directory_;
    std::set<zone_name> evacuated_;
    std::map<service_name, rollout_watch> rollouts_;
    std::map<service_name, rollout_report> reports_;
};

/// What a request asks of a server.
struct server_need {
    const service_name* service{nullptr};
    /// Empty if any model will do.
    std::optional<model_name> model;
    version_choice version{version_choice::any};
    /// The version that `version` is about.
    const version_name* target{nullptr};
    /// Servers that this request has tried.
    std::span<const server_name> tried;
};

/// @return the servers that may take a request, those that are cold left out unless all are.
std::vector<std::shared_ptr<fleet_server>> eligible_servers(const fleet_state& fleet, const server_need& need,
                                                            steady_time now);

} // namespace agatespar
