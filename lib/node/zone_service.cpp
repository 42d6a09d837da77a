// Connects the zone directory to the transport, the membership and the server table.
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>
#include <agatespar/node/zone_service.h>

namespace agatespar {

static constexpr std::chrono::seconds tick_interval{1};
// Assumed one-way network latency to another zone, in the same region or in another one.
static constexpr double same_region_one_way_ms = 1.0;
static constexpr double other_region_one_way_ms = 15.0;

/// Zones of different fleets may have the same name, so messages contain the name qualified by the fleet.
static zone_name qualified_name(const zone_id& id)
{
    return zone_name{to_string(id)};
}

static std::optional<zone_id> parse_zone(const zone_name& name)
{
    const std::string& text = name.value();
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    return zone_id{fleet_name{text.substr(0, slash)}, zone_name{text.substr(slash + 1)}};
}

static std::string name_of(const route_target& target)
{
    return target.version ? to_string(*target.version) : to_string(*target.service);
}

static std::optional<route_target> parse_target(const std::string& text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    const fleet_name fleet{text.substr(0, slash)};
    const std::size_t at = text.rfind('@');
    if (at == std::string::npos || at < slash) {
        return route_target{std::nullopt, service_id{fleet, service_name{text.substr(slash + 1)}}};
    }
    const model_id model{fleet, model_name{text.substr(slash + 1, at - slash - 1)}};
    return route_target{version_id{model, version_name{text.substr(at + 1)}}, std::nullopt};
}

static zone_directory_settings make_settings(const zone_id& zone, const region_name& region)
{
    zone_directory_settings settings;
    settings.zone = qualified_name(zone);
    settings.region = region;
    return settings;
}

zone_service::zone_service(event_loop& loop, transport& peer_transport, message_router& router,
                           membership_service& members, server_table& table, const config_reader& config,
                           region_name region, std::mt19937_64& random)
    : loop_(loop), peer_transport_(peer_transport), members_(members), table_(table), config_(config),
      region_(std::move(region)), random_(random), directory_(make_settings(table.own_zone(), region_), random())
{
    router.handle({message_kind::zone_summary}, [this](const frame& received) {
        directory_.on_message(received.payload, members_.members(), loop_.time().now());
    });
    members_.listen([this](const membership_event& event) {
        if (event.kind == membership_event_kind::item && event.item.kind == gossip_kind::zone_summary) {
            directory_.on_item(event.item, loop_.time().now());
        }
    });
    timer_ = loop_.schedule(tick_interval, [this] { tick(); });
}

zone_service::~zone_service()
{
    loop_.cancel(timer_);
}

void zone_service::on_vm_list(const std::vector<vm_entry>& entries)
{
    listed_.clear();
    for (const vm_entry& entry : entries) {
        const zone_id id{entry.fleet, entry.zone};
        const bool usable = entry.kind == vm_kind::entry && entry.state == vm_state::live && id != table_.own_zone();
        if (usable) {
            listed_[qualified_name(id)].push_back(vm_address{entry.address});
        }
    }
    directory_.set_listed(listed_);
}

void zone_service::tick()
{
    timer_ = loop_.schedule(tick_interval, [this] { tick(); });
    directory_.set_local(describe_own_zone());
    const clock& time = loop_.time();
    for (const outgoing_message& message : directory_.tick(members_.members(), time.now(), time.wall_now())) {
        peer_transport_.send(message.to.value(), message.kind, message.payload);
    }
    update_other_zones();
}

local_zone_state zone_service::describe_own_zone()
{
    local_zone_state state;
    const routing_view& view = table_.view();
    state.in_service = view.zones[view.own_zone.value()].in_service;
    state.config = config_.mark().number;
    state.config_hash = config_.mark().chain_hash;
    for (const target_capacity& entry : table_.free_capacity()) {
        state.capacity.push_back({name_of(entry.target), entry.free_slots});
    }
    return state;
}

void zone_service::update_other_zones()
{
    for (const auto& [name, known] : directory_.zones(loop_.time().now())) {
        const auto id = parse_zone(name);
        if (!id) {
            continue;
        }
        other_zone state;
        state.in_service = known.summary.in_service;
        state.reachable = known.reachable;
        state.one_way_ms = known.summary.region == region_ ? same_region_one_way_ms : other_region_one_way_ms;
        for (const capacity_entry& entry : known.summary.capacity) {
            if (const auto target = parse_target(entry.target)) {
                state.capacity.push_back({*target, entry.free_slots});
            }
        }
        table_.set_zone(*id, std::move(state));
    }
}

/// Prefers the VMs of a recent summary, which were alive when it was sent, to those of the VM list, which may be
/// outdated.
std::optional<std::string> zone_service::pick_vm(const zone_id& zone)
{
    std::vector<vm_address> addresses;
    const auto zones = directory_.zones(loop_.time().now());
    const auto known = zones.find(qualified_name(zone));
    if (known != zones.end() && known->second.reachable) {
        addresses = known->second.summary.entries;
    }
    if (addresses.empty()) {
        addresses = listed_[qualified_name(zone)];
    }
    if (addresses.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any{0, addresses.size() - 1};
    return addresses[any(random_)].value();
}

} // namespace agatespar
