// One entry VM: creates and connects all services of the daemon.
#pragma once

#include <agatespar/node/settings.h>
#include <agatespar/support/outcome.h>

#include <memory>
#include <string>

namespace agatespar {

class glib_event_loop;

/// Owns the services and registers them by name in its registry.
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

    /// @return the address for callers and operators, "ip:port".
    const std::string& http_address() const;
    /// @return the address for other VMs, "ip:port".
    const std::string& peer_address() const;
    /// @return the number of requests that were still running at the end of the shutdown and were cut off.
    std::size_t cut_requests() const;

private:
    struct impl;
    explicit node(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
