// Sends this zone's summaries to other zones, and stores received summaries and distributes them in this zone.
#include <agatespar/membership/rendezvous.h>
#include <agatespar/membership/zone_directory.h>

#include <algorithm>
#include <utility>

namespace agatespar {

namespace {

// Limits on the memory that another zone can make this VM use.
constexpr std::size_t max_zones = 64;
constexpr std::size_t max_entries = 16;
constexpr std::size_t max_capacity_entries = 64;

} // namespace

bool zone_directory::is_delegate(const membership& members) const
{
    const auto delegates =
        owners_of(ownership_key("delegate/" + settings_.zone.value()), members.owners(), settings_.delegates);
    return std::find(delegates.begin(), delegates.end(), members.self()) != delegates.end();
}

zone_summary_message zone_directory::summarise(const membership& members, wall_time wall_now)
{
    const auto wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall_now.time_since_epoch()).count();
    last_version_ = std::max(static_cast<std::uint64_t>(wall_ms), last_version_ + 1);
    zone_summary_message summary;
    summary.zone = settings_.zone;
    summary.region = settings_.region;
    summary.version = last_version_;
    summary.in_service = local_.in_service;
    summary.live_members = static_cast<std::uint32_t>(members.live().size());
    summary.config = local_.config;
    summary.config_hash = local_.config_hash;
    summary.capacity = local_.capacity;
    const auto owners = members.owners();
    std::vector<boot_id> sample;
    std::sample(owners.begin(), owners.end(), std::back_inserter(sample), settings_.entry_sample, random_);
    for (const boot_id boot : sample) {
        summary.entries.push_back(*members.address_of(boot));
    }
    return summary;
}

std::vector<outgoing_message> zone_directory::tick(const membership& members, steady_time now, wall_time wall_now)
{
    std::vector<outgoing_message> messages;
    if (now < next_summary_) {
        return messages;
    }
    std::uniform_real_distribution<> jitter{0.9, 1.1};
    next_summary_ = now + std::chrono::duration_cast<duration>(settings_.summary_interval * jitter(random_));
    if (!is_delegate(members)) {
        return messages;
    }
    std::map<zone_name, std::vector<vm_address>> targets = listed_;
    for (const auto& [name, known] : zones_) {
        auto& addresses = targets[name];
        addresses.insert(addresses.end(), known.summary.entries.begin(), known.summary.entries.end());
    }
    targets.erase(settings_.zone);
    const std::string payload = encode(summarise(members, wall_now));
    for (const auto& [name, addresses] : targets) {
        if (addresses.empty()) {
            continue;
        }
        std::uniform_int_distribution<std::size_t> pick{0, addresses.size() - 1};
        messages.push_back({addresses[pick(random_)], message_kind::zone_summary, payload});
    }
    return messages;
}

void zone_directory::on_message(std::string_view payload, membership& members, steady_time now)
{
    const auto summary = decode<zone_summary_message>(payload);
    if (!summary || summary->zone == settings_.zone || summary->entries.size() > max_entries ||
        summary->capacity.size() > max_capacity_entries) {
        ++refused_;
        return;
    }
    const bool urgent = has_change(*summary);
    const auto known = zones_.find(summary->zone);
    // Versions are times in milliseconds, so the interval is compared with their difference.
    const auto refresh = static_cast<std::uint64_t>(settings_.refresh_interval.count());
    if (!urgent && known != zones_.end() && summary->version < known->second.summary.version + refresh) {
        return;
    }
    members.publish({gossip_kind::zone_summary, summary->zone.value(), summary->version, 0, std::string{payload}},
                    urgent);
    store(*summary, now);
}

void zone_directory::on_item(const gossip_item& item, steady_time now)
{
    const auto summary = decode<zone_summary_message>(item.bytes);
    if (!summary || summary->zone == settings_.zone) {
        ++refused_;
        return;
    }
    store(*summary, now);
}

/// @return whether a summary lists a capacity target that an earlier one does not list.
static bool has_new_target(const zone_summary_message& summary, const zone_summary_message& earlier)
{
    return std::any_of(summary.capacity.begin(), summary.capacity.end(), [&earlier](const capacity_entry& entry) {
        return std::none_of(earlier.capacity.begin(), earlier.capacity.end(),
                            [&entry](const capacity_entry& known) { return known.target == entry.target; });
    });
}

bool zone_directory::has_change(const zone_summary_message& summary) const
{
    const auto known = zones_.find(summary.zone);
    return known == zones_.end() || known->second.summary.in_service != summary.in_service ||
           has_new_target(summary, known->second.summary);
}

void zone_directory::store(zone_summary_message summary, steady_time now)
{
    const auto known = zones_.find(summary.zone);
    if (known != zones_.end() && known->second.summary.version >= summary.version) {
        return;
    }
    if (known == zones_.end() && zones_.size() >= max_zones) {
        ++refused_;
        return;
    }
    const zone_name name = summary.zone;
    zones_[name] = known_zone{std::move(summary), now, true};
}

std::map<zone_name, known_zone> zone_directory::zones(steady_time now) const
{
    auto all = zones_;
    for (auto& [name, known] : all) {
        known.reachable = now - known.received < settings_.unreachable_after;
    }
    return all;
}

} // namespace agatespar
