// Exchanges summaries between zones: a few delegates of each zone send them, and the receiving zone distributes them by
// gossip.
#pragma once

#include <agatespar/membership/membership.h>
#include <agatespar/membership/messages.h>
#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string_view>
#include <vector>

namespace agatespar {

struct zone_directory_settings {
    zone_name zone;
    region_name region;
    /// Interval at which each delegate sends a summary to each other zone.
    std::chrono::milliseconds summary_interval{4000};
    /// Interval at which a zone distributes another zone's summaries that contain no change.
    std::chrono::milliseconds refresh_interval{15'000};
    /// A zone of which no summary arrived for this long is considered unreachable.
    std::chrono::milliseconds unreachable_after{45'000};
    /// Number of VMs of a zone that send its summary.
    std::size_t delegates{2};
    /// Number of addresses of entry VMs in a summary.
    std::size_t entry_sample{3};
};

/// State of this VM's own zone for the summary.
struct local_zone_state {
    bool in_service{true};
    config_number config;
    std::uint64_t config_hash{0};
    std::vector<capacity_entry> capacity;
};

/// The latest summary of another zone.
struct known_zone {
    zone_summary_message summary;
    steady_time received;
    bool reachable{false};
};

/// Sends this zone's summary if this VM is a delegate, and stores the summaries of the other zones.
class zone_directory {
public:
    zone_directory(zone_directory_settings settings, std::uint64_t random_seed)
        : settings_(std::move(settings)), random_(random_seed)
    {
    }

    void set_local(local_zone_state local) { local_ = std::move(local); }
    /// Sets the addresses of other zones' VMs from the VM list, which are used in addition to those in summaries.
    void set_listed(std::map<zone_name, std::vector<vm_address>> listed) { listed_ = std::move(listed); }

    /// @param members this zone's membership. @return the summaries to send.
    std::vector<outgoing_message> tick(const membership& members, steady_time now, wall_time wall_now);
    /// Handles a message of kind zone_summary from an authenticated peer. Publishes the summary in this zone if it
    /// contains a change, or if `refresh_interval` has passed since the stored one.
    void on_message(std::string_view payload, membership& members, steady_time now);
    /// Handles a gossip item of kind zone_summary.
    void on_item(const gossip_item& item, steady_time now);

    /// @return the other zones by name.
    std::map<zone_name, known_zone> zones(steady_time now) const;
    std::uint64_t refused() const { return refused_; }

private:
    bool is_delegate(const membership& members) const;
    zone_summary_message summarise(const membership& members, wall_time wall_now);
    bool has_change(const zone_summary_message& summary) const;
    void store(zone_summary_message summary, steady_time now);

    zone_directory_settings settings_;
    std::mt19937_64 random_;
    local_zone_state local_;
    std::map<zone_name, std::vector<vm_address>> listed_;
    std::map<zone_name, known_zone> zones_;
    steady_time next_summary_;
    std::uint64_t last_version_{0};
    std::uint64_t refused_{0};
};

} // namespace agatespar
