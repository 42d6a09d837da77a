// One HTTP call in flight: head, chunks of the body, end, and its time-out.
#pragma once

#include "gio_connection.h"
#include "http_target.h"

#include <agatespar/http/message_reader.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/http_client.h>

#include <functional>
#include <memory>
#include <optional>

namespace agatespar {

enum class timeout_rule {
    /// The timeout applies to the complete call.
    whole_call,
    /// The timeout applies to the head, and the idle timeout to each chunk of the body.
    each_chunk,
};

class http_call;

/// What a call needs from the pool of connections.
struct connection_source {
    /// Has a connection assigned to the call by use(), now or later.
    std::function<void(const std::shared_ptr<http_call>& call)> request;
    /// Takes back a connection that may serve another call.
    std::function<void(const http_origin& origin, const std::shared_ptr<gio_connection>& connection)> give_back;
};

/// The callbacks of the connection that a call uses own the call; until it has one, the pool does.
class http_call : public std::enable_shared_from_this<http_call> {
public:
    /// @param source must outlive the call's end.
    http_call(event_loop& loop, const connection_source& source, http_stream_callbacks callbacks, timeout_rule rule);
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    ~http_call();

    /// Starts the call. A request that can't be sent fails in the next iteration of the loop.
    void start(const http_request& request);
    /// Sends the request over a connection. @param is_reused whether it has served an earlier call.
    void use(std::shared_ptr<gio_connection> connection, bool is_reused);
    /// Cancels the call without a further callback.
    void abandon();
    /// Ends the call with a failure after the callback that is running has returned.
    void fail_later(error reason) { local_failure_ = std::move(reason); }

    const http_origin& origin() const { return target_.origin; }
    bool needs_new_connection() const { return needs_new_connection_; }
    bool is_done() const { return is_done_; }

private:
    outcome<void> prepare(const http_request& request);
    void send_request();
    void start_reading();
    void take_head(const http_answer_head& head);
    void take_body(std::string_view bytes);
    void on_bytes(std::string_view bytes);
    void on_end(const connection_end& end);
    void restart_timer(std::chrono::milliseconds timeout);
    void stop_timer();
    void fail(error_code code, std::string reason);
    void finish(outcome<void> result);
    void release_connection(bool is_answered);

    event_loop& loop_;
    const connection_source& source_;
    http_stream_callbacks callbacks_;
    timeout_rule rule_;
    http_target target_;
    std::string message_;
    bool is_head_request_{false};
    bool needs_new_connection_{false};
    std::chrono::milliseconds idle_timeout_{0};
    std::optional<timer_id> timer_;
    std::shared_ptr<gio_connection> connection_;
    bool is_reused_{false};
    std::unique_ptr<answer_reader> reader_;
    http_answer_head head_;
    std::string input_;
    int interim_answers_{0};
    // Whether any byte was received on the current connection.
    bool has_received_{false};
    // Whether bytes of the request may have been sent.
    bool has_started_{false};
    // Set by a callback that ends the call: the failure to report.
    std::optional<error> local_failure_;
    bool is_done_{false};
};

} // namespace agatespar
