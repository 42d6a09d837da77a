// Listens for TCP connections on the event loop.
#pragma once

#include <agatespar/http/tcp_stream.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatespar {

/// Accepts TCP connections.
class tcp_listener {
public:
    using accept_callback = std::function<void(std::shared_ptr<tcp_stream>)>;

    /// @param address "ip:port" of IPv4; port 0 selects a free one. @return the listener, invalid_argument if the
    /// address is malformed, or unavailable if it can't be bound.
    static outcome<std::unique_ptr<tcp_listener>> open(event_loop& loop, const std::string& address,
                                                       accept_callback on_accept);
    tcp_listener(event_loop& loop, int descriptor, accept_callback on_accept);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();

    /// @return "ip:port" with the port that is bound.
    std::string address() const;
    /// Accepts all pending connections; closing the listener would reset them.
    void accept_pending();
    /// @return how often the operating system had no descriptor or memory for a connection.
    std::uint64_t accept_pauses() const { return accept_pauses_; }

private:
    /// @return whether a connection was accepted.
    bool accept_one();
    /// Stops to accept connections for a while, as the pending ones would wake the loop at once again.
    void pause();

    event_loop& loop_;
    int descriptor_;
    accept_callback on_accept_;
    std::optional<timer_id> pause_timer_;
    std::uint64_t accept_pauses_{0};
    std::optional<steady_time> pause_logged_at_;
    descriptor_watch watch_;
};

} // namespace agatespar
