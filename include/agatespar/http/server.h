// Serves HTTP/1.1 on kept connections, one request at a time on each, with the bytes in the caller's hands.
#pragma once

#include <agatespar/http/message_reader.h>
#include <agatespar/http/tcp_stream.h>
#include <agatespar/kernel/event_loop.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace agatespar {

/// What clients may send, and how long they may take.
struct server_limits {
    message_limits message;
    /// From the first byte of a request to its last.
    std::chrono::milliseconds request_time{3000};
    /// A kept connection without a request ends after this.
    std::chrono::milliseconds idle_time{15000};
};

class server_connection;

/// One request and the means to answer it. The answer may be given whole or as a stream, now or later.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
public:
    server_exchange(std::shared_ptr<server_connection> connection, http_request_head head, std::string body,
                    steady_time began);
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange();

    const http_request_head& head() const { return head_; }
    const std::string& body() const { return body_; }
    /// @return when the request's first byte came.
    steady_time began() const { return began_; }

    /// Answers in one piece.
    void answer(const http_answer_head& head, std::string_view body);
    /// Starts an answer whose pieces follow.
    void begin(const http_answer_head& head);
    void send_piece(std::string_view bytes);
    /// Ends an answer that is whole.
    void finish();
    /// Breaks the connection, so that what was sent can't be taken for a whole answer.
    void abort();

    /// @return bytes of the answer that the client has not taken yet.
    std::size_t unsent() const;
    /// Sets what is called once if the client leaves before the answer has ended.
    void on_gone(std::function<void()> callback) { gone_ = std::move(callback); }
    /// Sets what is called whenever the client has taken all that was sent.
    void on_drained(std::function<void()> callback) { drained_ = std::move(callback); }
    bool is_open() const { return connection_ != nullptr; }

private:
    friend class server_connection;
    void tell_gone();
    void end(bool keep_alive);

    std::shared_ptr<server_connection> connection_;
    http_request_head head_;
    std::string body_;
    steady_time began_;
    bool begun_{false};
    std::function<void()> gone_;
    std::function<void()> drained_;
};

using exchange_callback = std::function<void(const std::shared_ptr<server_exchange>&)>;

/// Listens and reads requests. Limits can be changed while it runs and hold for what is read from then on.
class http_listener {
public:
    static outcome<std::unique_ptr<http_listener>> open(event_loop& loop, const std::string& address,
                                                        const server_limits& limits, exchange_callback handler);
    http_listener(event_loop& loop, const server_limits& limits, exchange_callback handler);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    ~http_listener();

    std::string address() const { return listener_->address(); }
    void set_limits(const server_limits& limits) { limits_ = limits; }
    /// From now on each answer is the last on its connection.
    void close_after_answers() { closing_ = true; }
    /// Takes no more connections than the system has by now, and closes those that wait for a further request. A
    /// client that has just connected gets a moment to send its first one.
    void stop();
    /// @return connections that are open.
    std::size_t connections() const { return connections_.size(); }
    /// @return requests that are not answered yet, read or half read; while the listener stops, also connections whose
    /// first request may be on its way.
    std::size_t open_exchanges() const;
    /// @return connections whose last bytes their clients have not taken yet.
    std::size_t lingering() const;

private:
    friend class server_connection;

    event_loop& loop_;
    server_limits limits_;
    exchange_callback handler_;
    bool closing_{false};
    std::unique_ptr<tcp_listener> listener_;
    std::set<std::shared_ptr<server_connection>> connections_;
    std::vector<std::weak_ptr<tcp_stream>> lingering_;
};

/// @return a short answer of the router's own.
http_answer_head own_answer(int status);

} // namespace agatespar
