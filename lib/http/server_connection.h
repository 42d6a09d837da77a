// Connection of one client: reads its requests one at a time and writes the answers.
#pragma once

#include <agatespar/http/server.h>

#include <optional>

namespace agatespar {

/// An idle connection keeps an input buffer of up to this size, which usual requests fit into.
inline constexpr std::size_t max_kept_input_bytes = std::size_t{4} * 1024;

class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_listener& listener, std::shared_ptr<tcp_stream> stream);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection() = default;

    void start();
    void write(std::string_view bytes) { stream_->write(bytes); }
    /// @param body may be null. @param must_deliver the connection is not closed to free memory until all is sent.
    void write(std::string_view head, const std::shared_ptr<const std::string>& body, bool must_deliver);
    std::size_t unsent() const { return stream_->unsent(); }
    bool closes_after_answer() const;
    /// To be called when the answer to the current request has been written. @param keep_alive whether another request
    /// may follow.
    void end_exchange(bool keep_alive);
    /// @param by_reset whether the client would take an orderly end for the end of the answer.
    void close_now(bool by_reset);
    /// @return whether a request has begun and is incomplete.
    bool is_reading() const { return reader_.has_value(); }
    /// @return when bytes of the request arrived last.
    steady_time last_progress() const { return active_at_; }
    /// @return whether the unsent bytes contain the answer of a request that may not be repeated.
    bool is_protected() const { return is_protected_ && unsent() > 0; }
    /// @return whether a request is running whose answer has not begun. It would be aborted with its connection.
    bool awaits_answer() const;
    memory_candidate describe_unfinished() const;
    memory_candidate describe_unread() const;
    /// Refuses an incomplete request with 503 and drops what it holds.
    void refuse_for_memory(memory_refusal reason);
    /// Closes the connection as if the client had done so.
    void disconnect();
    bool is_busy() const { return !exchange_.expired(); }
    /// @return whether a request is being answered or read, or, while the listener stops, may be in transit.
    bool may_have_request() const { return is_busy() || reader_ || awaits_first_request_; }
    /// Closes the connection unless the operating system has received bytes of a request. A connection without any
    /// request yet stays open briefly, as its first request may be in transit.
    void close_if_idle();
    connection_state state() const;
    /// Closes the connection unless the operating system has received further bytes of a request.
    /// @return whether it was closed in favour of another one.
    bool evict();
    /// Closes the connection. To be called when the listener is destroyed; the listener is not accessed afterwards.
    void detach();

private:
    void on_bytes(std::string_view bytes);
    void on_end();
    void read_request();
    void take_head(http_request_head head);
    void dispatch_request();
    void refuse(int status);
    void refuse(const http_answer_head& head);
    /// Reserves the capacity of the unparsed input. @return whether there is room.
    bool reserve_input();
    /// Drops the buffer of the unparsed input if it is large and empty.
    void release_input();
    void take_body(std::string_view bytes);
    void start_timer(std::chrono::milliseconds delay, int status_on_expiry);
    void stop_timer();
    /// Closes the connection after its last bytes have been sent, and removes it from the listener.
    void close_when_sent();
    void unregister();

    http_listener* listener_;
    event_loop& loop_;
    std::shared_ptr<tcp_stream> stream_;
    std::string input_;
    memory_reservation input_held_;
    std::optional<request_reader> reader_;
    http_request_head head_;
    budgeted_string body_;
    /// The current request has found room so far.
    bool has_room_{true};
    bool is_protected_{false};
    steady_time start_time_;
    /// When the connection became idle, or when the last bytes of a request arrived.
    steady_time active_at_;
    bool head_complete_{false};
    bool head_keeps_alive_{true};
    bool had_request_{false};
    /// The listener is stopping, and the first request may be in transit.
    bool awaits_first_request_{false};
    std::weak_ptr<server_exchange> exchange_;
    std::optional<timer_id> timer_;
};

} // namespace agatespar
