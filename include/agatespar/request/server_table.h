// The state of the zone's backend servers as known to this VM, and the routing view built from it.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/platform/engine.h>
#include <agatespar/platform/vm_list.h>
#include <agatespar/routing/view.h>
#include <agatespar/support/clock.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// What a request can be routed to: a version of a model, or a plain service. Exactly one member is set.
struct route_target {
    std::optional<version_id> version;
    std::optional<service_id> service;

    friend bool operator==(const route_target&, const route_target&) = default;
};

/// A server's load as last reported by its owner.
struct server_load {
    /// Number of requests that the owner currently allows to run on the server.
    std::uint32_t limit{0};
    std::uint32_t running{0};
    std::uint32_t queued{0};
    bool healthy{false};
    /// Time at which this VM received the report.
    steady_time at;
};

/// One backend server of this VM's zone.
struct known_server {
    vm_entry entry;
    /// The versions loaded on the server, as last reported by its owner.
    std::vector<engine_version> versions;
    server_load load;
    /// Attempts of this VM that run on the server.
    std::uint32_t own_running{0};
    std::uint32_t sent_since_report{0};
    std::uint32_t ended_since_report{0};
    /// Moving average of the share of this VM's attempts that failed.
    double failure_rate{0.0};
};

/// Moving averages of a version's measured speed.
struct version_speed {
    double prefill_tokens_per_s{5000.0};
    double decode_ms_per_token{20.0};
};

/// Result and measured times of one attempt.
struct attempt_measure {
    bool succeeded{false};
    token_count prompt_tokens;
    token_count output_tokens;
    duration first_token{0};
    duration total{0};
};

/// Number of further requests that a zone could run for one target.
struct target_capacity {
    route_target target;
    std::uint32_t free_slots{0};
};

/// State of another zone as known from its summaries.
struct other_zone {
    bool in_service{true};
    bool reachable{true};
    double one_way_ms{1.0};
    std::vector<target_capacity> capacity;
};

/// Holds the state of the servers and provides the routing view. Indices of the view are valid until the next change.
class server_table {
public:
    explicit server_table(zone_id own_zone) : own_zone_(std::move(own_zone)) {}

    /// Applies a new configuration: versions, shares, zones in service.
    void apply_configuration(std::shared_ptr<const configuration> config);
    /// Applies the platform's VM list. Entries other than backend servers of this VM's zone are ignored.
    void apply_vm_list(const std::vector<vm_entry>& entries);
    /// Sets the versions loaded on a server.
    void apply_versions(const server_id& id, const std::vector<engine_version>& versions);
    /// Sets a server's load. A report that is not newer than the last one is ignored.
    void apply_load(const server_id& id, const server_load& load);

    /// Counts an attempt of this VM that starts on a server.
    void count_start(const server_id& id);
    /// Counts an attempt that ends on a server, and updates the server's failure rate and the target's speed.
    void count_end(const server_id& id, const route_target& target, const attempt_measure& measure);

    /// Sets whether new sessions are kept off a version.
    /// @return whether the state changed.
    bool set_stopped_by_guard(const version_id& version, bool stopped);

    /// Records that a server's cache contains a session's prompt.
    void remember_prefix(const server_id& id, const route_target& target, std::uint64_t prefix, token_count tokens,
                         steady_time now);

    /// @return the up-to-date view for routing decisions.
    const routing_view& view();
    /// Replaces the state of another zone.
    void set_zone(const zone_id& zone, other_zone state);
    const std::unordered_map<zone_id, other_zone>& other_zones() const { return other_zones_; }
    /// @return the free slots of each target in this VM's zone, for the summary sent to other zones. Targets without
    /// free slots are left out.
    std::vector<target_capacity> free_capacity();

    const configuration& config() const { return *config_; }
    const zone_id& own_zone() const { return own_zone_; }
    std::optional<version_index> index_of(const route_target& target) const;
    std::optional<server_index> index_of(const server_id& id, version_index version) const;
    std::optional<fleet_index> index_of(const fleet_name& fleet) const;
    const known_server* find(const server_id& id) const;
    /// @return the server at an index of the current view.
    const known_server& at(server_index index) const;
    const server_id& id_at(server_index index) const { return view_servers_[index.value()].id; }
    const route_target& target_at(version_index index) const { return targets_[index.value()]; }
    const zone_id& zone_at(zone_index index) const { return zones_[index.value()]; }
    std::vector<server_id> server_ids() const;

private:
    /// One row of the view: a server with one of the versions loaded on it.
    struct view_server {
        server_id id;
        version_index version;

        friend bool operator==(const view_server&, const view_server&) = default;
    };

    void rebuild();
    void rebuild_targets();
    void rebuild_zones();
    void rebuild_servers();
    void add_rows(const server_id& id, const known_server& server);
    void refresh(server_view& row, const known_server& server) const;
    known_server* find_mutable(const server_id& id);

    zone_id own_zone_;
    std::shared_ptr<const configuration> config_{std::make_shared<configuration>()};
    std::unordered_map<server_id, known_server> servers_;
    std::unordered_map<zone_id, other_zone> other_zones_;
    bool zones_changed_{true};
    std::set<version_id> stopped_by_guard_;
    bool rebuild_needed_{true};
    bool refresh_needed_{true};

    std::vector<fleet_name> fleets_;
    std::vector<route_target> targets_;
    std::vector<version_speed> speeds_;
    std::vector<zone_id> zones_;
    std::vector<view_server> view_servers_;
    routing_view view_;
};

} // namespace agatespar
