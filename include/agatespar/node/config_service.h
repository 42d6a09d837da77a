// Keeps this VM's configuration up to date and notifies its peers of its version.
#pragma once

#include <agatespar/config/config_reader.h>
#include <agatespar/config/snapshot_store.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/wire/transport.h>

#include <functional>
#include <memory>
#include <random>

namespace agatespar {

class membership_service;
class message_router;

/// Runs the configuration reader. A few owners in the zone tail the log, and all other VMs pull the configuration from
/// them.
class config_service {
public:
    using listener = std::function<void(const std::shared_ptr<const configuration>&)>;

    config_service(event_loop& loop, const log_service& log, transport& peer_transport, message_router& router,
                   membership_service& members, std::mt19937_64& random);
    ~config_service();
    config_service(const config_service&) = delete;
    config_service& operator=(const config_service&) = delete;

    /// Adds a function that is called with every new configuration.
    void listen(listener callback) { listeners_.push_back(std::move(callback)); }
    config_reader& reader() { return reader_; }
    const config_reader& reader() const { return reader_; }

private:
    config_reader_environment make_reader_environment(log_service log);
    void update_tailing();
    void publish_mark();
    void announce(const config_state& state);
    template <class Message>
    void send(boot_id to, message_kind kind, const Message& message);

    event_loop& loop_;
    transport& peer_transport_;
    membership_service& members_;
    std::vector<listener> listeners_;
    config_reader reader_;
    snapshot_writer snapshots_;
    timer_id mark_timer_;
    std::uint64_t mark_version_{0};
    config_number published_number_;
    steady_time next_refresh_;
};

} // namespace agatespar
