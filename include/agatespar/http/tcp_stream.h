// A TCP connection on the event loop, with back-pressure both ways.
#pragma once

#include <agatespar/kernel/descriptor_watch.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/support/outcome.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatespar {

/// How a connection ended.
enum class stream_end {
    /// The peer closed it in order.
    closed,
    /// It was reset, timed out, or could not be opened.
    broken,
};

/// What the owner of a connection is told. Nothing is called after close(), and nothing after `ended`.
struct tcp_callbacks {
    /// An outgoing connection is open.
    std::function<void()> connected;
    std::function<void(std::string_view bytes)> received;
    std::function<void(stream_end how)> ended;
    /// Bytes had to wait, and all have been handed to the system now.
    std::function<void()> drained;
};

/// An open or opening connection. Owned by shared pointer, so that callbacks may drop it.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    /// Opens a connection. @param address "ip:port" of IPv4. @return the stream, or invalid_argument or unavailable
    /// if no attempt could be started; a refused attempt is reported as `ended`.
    static outcome<std::shared_ptr<tcp_stream>> connect(event_loop& loop, const std::string& address,
                                                        tcp_callbacks callbacks);
    /// Takes over an accepted connection. @param descriptor is owned from here on.
    static std::shared_ptr<tcp_stream> adopt(event_loop& loop, int descriptor);

    tcp_stream(event_loop& loop, int descriptor, bool connecting);
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;
    ~tcp_stream();

    void set_callbacks(tcp_callbacks callbacks);
    void write(std::string_view bytes);
    /// @return bytes that were written and not yet handed to the system.
    std::size_t unsent() const { return output_.size(); }
    /// @return whether any byte was handed to the system since forget_sent(), so that the peer may have got it.
    bool has_sent() const { return has_sent_; }
    void forget_sent() { has_sent_ = false; }
    /// Stops or goes on reading; the end of a paused connection is still noticed when it is reset.
    void pause_reading(bool paused);
    /// Tells the owner now of what the system has received, up to one read of it, rather than from the loop.
    void read_now();
    /// Closes at once. Unsent bytes are lost, and unread bytes make the system reset the connection.
    void close();
    /// Sends what is unsent, then ends the connection so that the peer can read all of it: reads on for a while and
    /// drops what comes, as closing with unread bytes would reset the connection.
    void close_when_sent();
    bool is_open() const { return descriptor_ >= 0; }

private:
    void on_ready(descriptor_events events);
    void finish_connect();
    void read_available();
    void send_pending(bool was_waiting);
    void after_sending(bool was_waiting);
    void end(stream_end how);
    void update_watch();

    event_loop& loop_;
    int descriptor_;
    bool connecting_;
    bool paused_{false};
    bool lingering_{false};
    bool has_sent_{false};
    bool broken_{false};
    std::optional<timer_id> linger_timer_;
    std::string output_;
    // Shared, so that a callback that closes the stream outlives its own call.
    std::shared_ptr<tcp_callbacks> callbacks_;
    std::optional<descriptor_watch> watch_;
};

/// Accepts TCP connections.
class tcp_listener {
public:
    using accept_callback = std::function<void(std::shared_ptr<tcp_stream>)>;

    /// @param address "ip:port" of IPv4; port 0 takes a free one. @return unavailable if it can't be bound.
    static outcome<std::unique_ptr<tcp_listener>> open(event_loop& loop, const std::string& address,
                                                       accept_callback on_accept);
    tcp_listener(event_loop& loop, int descriptor, accept_callback on_accept);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();

    /// @return "ip:port" with the port that was picked.
    std::string address() const;
    /// Accepts all connections that are open by now: closing the listener would reset those that still wait.
    void accept_waiting();

private:
    /// @return whether a connection was accepted.
    bool accept_one();

    event_loop& loop_;
    int descriptor_;
    accept_callback on_accept_;
    descriptor_watch watch_;
};

} // namespace agatespar
