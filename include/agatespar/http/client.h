// HTTP/1.1 client: sends a request once to the server that the caller has chosen, over a new or a pooled connection.
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

/// How far a request without a complete answer got.
enum class send_state {
    /// No byte of the request has left this process.
    not_sent,
    /// A part of the request may have reached the server, which may have executed it.
    sent,
};

/// Why a request has no complete answer.
struct send_failure {
    send_state state{send_state::not_sent};
    std::string reason;
    /// The connection was refused, closed or reset; false if the call timed out or the answer was not valid.
    bool connection_ended{false};
};

/// Functions that report the progress of a call. Either `done` or `failed` is the last one called, unless the call is
/// cancelled.
struct client_callbacks {
    std::function<void(http_answer_head head)> head;
    /// The next part of the body.
    std::function<void(std::string_view bytes)> body;
    /// The answer is complete.
    std::function<void()> done;
    /// The answer is not and will not be complete; its head and a part of its body may have been reported.
    std::function<void(const send_failure& failure)> failed;
};

class connection_pool;
struct client_request;

/// A request in flight. Destroying the call closes its connection, so that the server stops processing the request.
class client_call : public std::enable_shared_from_this<client_call> {
public:
    client_call(connection_pool& pool, std::string key, client_callbacks callbacks);
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;
    ~client_call();

    /// Ends the call without further callbacks.
    void cancel();
    /// Pauses or resumes reading of the answer, e.g. while its receiver is slow.
    void pause(bool paused);
    /// @return the arrival time of the first byte of an answer whose head is still incomplete, or std::nullopt if there
    /// is no such answer.
    std::optional<steady_time> partial_head_since() const;
    /// @return how long its own connection took to open, that is a round trip; nothing for a reused connection and for
    /// one that is not open yet.
    std::optional<duration> connect_time() const { return connect_time_; }
    /// @return whether a part of the request may have left this process; `sent` also after the call has ended.
    send_state state() const { return stream_ && !stream_->has_sent() ? send_state::not_sent : send_state::sent; }
    /// @return whether the call uses a connection that an earlier call opened.
    bool is_reused() const { return !opened_at_; }

private:
    friend class connection_pool;
    outcome<void> open(const std::string& address, std::chrono::milliseconds connect_timeout);
    void attach(std::shared_ptr<tcp_stream> stream);
    void send(const client_request& request);
    tcp_callbacks make_callbacks();
    void on_bytes(std::string_view bytes);
    void on_end(stream_end how);
    void start_reading();
    void take_head(http_answer_head head);
    void finish();
    void fail(const std::string& reason, bool connection_ended = false);
    void stop_timer();

    connection_pool* pool_;
    std::string key_;
    // Shared, so that a callback that cancels the call is not destroyed while it runs. Null after the last callback.
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
    std::optional<steady_time> opened_at_;
    std::optional<duration> connect_time_;
    std::optional<timer_id> connect_timer_;
};

/// The parameters of a call.
struct client_request {
    /// Identifies the server permanently. Connections are not shared between keys, as an address may be reassigned to
    /// another server.
    std::string key;
    /// "ip:port".
    std::string address;
    http_request_head head;
    std::string_view body;
    /// If set, the body in place of `body`; it is shared, not copied.
    std::shared_ptr<const std::string> shared_body;
    std::chrono::milliseconds connect_timeout{500};
    /// Whether an idle connection of the pool may be used. The server may close it at that moment, and then it is
    /// unknown whether the request was executed. A request that must run at most once requires a new connection.
    bool may_reuse{true};
    /// Header field that identifies the request. An answer that has this field with another value belongs to another
    /// request and is skipped. Empty: every answer is accepted.
    std::string id_header;
};

struct pool_limits {
    std::size_t max_idle_per_server{8};
    /// How long a connection may be idle if its server advertises no timeout. Below the shortest idle timeout that
    /// servers commonly have.
    std::chrono::milliseconds default_idle_timeout{2000};
    /// Maximum sizes of an answer's head and body.
    message_limits answer{64U * 1024U, 64U * 1024U * 1024U};
};

struct pool_counters {
    /// Calls that opened a connection or tried to.
    std::uint64_t opened{0};
    /// Calls that used an idle connection.
    std::uint64_t reused{0};
    /// Answers to other requests that were received in place of the expected one.
    std::uint64_t mismatched_answers{0};
};

/// Pool of idle connections to servers, which later calls reuse.
class connection_pool {
public:
    /// @param memory the budget in which unsent bytes are counted, or null.
    connection_pool(event_loop& loop, const pool_limits& limits, std::shared_ptr<memory_budget> memory = nullptr);
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    ~connection_pool();

    /// Sends a request once. @return the call, or the error if it could not be started; `failed` is not called then.
    outcome<std::shared_ptr<client_call>> start(const client_request& request, client_callbacks callbacks);
    /// Closes all idle connections to a server. @param key the server's client_request::key.
    void forget(const std::string& key);
    const pool_counters& counters() const { return counters_; }
    /// @return the budget of the process, or null.
    const std::shared_ptr<memory_budget>& memory() const { return memory_; }

private:
    friend class client_call;
    struct idle_connection {
        std::shared_ptr<tcp_stream> stream;
        steady_time until;
    };

    std::shared_ptr<tcp_stream> take_idle_connection(const std::string& key);
    void add_idle_connection(const std::string& key, std::shared_ptr<tcp_stream> stream, const http_answer_head& head);

    event_loop& loop_;
    pool_limits limits_;
    std::shared_ptr<memory_budget> memory_;
    pool_counters counters_;
    std::unordered_map<std::string, std::deque<idle_connection>> idle_connections_;
};

} // namespace agatespar
