// The connections of an HTTP client: limits on their number, calls that wait for one, and idle ones for later calls.
#pragma once

#include "http_call.h"

#include <agatespar/platform/gio_http_client.h>

#include <deque>
#include <map>
#include <vector>

namespace agatespar {

/// Calls get connections in the order in which they ask, except that a call which the limits hold back does not hold
/// back those to other servers.
class http_connection_pool {
public:
    http_connection_pool(event_loop& loop, const gio_http_settings& settings);
    http_connection_pool(const http_connection_pool&) = delete;
    http_connection_pool& operator=(const http_connection_pool&) = delete;
    /// All calls that have a connection must have ended.
    ~http_connection_pool();

    /// @return the operations for calls; they refer to this object.
    const connection_source& source() const { return source_; }

private:
    struct idle_connection {
        http_origin origin;
        std::shared_ptr<gio_connection> connection;
        timer_id expiry;
    };

    void add_idle(const http_origin& origin, const std::shared_ptr<gio_connection>& connection);
    void drop_idle(const gio_connection* connection);
    std::shared_ptr<gio_connection> take_idle(const http_origin& origin);
    bool close_oldest_idle(const http_origin* origin);
    void assign_connections();
    bool try_assign(const std::shared_ptr<http_call>& call);
    /// @return whether one more connection may be opened, after closing an idle one if necessary.
    bool make_room(const http_origin& origin);
    std::shared_ptr<gio_connection> open(const http_origin& origin);

    event_loop& loop_;
    gio_http_settings settings_;
    GTlsDatabase* trusted_{nullptr};
    connection_source source_;
    std::deque<std::shared_ptr<http_call>> waiting_;
    bool is_assigning_{false};
    // The oldest first.
    std::vector<idle_connection> idle_;
    // The number of connections that are open or being opened, by server.
    std::map<http_origin, std::size_t> open_by_origin_;
    std::size_t open_{0};
};

} // namespace agatespar
