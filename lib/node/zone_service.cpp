// Zone summaries between delegates, and their gossip inside a zone.
#include <agatespar/membership/rendezvous.h>
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>
#include <agatespar/node/zone_service.h>

#include <algorithm>

namespace agatespar {

static constexpr std::chrono::seconds tick_interval{1};
static constexpr std::size_t delegates = 2;
static constexpr std::size_t receivers_per_zone = 2;
static constexpr std::size_t addresses_in_summary = 4;
// A zone that was silent for this long is taken as cut off.
static constexpr std::chrono::seconds silence_limit{15};
static constexpr double near_one_way_ms = 1.0;
static constexpr double far_one_way_ms = 15.0;

zone_service::zone_service(event_loop& loop, transport& carrier, message_router& router, membership_service& members,
                           server_table& table, const config_reader& config, region_name region,
                           std::mt19937_64& random)
    : loop_(loop), carrier_(carrier), members_(members), table_(table), config_(config), region_(std::move(region)),
      random_(random)
{
    router.handle({message_kind::zone_summary}, [this](const frame& received) { take_summary(received); });
    members_.listen([this](const membership_event& event) {
        if (event.kind == membership_event_kind::item && event.item.kind == gossip_kind::zone_summary) {
            take_item(event.item);
        }
    });
    timer_ = loop_.schedule(tick_interval, [this] { tick(); });
}

zone_service::~zone_service()
{
    loop_.cancel(timer_);
}

void zone_service::take_list(const std::vector<vm_entry>& entries)
{
    for (auto& [id, zone] : zones_) {
        zone.listed.clear();
    }
    for (const vm_entry& entry : entries) {
        const zone_id id{entry.fleet, entry.zone};
        const bool usable = entry.kind == vm_kind::entry && entry.state == vm_state::live && id != table_.own_zone();
        if (usable) {
            zones_[id].listed.push_back(entry.address);
        }
    }
}

static std::optional<zone_id> parse_zone(const zone_name& qualified_name)
{
    const std::string& text = qualified_name.value();
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

void zone_service::tick()
{
    timer_ = loop_.schedule(tick_interval, [this] { tick(); });
    send_summaries();
    for (const auto& [id, zone] : zones_) {
        apply(id, zone);
    }
}

void zone_service::send_summaries()
{
    const auto owners = owners_of(ownership_key("zone-summary"), members_.members().owners(), delegates);
    if (std::find(owners.begin(), owners.end(), members_.members().self()) == owners.end()) {
        return;
    }
    const std::string payload = encode(make_summary());
    for (const auto& [id, zone] : zones_) {
        std::vector<std::string> receivers;
        const auto all = addresses_of(zone);
        std::sample(all.begin(), all.end(), std::back_inserter(receivers), receivers_per_zone, random_);
        for (const std::string& receiver : receivers) {
            carrier_.send(receiver, message_kind::zone_summary, payload);
        }
    }
}

/// A fresh summary names VMs that were alive; the VM list lags.
std::vector<std::string> zone_service::addresses_of(const known_zone& zone) const
{
    const bool fresh = zone.summary && loop_.time().now() - zone.heard < silence_limit;
    if (!fresh || zone.summary->entries.empty()) {
        return zone.listed;
    }
    std::vector<std::string> addresses;
    for (const vm_address& entry : zone.summary->entries) {
        addresses.push_back(entry.value());
    }
    return addresses;
}

zone_summary_message zone_service::make_summary()
{
    zone_summary_message summary;
    summary.zone = zone_name{to_string(table_.own_zone())};
    summary.region = region_;
    const auto version =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.time().wall_now().time_since_epoch());
    summary.version = static_cast<std::uint64_t>(version.count());
    summary.live_members = static_cast<std::uint32_t>(members_.members().live().size());
    summary.config = config_.mark().number;
    summary.config_hash = config_.mark().chain_hash;
    const routing_view& view = table_.view();
    summary.in_service = view.zones[view.own_zone.value()].in_service;
    std::vector<boot_id> sample;
    const auto owners = members_.members().owners();
    std::sample(owners.begin(), owners.end(), std::back_inserter(sample), addresses_in_summary, random_);
    for (const boot_id member : sample) {
        if (const auto address = members_.members().address_of(member)) {
            summary.entries.push_back(*address);
        }
    }
    for (const target_capacity& entry : table_.free_capacity()) {
        summary.capacity.push_back({name_of(entry.target), entry.free_slots});
    }
    return summary;
}

void zone_service::take_summary(const frame& received)
{
    const auto summary = decode<zone_summary_message>(received.payload);
    if (!summary || summary->zone.value() == to_string(table_.own_zone())) {
        return;
    }
    const gossip_item item{gossip_kind::zone_summary, summary->zone.value(), summary->version, 0, received.payload};
    if (members_.members().publish(item, false)) {
        take_item(item);
    }
}

void zone_service::take_item(const gossip_item& item)
{
    const auto summary = decode<zone_summary_message>(item.bytes);
    const auto id = summary ? parse_zone(summary->zone) : std::nullopt;
    if (!id || *id == table_.own_zone()) {
        return;
    }
    known_zone& zone = zones_[*id];
    zone.summary = *summary;
    zone.heard = loop_.time().now();
    apply(*id, zone);
}

void zone_service::apply(const zone_id& id, const known_zone& zone)
{
    if (!zone.summary) {
        return;
    }
    other_zone state;
    state.in_service = zone.summary->in_service;
    state.reachable = loop_.time().now() - zone.heard < silence_limit;
    state.one_way_ms = zone.summary->region == region_ ? near_one_way_ms : far_one_way_ms;
    for (const capacity_entry& entry : zone.summary->capacity) {
        if (const auto target = parse_target(entry.target)) {
            state.capacity.push_back({*target, entry.free_slots});
        }
    }
    table_.set_zone(id, std::move(state));
}

std::optional<std::string> zone_service::pick_vm(const zone_id& zone)
{
    const auto found = zones_.find(zone);
    if (found == zones_.end()) {
        return std::nullopt;
    }
    const auto addresses = addresses_of(found->second);
    if (addresses.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any{0, addresses.size() - 1};
    return addresses[any(random_)];
}

} // namespace agatespar
