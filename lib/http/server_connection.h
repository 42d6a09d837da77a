// One client's connection: reads requests one after the other and writes the answers.
#pragma once

#include <agatespar/http/server.h>

#include <optional>

namespace agatespar {

class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_listener& listener, std::shared_ptr<tcp_stream> stream);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection() = default;

    void start();
    void write(std::string_view bytes) { stream_->write(bytes); }
    std::size_t unsent() const { return stream_->unsent(); }
    bool closes_after_answer() const;
    /// The answer to the current request has been written. @param keep_alive whether another request may follow.
    void end_exchange(bool keep_alive);
    void break_off();
    bool is_busy() const { return !exchange_.expired(); }
    /// @return whether a request is answered, read, or, while the listener stops, may be on its way.
    bool may_have_request() const { return is_busy() || reader_ || awaits_first_; }
    /// Ends the connection unless a request has reached the system by now. A client that has just connected gets a
    /// moment to send its first one.
    void close_if_idle();
    /// The listener is gone; nothing of it may be touched any more.
    void detach();

private:
    void on_bytes(std::string_view bytes);
    void on_end();
    void read_request();
    void take_head(http_request_head head);
    void hand_over();
    void refuse(int status);
    void start_timer(std::chrono::milliseconds delay, int status_on_expiry);
    void stop_timer();
    /// Lets the client take the last bytes; the connection is no longer the listener's.
    void close_when_sent();
    void forget();

    http_listener* listener_;
    event_loop& loop_;
    std::shared_ptr<tcp_stream> stream_;
    std::string input_;
    std::optional<request_reader> reader_;
    http_request_head head_;
    std::string body_;
    steady_time began_;
    bool head_keeps_alive_{true};
    bool had_request_{false};
    /// The listener stops, and the first request may be on its way.
    bool awaits_first_{false};
    std::weak_ptr<server_exchange> exchange_;
    std::optional<timer_id> timer_;
};

} // namespace agatespar
