// Tracks the zone's backend servers: the platform's VM list, the servers' load, and the permits to start work on them.
#pragma once

#include <agatespar/backend/permit_service.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/engine.h>
#include <agatespar/platform/vm_list.h>
#include <agatespar/request/permit_source.h>
#include <agatespar/request/server_table.h>
#include <agatespar/wire/transport.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatespar {

class membership_service;
class message_router;

/// Keeps the server table up to date, polls the servers that this VM owns and grants permits for them.
class server_service {
public:
    using list_listener = std::function<void(const std::vector<vm_entry>&)>;

    server_service(event_loop& loop, vm_list_service list, engine_client engine, transport& peer_transport,
                   message_router& router, membership_service& members, server_table& table);
    server_service(const server_service&) = delete;
    server_service& operator=(const server_service&) = delete;
    ~server_service();

    /// Applies whether the configuration has this zone in service.
    void apply_configuration(const configuration& config);
    /// Adds a function that is called with every VM list.
    void listen(list_listener callback) { listeners_.push_back(std::move(callback)); }
    /// @return whether the VM list was read at least once.
    bool ready() const { return list_received_; }
    permit_source source();
    const permit_service& permits() const { return permits_; }

private:
    /// View of the zone that the permit service was last given.
    struct permit_zone_view {
        std::uint64_t view_version;
        bool has_majority;
        friend bool operator==(const permit_zone_view&, const permit_zone_view&) = default;
    };

    void fetch_list();
    void on_vm_list(const std::vector<vm_entry>& entries);
    void on_membership_event(const membership_event& event);
    void update_permit_view();
    void on_gossip_item(const gossip_item& item);
    void tick();
    void poll(server_key key);
    void on_load_report(server_key key, const load_report& report, steady_time polled);
    void publish_versions(const server_id& id, const std::vector<engine_version>& versions);
    void refresh_loads();
    void send(boot_id to, message_kind kind, std::string payload);
    void acquire(const server_id& id, bool alone, std::function<void(const outcome<permit>&)> callback);

    event_loop& loop_;
    vm_list_service list_;
    engine_client engine_;
    transport& peer_transport_;
    membership_service& members_;
    server_table& table_;
    permit_service permits_;
    std::unordered_map<server_key, server_id> ids_;
    std::vector<list_listener> listeners_;
    std::optional<permit_zone_view> last_view_;
    bool list_received_{false};
    timer_id list_timer_;
    timer_id tick_timer_;
    /// Expires with this object, as callbacks of HTTP requests and of the event loop may run later.
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace agatespar
