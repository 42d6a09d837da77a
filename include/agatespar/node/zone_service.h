// Lets zones know of each other: delegates send summaries, and every VM learns them by its own zone's gossip.
#pragma once

#include <agatespar/config/config_reader.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/membership/messages.h>
#include <agatespar/platform/vm_list.h>
#include <agatespar/request/server_table.h>
#include <agatespar/wire/transport.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace agatespar {

class membership_service;
class message_router;

/// Sends this zone's summary if this VM is a delegate, and keeps the other zones' summaries.
class zone_service {
public:
    zone_service(event_loop& loop, transport& carrier, message_router& router, membership_service& members,
                 server_table& table, const config_reader& config, region_name region, std::mt19937_64& random);
    zone_service(const zone_service&) = delete;
    zone_service& operator=(const zone_service&) = delete;
    ~zone_service();

    /// Takes the VM list, which tells how to reach the other zones at first.
    void take_list(const std::vector<vm_entry>& entries);
    /// @return the address of a live VM of another zone, or nothing.
    std::optional<std::string> pick_vm(const zone_id& zone);

private:
    struct known_zone {
        std::optional<zone_summary_message> summary;
        steady_time heard;
        std::vector<std::string> listed;
    };

    void tick();
    void send_summaries();
    zone_summary_message make_summary();
    void take_summary(const frame& received);
    void take_item(const gossip_item& item);
    void apply(const zone_id& id, const known_zone& zone);
    std::vector<std::string> addresses_of(const known_zone& zone) const;

    event_loop& loop_;
    transport& carrier_;
    membership_service& members_;
    server_table& table_;
    const config_reader& config_;
    region_name region_;
    std::mt19937_64& random_;
    std::map<zone_id, known_zone> zones_;
    timer_id timer_;
};

} // namespace agatespar
