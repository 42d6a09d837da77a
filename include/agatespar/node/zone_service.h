// Exchanges zone summaries with other zones, and provides the state of those zones to the routing.
#pragma once

#include <agatespar/config/config_reader.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/membership/zone_directory.h>
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

/// Calls the zone directory at regular intervals and copies the state of other zones into the server table.
class zone_service {
public:
    /// Starts the exchange. All references must outlive this object.
    /// @param config provides the configuration number and hash for the own summary.
    /// @param region the region of this VM; the delay to a zone is estimated from whether it is in the same region.
    zone_service(event_loop& loop, transport& peer_transport, message_router& router, membership_service& members,
                 server_table& table, const config_reader& config, region_name region, std::mt19937_64& random);
    zone_service(const zone_service&) = delete;
    zone_service& operator=(const zone_service&) = delete;
    ~zone_service();

    /// Replaces the addresses of other zones' VMs by those in the VM list. They allow messages to a zone from which no
    /// summary has arrived yet.
    void on_vm_list(const std::vector<vm_entry>& entries);
    /// @return the address, "ip:port", of a random VM of another zone that was live when last reported, or std::nullopt
    /// if none is known.
    std::optional<std::string> pick_vm(const zone_id& zone);

private:
    void tick();
    local_zone_state describe_own_zone();
    void update_other_zones();

    event_loop& loop_;
    transport& peer_transport_;
    membership_service& members_;
    server_table& table_;
    const config_reader& config_;
    region_name region_;
    std::mt19937_64& random_;
    zone_directory directory_;
    std::map<zone_name, std::vector<vm_address>> listed_;
    timer_id timer_;
};

} // namespace agatespar
