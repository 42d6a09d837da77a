// TCP connections on the event loop, with back-pressure in both directions.
#pragma once

#include <agatespar/http/output_queue.h>
#include <agatespar/kernel/descriptor_watch.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/support/outcome.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatespar {

/// How a connection ended.
enum class stream_end {
    /// The peer closed the connection in an orderly way.
    closed,
    /// The connection was reset, timed out, or could not be opened.
    broken,
};

/// Functions that a connection calls. None is called after close() or after `ended`.
struct tcp_callbacks {
    /// An outgoing connection is open.
    std::function<void()> connected;
    std::function<void(std::string_view bytes)> received;
    std::function<void(stream_end how)> ended;
    /// Written bytes had to wait, and all of them have now been handed to the operating system.
    std::function<void()> drained;
};

/// @return whether the text is an IPv4 address with a port that a connection can be opened to.
bool is_connectable_address(const std::string& text);

/// @param descriptor of a TCP connection. @return the number of bytes that were handed to the operating system and that
/// the peer has not acknowledged; 0 if it is unknown.
std::size_t unacknowledged_bytes(int descriptor);

/// A connection that is open or being opened. Owned by shared pointer, so that callbacks may drop it.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    /// Starts to open a connection. @param address "ip:port" of IPv4. @return the stream, or invalid_argument or
    /// unavailable if no attempt could be started, or not_found if it was refused at once; one that is refused later is
    /// reported by `ended`.
    static outcome<std::shared_ptr<tcp_stream>> connect(event_loop& loop, const std::string& address,
                                                        tcp_callbacks callbacks);
    /// Creates a stream for an accepted connection. @param descriptor the stream takes ownership of it.
    static std::shared_ptr<tcp_stream> adopt(event_loop& loop, int descriptor);

    tcp_stream(event_loop& loop, int descriptor, bool connecting);
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;
    ~tcp_stream();

    void set_callbacks(tcp_callbacks callbacks);
    void write(std::string_view bytes);
    /// Writes a head and a body. What can't be sent of the body at once is shared, not copied.
    void write(std::string_view head, const std::shared_ptr<const std::string>& body);
    /// Counts the unsent bytes in a budget from now on. @param budget may be null.
    void count_output(std::shared_ptr<memory_budget> budget, memory_holder holder);
    /// @return the number of bytes that were written and not yet handed to the operating system.
    std::size_t unsent() const { return output_.size(); }
    /// @return when the peer last made room for bytes that wait; since then it has read nothing.
    steady_time last_sent_at() const { return last_sent_at_; }
    /// @return the peer's IPv4 address without the port, or 0 if it is unknown.
    std::uint32_t peer_address() const;
    /// @return whether any byte was handed to the operating system since reset_sent(), so that the peer may have
    /// received it.
    bool has_sent() const { return has_sent_; }
    void reset_sent() { has_sent_ = false; }
    /// @return whether the connection has ended before the peer had taken all that was written. Even if the peer closed
    /// it in an orderly way, it can't have read that.
    bool has_lost_output() const { return has_lost_output_; }
    /// Pauses or resumes reading. A reset of a paused connection is still detected.
    void pause_reading(bool paused);
    /// Reads at once, rather than from the loop, what the operating system has received, at most one buffer, and calls
    /// the callbacks.
    void read_now();
    /// Closes at once. Unsent bytes are lost; if bytes are unread, the operating system resets the connection.
    void close();
    /// Closes at once in a way that the peer can't mistake for an orderly end.
    void reset();
    /// Sends the unsent bytes for as long as the peer takes them, then closes the connection so that the peer can read
    /// all of them: received bytes are read and dropped for a while, as closing with unread bytes would reset the
    /// connection. A peer that takes nothing for three seconds loses the rest.
    void close_when_sent();
    bool is_open() const { return descriptor_ >= 0; }

private:
    void on_ready(descriptor_events events);
    void finish_connect();
    void read_available();
    void send_pending(bool was_waiting);
    /// Sends bytes from some buffers. @return the number of bytes that the operating system has taken.
    std::size_t send_now(const output_parts& parts);
    void after_sending(bool was_waiting);
    std::size_t untaken_bytes() const;
    void schedule_linger_check(std::size_t untaken_before, int stalled);
    void end(stream_end how);
    void update_watch();

    event_loop& loop_;
    int descriptor_;
    bool connecting_;
    bool paused_{false};
    bool lingering_{false};
    bool has_sent_{false};
    bool broken_{false};
    bool has_lost_output_{false};
    std::optional<timer_id> linger_timer_;
    steady_time last_sent_at_;
    output_queue output_;
    // Shared, so that a callback that closes the stream is not destroyed while it runs.
    std::shared_ptr<tcp_callbacks> callbacks_;
    std::optional<descriptor_watch> watch_;
};

} // namespace agatespar
