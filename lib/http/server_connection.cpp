// Reads requests from a client's connection one at a time and writes the answers.
#include "server_connection.h"

#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

// Bytes of pipelined requests that are buffered while a request is answered; beyond this, reading is paused.
static constexpr std::size_t max_pipelined_bytes = 64 * 1024;

// How long a stopping listener waits for the first request of a new connection. A client sends it within a round trip
// after the connection is open, which takes a few hundred milliseconds between distant zones.
static constexpr std::chrono::milliseconds first_request_timeout{500};

static constexpr int status_timeout = 408;
static constexpr int status_bad_request = 400;
static constexpr int status_body_too_large = 413;
static constexpr int status_header_too_large = 431;

server_connection::server_connection(http_listener& listener, std::shared_ptr<tcp_stream> stream)
    : listener_(&listener), loop_(listener.loop_), stream_(std::move(stream)),
      input_held_(listener.memory_, memory_holder::input), active_at_(loop_.time().now())
{
    stream_->count_output(listener.memory_, memory_holder::client_output);
}

void server_connection::write(std::string_view head, const std::shared_ptr<const std::string>& body, bool must_deliver)
{
    is_protected_ = must_deliver || is_protected();
    stream_->write(head, body);
}

void server_connection::start()
{
    // The listener owns the connection, and the callbacks are cleared before it drops the connection, so the raw
    // pointer is safe.
    tcp_callbacks callbacks;
    callbacks.received = [this](std::string_view bytes) {
        const auto self = shared_from_this();
        self->on_bytes(bytes);
    };
    callbacks.ended = [this](stream_end) {
        const auto self = shared_from_this();
        self->on_end();
    };
    callbacks.drained = [this] {
        const auto self = shared_from_this();
        if (const auto exchange = self->exchange_.lock(); exchange && exchange->drained_callback_) {
            exchange->drained_callback_();
        }
    };
    stream_->set_callbacks(std::move(callbacks));
    start_timer(listener_->limits_.idle_timeout, 0);
}

void server_connection::on_bytes(std::string_view bytes)
{
    input_.append(bytes);
    active_at_ = loop_.time().now();
    const bool has_room = reserve_input();
    if (is_busy()) {
        // The request that is being answered keeps its connection; the next one is read when there may be room again.
        input_held_.resize(input_.capacity());
        stream_->pause_reading(!has_room || input_.size() > max_pipelined_bytes);
        return;
    }
    if (!has_room) {
        refuse_for_memory(memory_refusal::request);
        return;
    }
    read_request();
}

void server_connection::read_request()
{
    if (!reader_) {
        had_request_ = true;
        awaits_first_request_ = false;
        start_time_ = loop_.time().now();
        head_complete_ = false;
        active_at_ = start_time_;
        body_ = budgeted_string{listener_->memory_, memory_holder::request_body};
        has_room_ = true;
        reader_.emplace(listener_->limits_.message, message_callbacks<http_request_head>{
                                                        [this](http_request_head head) { take_head(std::move(head)); },
                                                        [this](std::string_view bytes) { take_body(bytes); }});
        start_timer(listener_->limits_.request_timeout, status_timeout);
    }
    const outcome<void> result = reader_->feed(input_);
    if (!result) {
        const bool header = result.error().message == "header";
        const bool large = result.error().code == error_code::too_large;
        refuse(large ? (header ? status_header_too_large : status_body_too_large) : status_bad_request);
        return;
    }
    if (!has_room_) {
        refuse_for_memory(memory_refusal::request);
        return;
    }
    if (reader_->is_done()) {
        dispatch_request();
    }
}

