// Maintains the state of the zone's servers and builds the routing view from it.
#include <agatespar/request/server_table.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

// Weight of a new sample in a moving average.
static constexpr double average_weight = 0.1;

static void update_average(double& average, double sample, double weight = average_weight)
{
    average += weight * (sample - average);
}

static std::uint16_t clamp_count(std::uint32_t count)
{
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(count, UINT16_MAX));
}

void server_table::apply_configuration(std::shared_ptr<const configuration> config)
{
    assert(config && "a configuration is never null");
    config_ = std::move(config);
    rebuild_needed_ = true;
}

void server_table::apply_vm_list(const std::vector<vm_entry>& entries)
{
    std::unordered_map<server_id, known_server> next;
    for (const vm_entry& entry : entries) {
        const bool own = entry.fleet == own_zone_.fleet && entry.zone == own_zone_.name;
        if (!own || entry.kind == vm_kind::entry) {
            continue;
        }
        const server_id id{entry.fleet, entry.name};
        const auto known = servers_.find(id);
        known_server server = known == servers_.end() ? known_server{} : std::move(known->second);
        // A server with another address is a new one, so the state of the old one is dropped.
        const bool replaced = server.entry.address != entry.address;
        if (replaced) {
            server = known_server{};
        }
        server.entry = entry;
        next.emplace(id, std::move(server));
    }
    servers_ = std::move(next);
    rebuild_needed_ = true;
}

void server_table::apply_versions(const server_id& id, const std::vector<engine_version>& versions)
{
    known_server* server = find_mutable(id);
    if (server == nullptr || server->versions == versions) {
        return;
    }
    server->versions = versions;
    rebuild_needed_ = true;
}

void server_table::apply_load(const server_id& id, const server_load& load)
{
    known_server* server = find_mutable(id);
    if (server == nullptr || load.at <= server->load.at) {
        return;
    }
    server->load = load;
    server->sent_since_report = 0;
    server->ended_since_report = 0;
    refresh_needed_ = true;
}

void server_table::count_start(const server_id& id)
{
    if (known_server* server = find_mutable(id)) {
        ++server->own_running;
        ++server->sent_since_report;
        refresh_needed_ = true;
    }
}

void server_table::count_end(const server_id& id, const route_target& target, const attempt_measure& measure)
{
    known_server* server = find_mutable(id);
    if (server == nullptr) {
        return;
    }
    server->own_running -= std::min(server->own_running, 1U);
    ++server->ended_since_report;
    update_average(server->failure_rate, measure.succeeded ? 0.0 : 1.0);
    refresh_needed_ = true;
    const auto version = index_of(target);
    const bool measurable = measure.succeeded && version && measure.output_tokens.value() > 1;
    if (!measurable) {
        return;
    }
    version_speed& speed = speeds_[version->value()];
    const std::chrono::duration<double, std::milli> decode = measure.total - measure.first_token;
    update_average(speed.decode_ms_per_token, decode.count() / static_cast<double>(measure.output_tokens.value() - 1));
    const std::chrono::duration<double> prefill = std::max<duration>(measure.first_token, std::chrono::milliseconds{1});
    update_average(speed.prefill_tokens_per_s, static_cast<double>(measure.prompt_tokens.value()) / prefill.count());
}

void server_table::remember_prefix(const server_id& id, const route_target& target, std::uint64_t prefix,
                                   token_count tokens, steady_time now)
{
    const auto version = index_of(target);
    const auto row = version ? index_of(id, *version) : std::nullopt;
    if (row) {
        view_.prefixes.insert_prefix(prefix, *row, static_cast<std::uint32_t>(tokens.value()), now);
    }
}

bool server_table::set_stopped_by_guard(const version_id& version, bool stopped)
{
    const bool changed = stopped ? stopped_by_guard_.insert(version).second : stopped_by_guard_.erase(version) > 0;
    rebuild_needed_ = rebuild_needed_ || changed;
    return changed;
}

