// Runs the membership protocol of this VM on the event loop and the transport.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/membership/membership.h>
#include <agatespar/support/ids.h>
#include <agatespar/wire/transport.h>

#include <functional>
#include <string>
#include <vector>

namespace agatespar {

class message_router;

/// Calls the membership protocol at regular intervals, sends its messages, and notifies listeners of changes.
class membership_service {
public:
    using listener = std::function<void(const membership_event&)>;

    /// @param seeds addresses of VMs to probe in addition to those of the VM list.
    membership_service(event_loop& loop, transport& peer_transport, message_router& router, const zone_id& zone,
                       boot_id self, std::vector<std::string> seeds);
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;
    ~membership_service();

    membership& members() { return members_; }
    /// Adds a function that is called with every membership event.
    void listen(listener callback) { listeners_.push_back(std::move(callback)); }
    /// Sets the entry VMs of this zone in the VM list.
    void set_listed(std::vector<listed_member> listed);
    /// Notifies peers that this VM has left.
    void leave();

private:
    void tick();
    void apply(const membership_output& output);

    event_loop& loop_;
    transport& peer_transport_;
    std::vector<std::string> seeds_;
    membership members_;
    std::vector<listener> listeners_;
    timer_id timer_;
};

} // namespace agatespar
