// HTTP/1.1 server with persistent connections. Each connection processes one request at a time; the caller writes the
// answer.
#pragma once

#include <agatespar/http/connection_limit.h>
#include <agatespar/http/message_reader.h>
#include <agatespar/http/tcp_listener.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/support/memory_budget.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatespar {

/// Limits on the size of requests and on the time that clients may take.
struct server_limits {
    message_limits message;
    /// Maximum time from the first byte of a request to its last.
    std::chrono::milliseconds request_timeout{3000};
    /// A persistent connection without a request is closed after this time.
    std::chrono::milliseconds idle_timeout{15000};
};

/// Counts of connections that were closed because of the limit on connections, since the start of the listener.
struct connection_counters {
    /// Idle connections, and connections with an incomplete head, that gave way to a new one.
    std::uint64_t evicted{0};
    /// New connections that were closed without having been read.
    std::uint64_t refused{0};
    /// Pauses of the listener, as the process had no descriptor left.
    std::uint64_t accept_pauses{0};
};

class server_connection;

/// A request and its answer. The answer may be sent at once or in pieces, and after the handler has returned.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
public:
    server_exchange(std::shared_ptr<server_connection> connection, http_request_head head,
                    std::shared_ptr<const std::string> body, steady_time start_time);
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange();

    const http_request_head& head() const { return head_; }
    const std::string& body() const { return *body_; }
    /// @return the body for other owners. Its memory is reserved until the last one drops it.
    const std::shared_ptr<const std::string>& shared_body() const { return body_; }
    /// Drops the body. To be called when the request will not be sent again.
    void release_body();
    /// @return when the first byte of the request arrived.
    steady_time start_time() const { return start_time_; }

    /// Sends the complete answer.
    void answer(const http_answer_head& head, std::string_view body);
    /// Sends the complete answer, whose body is shared, not copied.
    /// @param must_deliver the answer of a request that may not be repeated: the connection is not closed to free
    /// memory while the client reads.
    void answer_shared(const http_answer_head& head, std::shared_ptr<const std::string> body, bool must_deliver);
    /// Sends the head of an answer whose body follows in pieces.
    void begin(const http_answer_head& head);
    /// Sends a piece of the body. It is dropped if the answer has none by its status or its request's method.
    void send_chunk(std::string_view bytes);
    /// Ends an answer that has been sent completely.
    void finish();
    /// Closes the connection, so that the client can't mistake a partial answer for a complete one.
    void abort();

    /// @return the number of bytes of the answer that have not been handed to the operating system yet.
    std::size_t unsent() const;
    /// Sets the function that is called once if the client disconnects before the answer has ended.
    void on_disconnect(std::function<void()> callback) { disconnect_callback_ = std::move(callback); }
    /// Sets the function that is called whenever bytes had to wait and all of them have now been handed to the
    /// operating system.
    void on_drained(std::function<void()> callback) { drained_callback_ = std::move(callback); }
    bool is_open() const { return connection_ != nullptr; }

private:
    friend class server_connection;
    void notify_disconnect();
    /// Sends the head and the body, which is in `shared` if that is not null.
    void send_answer(const http_answer_head& head, std::string_view body, std::shared_ptr<const std::string> shared,
                     bool must_deliver);
    void end(bool keep_alive);
    bool keeps_connection() const;

    std::shared_ptr<server_connection> connection_;
    http_request_head head_;
    std::shared_ptr<const std::string> body_;
    steady_time start_time_;
    bool answer_started_{false};
    answer_framing framing_;
    std::function<void()> disconnect_callback_;
    std::function<void()> drained_callback_;
};

using exchange_callback = std::function<void(const std::shared_ptr<server_exchange>&)>;

/// Accepts connections and reads requests. Changed limits apply to requests that are read from then on.
class http_listener {
public:
    static outcome<std::unique_ptr<http_listener>> open(event_loop& loop, const std::string& address,
                                                        const server_limits& limits, exchange_callback handler,
                                                        std::shared_ptr<memory_budget> memory = nullptr);
    /// @param memory the budget for what clients send and don't read, or null.
    http_listener(event_loop& loop, const server_limits& limits, exchange_callback handler,
                  std::shared_ptr<memory_budget> memory);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    ~http_listener();

    std::string address() const { return listener_->address(); }
    void set_limits(const server_limits& limits) { limits_ = limits; }
    /// Sets the maximum number of open connections. Beyond it, a new connection evicts one that is not in use, or is
    /// closed without having been read. @param limit at least one; nothing for no limit.
    void set_connection_limit(std::optional<std::size_t> limit) { connection_limit_ = limit; }
    connection_counters counters() const;
    /// From now on, each connection is closed after its next answer.
    void close_after_answers() { closing_ = true; }
    /// Accepts the connections that are already pending, stops listening, and closes the connections that wait for
    /// another request. A connection without any request yet stays open briefly, as its first request may be in
    /// transit.
    void stop();
    /// @return the number of open connections.
    std::size_t connections() const { return connections_.size(); }
    /// @return the number of unanswered requests, including partially read ones; while the listener stops, also of
    /// connections whose first request may be in transit.
    std::size_t open_exchanges() const;
    /// @return the number of closing connections whose clients have not received the last bytes yet.
    std::size_t lingering() const;

    /// Evicts stalled requests, then closes clients that read nothing, until there is room or none of these is left.
    /// @param has_room whether there is enough room. @param asker is not evicted; may be null. @return has_room().
    bool make_room(const std::function<bool()>& has_room, const server_connection* asker = nullptr);
    /// Closes the clients that hold most unread bytes until there is room, except those that read the answer of a
    /// request that may not be repeated. @return has_room().
    bool close_most_unread(const std::function<bool()>& has_room);

private:
    friend class server_connection;
    bool evict_stalled(const server_connection* asker);
    bool close_unread(duration min_time, memory_refusal reason, const server_connection* asker);

    void add_connection(std::shared_ptr<tcp_stream> stream);
    /// Closes connections until a further one is within the limit. @return whether it is.
    bool make_connection_room();
    bool has_connection_room() const;
    void log_limit_reached();

    event_loop& loop_;
    server_limits limits_;
    exchange_callback handler_;
    std::optional<std::size_t> connection_limit_;
    connection_counters counters_;
    std::optional<steady_time> limit_logged_at_;
    std::shared_ptr<memory_budget> memory_;
    bool closing_{false};
    std::unique_ptr<tcp_listener> listener_;
    std::set<std::shared_ptr<server_connection>> connections_;
    std::vector<std::weak_ptr<tcp_stream>> lingering_;
};

/// @return the head of an answer that the router itself generates. @param status one of those that the router uses.
http_answer_head local_answer_head(int status);

} // namespace agatespar