void server_connection::take_head(http_request_head head)
{
    head_complete_ = true;
    head_keeps_alive_ = head.keep_alive;
    const auto length = parse_number(find_header(head.headers, "content-length").value_or(""));
    body_.expect(length ? static_cast<std::size_t>(*length) : 0);
    const auto expected = find_header(head.headers, "expect");
    if (expected && equal_without_case(*expected, "100-continue")) {
        const auto fits = [this, length] { return body_.can_reserve(length.value_or(0)); };
        has_room_ = listener_->make_room(fits, this);
        if (has_room_) {
            stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    head_ = std::move(head);
}

void server_connection::dispatch_request()
{
    stop_timer();
    reader_.reset();
    if (is_repeated(head_.headers, "host") || !find_header(head_.headers, "host")) {
        refuse(status_bad_request);
        return;
    }
    const auto exchange =
        std::make_shared<server_exchange>(shared_from_this(), std::move(head_), share(std::move(body_)), start_time_);
    head_ = {};
    body_ = {};
    release_input();
    exchange_ = exchange;
    listener_->handler_(exchange);
}

void server_connection::refuse(int status)
{
    refuse(local_answer_head(status));
}

void server_connection::refuse(const http_answer_head& head)
{
    stop_timer();
    stream_->write(write_answer_head(head, body_framing::length, 0, false));
    close_when_sent();
}

bool server_connection::closes_after_answer() const
{
    return !head_keeps_alive_ || listener_ == nullptr || listener_->closing_;
}

void server_connection::end_exchange(bool keep_alive)
{
    exchange_.reset();
    if (!keep_alive || listener_ == nullptr) {
        close_when_sent();
        return;
    }
    active_at_ = loop_.time().now();
    start_timer(listener_->limits_.idle_timeout, 0);
    stream_->pause_reading(false);
    if (!input_.empty()) {
        // Posted to the loop, as the caller may still use the exchange that has just ended.
        loop_.post([self = shared_from_this()] {
            if (self->listener_ != nullptr && !self->is_busy() && !self->input_.empty()) {
                self->read_request();
            }
        });
    }
}

void server_connection::close_now(bool by_reset)
{
    exchange_.reset();
    if (by_reset) {
        stream_->reset();
    }
    else {
        stream_->close();
    }
    unregister();
}

void server_connection::close_if_idle()
{
    const auto self = shared_from_this();
    stream_->read_now();
    if (listener_ == nullptr || is_busy() || reader_ || !input_.empty()) {
        return;
    }
    if (had_request_) {
        close_when_sent();
        return;
    }
    awaits_first_request_ = true;
    start_timer(std::min(listener_->limits_.idle_timeout, first_request_timeout), 0);
}

connection_state server_connection::state() const
{
    if (reader_) {
        return {head_complete_ ? client_activity::in_request : client_activity::sending_head, active_at_};
    }
    const bool is_idle = !is_busy() && input_.empty() && stream_->unsent() == 0;
    return {is_idle ? client_activity::idle : client_activity::in_request, active_at_};
}

bool server_connection::evict()
{
    const auto self = shared_from_this();
    const steady_time active_at = active_at_;
    const client_activity activity = state().activity;
    stream_->read_now();
    if (listener_ == nullptr || active_at_ != active_at || state().activity != activity) {
        return false;
    }
    close_now(false);
    return true;
}

void server_connection::on_end()
{
    const auto exchange = exchange_.lock();
    exchange_.reset();
    unregister();
    if (exchange) {
        exchange->notify_disconnect();
    }
}

void server_connection::start_timer(std::chrono::milliseconds delay, int status_on_expiry)
{
    stop_timer();
    timer_ = loop_.schedule(delay, [this, status_on_expiry] {
        const auto self = shared_from_this();
        self->timer_.reset();
        if (status_on_expiry != 0) {
            self->refuse(status_on_expiry);
        }
        else {
            self->close_when_sent();
        }
    });
}

void server_connection::stop_timer()
{
    if (timer_) {
        loop_.cancel(*timer_);
        timer_.reset();
    }
}

void server_connection::close_when_sent()
{
    if (listener_ != nullptr) {
        std::erase_if(listener_->lingering_, [](const auto& stream) { return stream.expired(); });
        listener_->lingering_.push_back(stream_);
    }
    stream_->close_when_sent();
    unregister();
}

void server_connection::unregister()
{
    stop_timer();
    awaits_first_request_ = false;
    if (listener_ != nullptr) {
        auto* listener = listener_;
        listener_ = nullptr;
        listener->connections_.erase(shared_from_this());
    }
}

void server_connection::detach()
{
    stop_timer();
    listener_ = nullptr;
    stream_->close();
}

} // namespace agatespar
