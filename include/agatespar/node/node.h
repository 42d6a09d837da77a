// One entry VM: all services of the daemon, wired together.
#pragma once

#include <agatespar/node/settings.h>
#include <agatespar/support/outcome.h>

#include <memory>
#include <string>

namespace agatespar {

class glib_event_loop;

/// Owns the services. They find each other by name in the node's registry.
class node {
public:
    /// Binds the addresses and starts the services.
    /// @return unavailable if an address cannot be bound, invalid_argument for a bad TLS file.
    static outcome<std::unique_ptr<node>> open(glib_event_loop& loop, const node_settings& settings);

    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Starts a graceful shutdown; the loop quits when it is done.
    void stop();

    /// @return where callers and operators connect.
    const std::string& http_address() const;
    /// @return where other VMs connect.
    const std::string& peer_address() const;
    /// @return requests that the shutdown had to cut.
    std::size_t cut_requests() const;

private:
    struct impl;
    explicit node(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
