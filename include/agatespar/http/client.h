// Sends one request to one server over a connection that the caller's decision chose, and never twice.
#pragma once

#include <agatespar/http/message_reader.h>
#include <agatespar/http/tcp_stream.h>
#include <agatespar/kernel/event_loop.h>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace agatespar {

/// How far a request got that had no whole answer.
enum class send_state {
    /// No byte of it left this process.
    not_sent,
    /// A part of it may have reached the server, which may have run it.
    sent,
};

/// Why a request had no whole answer.
struct send_failure {
    send_state state{send_state::not_sent};
    std::string reason;
};

struct client_callbacks {
    std::function<void(http_answer_head head)> head;
    std::function<void(std::string_view bytes)> body;
    /// The answer is whole.
    std::function<void()> done;
    std::function<void(const send_failure& failure)> failed;
};

class connection_pool;

/// A request on its way. Dropping it closes the connection, which tells the server to stop.
class client_call : public std::enable_shared_from_this<client_call> {
public:
    client_call(connection_pool& pool, std::string key, client_callbacks callbacks);
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;
    ~client_call();

    /// Ends the call without further callbacks.
    void cancel();
    /// Stops or goes on reading the answer, while its receiver is slow.
    void pause(bool paused);
    /// @return since when the head of an answer has been coming without being whole, if one is.
    std::optional<steady_time> partial_head_since() const;

private:
    friend class connection_pool;
    outcome<void> open(const std::string& address, std::chrono::milliseconds connect_time);
    void use(std::shared_ptr<tcp_stream> stream);
    void send(const http_request_head& head, std::string_view body);
    tcp_callbacks make_callbacks();
    void on_bytes(std::string_view bytes);
    void on_end(stream_end how);
    void start_reading();
    void take_head(http_answer_head head);
    void finish();
    void fail(const std::string& reason);
    void stop_timer();

    connection_pool* pool_;
    std::string key_;
    // Shared, so that a callback that cancels the call outlives itself; null once nothing is to be told.
    std::shared_ptr<client_callbacks> callbacks_;
    std::shared_ptr<tcp_stream> stream_;
    std::unique_ptr<answer_reader> reader_;
    std::string input_;
    std::optional<steady_time> head_begun_;
    http_answer_head head_;
    std::string expected_id_header_;
    std::string expected_id_;
    bool skipping_{false};
    int skipped_{0};
    bool reusable_{true};
    bool head_request_{false};
    std::optional<timer_id> connect_timer_;
};

/// What one call needs.
struct client_request {
    /// Names the server for good; connections are never shared between keys, as addresses are reused.
    std::string key;
    /// "ip:port".
    std::string address;
    http_request_head head;
    std::string_view body;
    std::chrono::milliseconds connect_time{500};
    /// Whether a kept connection may be used. Its server may close it just then, which leaves open whether a request
    /// ran, so requests that must run at most once take a connection of their own.
    bool may_reuse{true};
    /// An answer whose field of this name has another value belongs to another request and is skipped; empty: any.
    std::string id_header;
};

struct pool_limits {
    std::size_t kept_per_server{8};
    /// For servers that don't tell; below the shortest idle timeout that servers commonly have.
    std::chrono::milliseconds kept_time{2000};
    message_limits answer{64U * 1024U, 64U * 1024U * 1024U};
};

struct pool_counters {
    std::uint64_t opened{0};
    std::uint64_t reused{0};
    /// Answers of other requests that came where this one's was due.
    std::uint64_t strange_answers{0};
};

/// Keeps idle connections to servers for further calls.
class connection_pool {
public:
    connection_pool(event_loop& loop, const pool_limits& limits);
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    ~connection_pool();

    /// Sends a request once. @return the call, or why none could be started; `failed` is not called then.
    outcome<std::shared_ptr<client_call>> start(const client_request& request, client_callbacks callbacks);
    /// Closes all kept connections of a server.
    void forget(const std::string& key);
    const pool_counters& counters() const { return counters_; }

private:
    friend class client_call;
    struct kept {
        std::shared_ptr<tcp_stream> stream;
        steady_time until;
    };

    std::shared_ptr<tcp_stream> take_kept(const std::string& key);
    void keep(const std::string& key, std::shared_ptr<tcp_stream> stream, const http_answer_head& head);

    event_loop& loop_;
    pool_limits limits_;
    pool_counters counters_;
    std::unordered_map<std::string, std::deque<kept>> kept_;
};

} // namespace agatespar