const routing_view& server_table::view()
{
    if (rebuild_needed_) {
        rebuild();
    }
    if (zones_changed_) {
        rebuild_zones();
        zones_changed_ = false;
    }
    if (refresh_needed_) {
        for (std::size_t row = 0; row < view_servers_.size(); ++row) {
            refresh(view_.servers[row], servers_.at(view_servers_[row].id));
        }
        refresh_needed_ = false;
    }
    return view_;
}

void server_table::set_zone(const zone_id& zone, other_zone state)
{
    other_zones_[zone] = std::move(state);
    zones_changed_ = true;
}

std::vector<target_capacity> server_table::free_capacity()
{
    std::vector<target_capacity> capacity;
    const routing_view& current = view();
    if (!current.zones[current.own_zone.value()].in_service) {
        return capacity;
    }
    for (const route_target& target : targets_) {
        capacity.push_back({target, 0});
    }
    for (const server_view& server : current.servers) {
        const std::uint32_t running = estimated_running(server);
        const bool usable = server.healthy && !server.leaving && server.limit > running;
        capacity[server.version.value()].free_slots += usable ? server.limit - running : 0;
    }
    std::erase_if(capacity, [](const target_capacity& entry) { return entry.free_slots == 0; });
    return capacity;
}

std::optional<version_index> server_table::index_of(const route_target& target) const
{
    const auto found = std::find(targets_.begin(), targets_.end(), target);
    if (found == targets_.end()) {
        return std::nullopt;
    }
    return version_index{static_cast<std::uint8_t>(found - targets_.begin())};
}

std::optional<server_index> server_table::index_of(const server_id& id, version_index version) const
{
    for (std::size_t row = 0; row < view_servers_.size(); ++row) {
        if (view_servers_[row].id == id && view_servers_[row].version == version) {
            return server_index{static_cast<std::uint16_t>(row)};
        }
    }
    return std::nullopt;
}

std::optional<fleet_index> server_table::index_of(const fleet_name& fleet) const
{
    const auto found = std::find(fleets_.begin(), fleets_.end(), fleet);
    if (found == fleets_.end()) {
        return std::nullopt;
    }
    return fleet_index{static_cast<std::uint8_t>(found - fleets_.begin())};
}

