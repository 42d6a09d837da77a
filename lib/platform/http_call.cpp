// One HTTP call in flight. Its answer is read by Boost.Beast's parser, which accepts no malformed or ambiguous heads.
#include "http_call.h"

#include <algorithm>
#include <limits>

namespace agatespar {

static constexpr message_limits answer_limits{64U * 1024U, std::numeric_limits<std::uint64_t>::max()};
// Servers send few interim answers (RFC 9110, section 15.2).
static constexpr int max_interim_answers = 16;
static constexpr int first_final_status = 200;

static bool is_sendable(const http_request& request)
{
    return !has_control_character(request.method, false) &&
           std::none_of(request.headers.begin(), request.headers.end(), [](const http_header& header) {
               return header.name.empty() || has_control_character(header.name, false) ||
                      has_control_character(header.value, true);
           });
}

// RFC 9110, section 9.2.2.
static bool is_idempotent_method(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS";
}

static std::string write_request(const http_request& request, const http_target& target)
{
    http_request_head head{request.method, target.resource, {{"Host", target.authority}}};
    head.headers.insert(head.headers.end(), request.headers.begin(), request.headers.end());
    if (!request.body.empty()) {
        head.headers.push_back({"Content-Type", "application/json"});
    }
    return write_request_head(head, request.body.size()) + request.body;
}

http_call::http_call(event_loop& loop, const connection_source& source, http_stream_callbacks callbacks,
                     timeout_rule rule)
    : loop_(loop), source_(source), callbacks_(std::move(callbacks)), rule_(rule)
{
}

http_call::~http_call()
{
    abandon();
}

outcome<void> http_call::prepare(const http_request& request)
{
    auto target = parse_http_url(request.url);
    if (!target || !is_sendable(request)) {
        return failure(error_code::invalid_argument, "invalid URL or header in a request to '" + request.url + "'");
    }
    target_ = std::move(*target);
    message_ = write_request(request, target_);
    is_head_request_ = request.method == "HEAD";
    // If the server closed an idle connection at this moment, it would be unknown whether the request ran.
    needs_new_connection_ = request.fresh_connection || !is_idempotent_method(request.method);
    idle_timeout_ = request.idle_timeout;
    return {};
}

void http_call::start(const http_request& request)
{
    if (const outcome<void> prepared = prepare(request); !prepared) {
        loop_.post([self = shared_from_this(), prepared] { self->finish(prepared); });
        return;
    }
    restart_timer(request.timeout);
    source_.request(shared_from_this());
}

void http_call::use(std::shared_ptr<gio_connection> connection, bool is_reused)
{
    connection_ = std::move(connection);
    is_reused_ = is_reused;
    has_received_ = false;
    connection_callbacks callbacks;
    callbacks.opened = [self = shared_from_this()] { self->send_request(); };
    callbacks.received = [self = shared_from_this()](std::string_view bytes) { self->on_bytes(bytes); };
    callbacks.ended = [self = shared_from_this()](const connection_end& end) { self->on_end(end); };
    connection_->set_callbacks(std::move(callbacks));
    if (is_reused) {
        send_request();
    }
}

void http_call::send_request()
{
    has_started_ = true;
    start_reading();
    // The request may have to be sent again on a new connection.
    connection_->send(is_reused_ ? message_ : std::exchange(message_, {}));
}

void http_call::start_reading()
{
    reader_ = std::make_unique<answer_reader>(
        answer_limits, message_callbacks<http_answer_head>{[this](const http_answer_head& head) { take_head(head); },
                                                           [this](std::string_view bytes) { take_body(bytes); }});
    if (is_head_request_) {
        reader_->expect_no_body();
    }
}

void http_call::take_head(const http_answer_head& head)
{
    head_ = head;
    if (head.status < first_final_status) {
        return;
    }
    if (rule_ == timeout_rule::each_chunk) {
        restart_timer(idle_timeout_);
    }
    if (callbacks_.on_head) {
        callbacks_.on_head(http_head{head.status, head.headers});
    }
}

void http_call::take_body(std::string_view bytes)
{
    // A callback may have ended the call while the reader still has bytes.
    if (is_done_ || local_failure_) {
        return;
    }
    if (rule_ == timeout_rule::each_chunk) {
        restart_timer(idle_timeout_);
    }
    if (callbacks_.on_bytes) {
        callbacks_.on_bytes(bytes);
    }
}

void http_call::on_bytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    has_received_ = true;
    input_.append(bytes);
    while (!is_done_ && !input_.empty()) {
        const outcome<void> result = reader_->feed(input_);
        if (is_done_) {
            return;
        }
        if (local_failure_) {
            finish(tl::make_unexpected(*local_failure_));
            return;
        }
        if (!result) {
            fail(error_code::unavailable, "the server sent no valid answer: " + result.error().message);
            return;
        }
        if (!reader_->is_done()) {
            return;
        }
        if (head_.status >= first_final_status) {
            finish({});
            return;
        }
        if (++interim_answers_ > max_interim_answers) {
            fail(error_code::unavailable, "the server sent too many interim answers");
            return;
        }
        start_reading();
    }
}

void http_call::on_end(const connection_end& end)
{
    const auto self = shared_from_this();
    if (is_reused_ && !has_received_) {
        // The server closed the idle connection while the request was being sent. Only requests with an idempotent
        // method get there (RFC 9112, section 9.3.1).
        connection_.reset();
        needs_new_connection_ = true;
        source_.request(self);
        return;
    }
    // The end of the connection delimits a body only if the server had taken the complete request before; otherwise it
    // may have stopped in the middle of its answer.
    const bool may_end_body = end.is_orderly && reader_ && reader_->is_head_done() && head_.close_delimited;
    if (may_end_body && reader_->feed_end()) {
        finish({});
        return;
    }
    fail(error_code::unavailable, end.reason);
}

void http_call::abandon()
{
    stop_timer();
    // The callbacks and the reader are kept until the call is destroyed, as one of them may be running.
    is_done_ = true;
    release_connection(false);
}

void http_call::restart_timer(std::chrono::milliseconds timeout)
{
    stop_timer();
    timer_ = loop_.schedule(timeout, [this] {
        timer_.reset();
        const auto self = shared_from_this();
        fail(error_code::deadline_exceeded, "no answer within the timeout");
    });
}

void http_call::stop_timer()
{
    if (timer_) {
        loop_.cancel(*timer_);
        timer_.reset();
    }
}

void http_call::fail(error_code code, std::string reason)
{
    finish(tl::make_unexpected(error{code, "the HTTP call failed: " + std::move(reason),
                                     has_started_ ? run_state::outcome_unknown : run_state::not_run, std::nullopt}));
}

void http_call::release_connection(bool is_answered)
{
    const std::shared_ptr<gio_connection> connection = std::move(connection_);
    connection_.reset();
    if (!connection || connection->is_closed()) {
        return;
    }
    // After bytes beyond the answer, or if the request was not sent completely, the state of the connection is unknown.
    if (is_answered && head_.keep_alive && input_.empty() && !connection->is_sending()) {
        source_.give_back(target_.origin, connection);
        return;
    }
    connection->close();
}

void http_call::finish(outcome<void> result)
{
    if (is_done_) {
        return;
    }
    const auto self = shared_from_this();
    stop_timer();
    is_done_ = true;
    release_connection(result.has_value());
    // The callbacks may own the call's owner, so the call drops its references before the last one runs.
    const http_stream_callbacks last = std::exchange(callbacks_, {});
    if (last.on_end) {
        last.on_end(std::move(result));
    }
}

} // namespace agatespar