const known_server* server_table::find(const server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

known_server* server_table::find_mutable(const server_id& id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const known_server& server_table::at(server_index index) const
{
    return servers_.at(view_servers_[index.value()].id);
}

std::vector<server_id> server_table::server_ids() const
{
    std::vector<server_id> ids;
    ids.reserve(servers_.size());
    for (const auto& [id, server] : servers_) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

void server_table::rebuild()
{
    view_.versions.clear();
    view_.servers.clear();
    view_.weights.clear();
    rebuild_targets();
    zones_changed_ = true;
    rebuild_servers();
    index_servers(view_);
    rebuild_needed_ = false;
    refresh_needed_ = true;
}

static version_view make_version_view(const version_settings& settings, model_index model, const version_speed& speed)
{
    version_view row;
    row.model = model;
    row.share = settings.share;
    row.withdrawn = settings.state == version_state::withdrawn;
    row.cost_per_1k_tokens = settings.cost_per_1000_tokens.value();
    row.prefill_tokens_per_s = speed.prefill_tokens_per_s;
    row.decode_ms_per_token = speed.decode_ms_per_token;
    return row;
}

void server_table::rebuild_targets()
{
    const std::vector<route_target> old_targets = std::exchange(targets_, {});
    const std::vector<version_speed> old_speeds = std::exchange(speeds_, {});
    fleets_.clear();
    std::uint8_t model = 0;
    const auto add = [&](route_target target, const version_settings& settings) {
        const auto known = std::find(old_targets.begin(), old_targets.end(), target);
        const bool is_known = known != old_targets.end();
        speeds_.push_back(is_known ? old_speeds[static_cast<std::size_t>(known - old_targets.begin())]
                                   : version_speed{});
        view_.versions.push_back(make_version_view(settings, model_index{model}, speeds_.back()));
        view_.versions.back().stopped_by_guard = target.version && stopped_by_guard_.contains(*target.version);
        targets_.push_back(std::move(target));
    };
    for (const auto& [fleet, settings] : config_->fleets) {
        fleets_.push_back(fleet);
        view_.weights.push_back({settings.weights.latency, settings.weights.cost, settings.weights.exposure});
        for (const auto& [name, model_settings] : settings.models) {
            for (const auto& [version, version_settings] : model_settings.versions) {
                add({version_id{{fleet, name}, version}, std::nullopt}, version_settings);
            }
            ++model;
        }
        for (const auto& [name, service] : settings.services) {
            // A plain service is routed like a model with one version, which has the whole share.
            if (service.kind == service_kind::plain) {
                add({std::nullopt, service_id{fleet, name}}, {version_state::serving, std::nullopt, 1.0, cost_units{}});
                ++model;
            }
        }
    }
    for (std::size_t row = 0; row < targets_.size(); ++row) {
        if (!targets_[row].version || !view_.versions[row].withdrawn) {
            continue;
        }
        const version_id& id = *targets_[row].version;
        const model_settings* settings = find_model(*config_, id.model);
        if (const auto successor = resolve_version(*settings, id.version)) {
            view_.versions[row].successor = index_of(route_target{version_id{id.model, *successor}, std::nullopt});
        }
    }
}

void server_table::rebuild_zones()
{
    zones_.clear();
    view_.zones.clear();
    const auto add = [this](const zone_id& id, zone_view state) {
        const zone_settings* settings = find_zone(*config_, id);
        state.in_service = state.in_service && (settings == nullptr || settings->in_service);
        zones_.push_back(id);
        view_.zones.push_back(state);
    };
    add(own_zone_, zone_view{});
    view_.own_zone = zone_index{0};
    for (const auto& [id, known] : other_zones_) {
        zone_view state{known.in_service, known.reachable, known.one_way_ms, {}};
        for (const target_capacity& entry : known.capacity) {
            if (const auto index = index_of(entry.target)) {
                state.free_slots[index->value()] = clamp_count(entry.free_slots);
            }
        }
        add(id, state);
    }
}

void server_table::rebuild_servers()
{
    const std::vector<view_server> old_rows = std::exchange(view_servers_, {});
    for (const server_id& id : server_ids()) {
        add_rows(id, servers_.at(id));
    }
    if (old_rows != view_servers_) {
        // The prefix index identifies servers by their rows, which now refer to other servers.
        view_.prefixes = prefix_index{};
    }
}

void server_table::add_rows(const server_id& id, const known_server& server)
{
    const auto add = [&](const route_target& target) {
        if (const auto version = index_of(target)) {
            view_servers_.push_back({id, *version});
            view_.servers.emplace_back().version = *version;
        }
    };
    if (server.entry.kind == vm_kind::plain) {
        add({std::nullopt, service_id{id.fleet, server.entry.service}});
        return;
    }
    for (const engine_version& loaded : server.versions) {
        add({version_id{{id.fleet, loaded.model}, loaded.version}, std::nullopt});
    }
}

void server_table::refresh(server_view& row, const known_server& server) const
{
    row.healthy = server.load.healthy;
    row.leaving = server.entry.state == vm_state::leaving;
    row.limit = clamp_count(server.load.limit);
    row.slots = clamp_count(std::max(server.entry.slots, 1U));
    row.reported_running = clamp_count(server.load.running);
    row.reported_queued = clamp_count(server.load.queued);
    row.failure_rate = static_cast<float>(server.failure_rate);
    row.own_sent_since_report = clamp_count(server.sent_since_report);
    row.own_ended_since_report = clamp_count(server.ended_since_report);
}

} // namespace agatespar
