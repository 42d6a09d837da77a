// Calls over pooled or new connections. A request is written to one connection and is never retried here.
#include <agatespar/http/client.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

// A server closes an idle connection when its advertised timeout ends; the pool stops using it this long before.
static constexpr std::chrono::milliseconds idle_timeout_margin{700};
// Maximum number of answers, interim ones or to other requests, that are skipped before the expected one. A connection
// has few abandoned requests, and servers send few interim answers.
static constexpr int max_skipped_answers = 16;
static constexpr int status_continue = 100;
static constexpr int first_final_status = 200;

client_call::client_call(connection_pool& pool, std::string key, client_callbacks callbacks)
    : pool_(&pool), key_(std::move(key)), callbacks_(std::make_shared<client_callbacks>(std::move(callbacks)))
{
}

client_call::~client_call()
{
    cancel();
}

void client_call::cancel()
{
    stop_timer();
    callbacks_.reset();
    if (stream_) {
        stream_->close();
        stream_.reset();
    }
}

void client_call::pause(bool paused)
{
    if (stream_) {
        stream_->pause_reading(paused);
    }
}

void client_call::stop_timer()
{
    if (connect_timer_) {
        pool_->loop_.cancel(*connect_timer_);
        connect_timer_.reset();
    }
}

tcp_callbacks client_call::make_callbacks()
{
    tcp_callbacks callbacks;
    callbacks.connected = [this] {
        stop_timer();
        connect_time_ = pool_->loop_.time().now() - *opened_at_;
    };
    callbacks.received = [this](std::string_view bytes) {
        const auto self = shared_from_this();
        self->on_bytes(bytes);
    };
    callbacks.ended = [this](stream_end how) {
        const auto self = shared_from_this();
        self->on_end(how);
    };
    return callbacks;
}

outcome<void> client_call::open(const std::string& address, std::chrono::milliseconds connect_timeout)
{
    auto stream = tcp_stream::connect(pool_->loop_, address, make_callbacks());
    if (!stream) {
        return tl::make_unexpected(stream.error());
    }
    stream_ = std::move(*stream);
    stream_->count_output(pool_->memory_, memory_holder::server_output);
    opened_at_ = pool_->loop_.time().now();
    connect_timer_ = pool_->loop_.schedule(connect_timeout, [this] {
        const auto self = shared_from_this();
        self->connect_timer_.reset();
        self->fail("the server did not take the connection in time");
    });
    return {};
}

void client_call::attach(std::shared_ptr<tcp_stream> stream)
{
    stream_ = std::move(stream);
    stream_->reset_sent();
    stream_->set_callbacks(make_callbacks());
}

void client_call::send(const client_request& request)
{
    head_request_ = request.head.method == "HEAD";
    start_reading();
    const std::string_view body = request.shared_body ? std::string_view{*request.shared_body} : request.body;
    std::string message = write_request_head(request.head, body.size());
    if (request.shared_body && body.size() > max_joined_bytes) {
        stream_->write(message, request.shared_body);
        return;
    }
    message.append(body);
    stream_->write(message);
}

void client_call::start_reading()
{
    const auto on_body = [this](std::string_view bytes) {
        if (const auto callbacks = callbacks_; callbacks && !skipping_) {
            callbacks->body(bytes);
        }
    };
    head_begun_.reset();
    reader_ = std::make_unique<answer_reader>(
        pool_->limits_.answer, message_callbacks<http_answer_head>{
                                   [this](http_answer_head received) { take_head(std::move(received)); }, on_body});
    if (head_request_) {
        reader_->expect_no_body();
    }
}

void client_call::take_head(http_answer_head head)
{
    head_ = std::move(head);
    skipping_ = head_.status >= status_continue && head_.status < first_final_status;
    if (!skipping_ && !expected_id_.empty()) {
        const auto id = find_header(head_.headers, expected_id_header_);
        if (id && *id != expected_id_) {
            ++pool_->counters_.mismatched_answers;
            skipping_ = true;
            reusable_ = false;
        }
    }
    if (const auto callbacks = callbacks_; callbacks && !skipping_) {
        callbacks->head(head_);
    }
}

std::optional<steady_time> client_call::partial_head_since() const
{
    return reader_ && !reader_->is_head_done() ? head_begun_ : std::nullopt;
}

void client_call::on_bytes(std::string_view bytes)
{
    input_.append(bytes);
    while (stream_ && reader_ && !input_.empty()) {
        if (!head_begun_) {
            head_begun_ = pool_->loop_.time().now();
        }
        const outcome<void> result = reader_->feed(input_);
        if (!stream_) {
            return;
        }
        if (!result) {
            fail("the server sent no valid answer: " + result.error().message);
            return;
        }
        if (!reader_->is_done()) {
            return;
        }
        if (!skipping_) {
            finish();
            return;
        }
        if (++skipped_ > max_skipped_answers) {
            fail("the server sent too many answers that do not belong to this request");
            return;
        }
        start_reading();
    }
}

void client_call::on_end(stream_end how)
{
    // An end during the upload is no sign of a complete answer: a server that stops in the middle of its answer ends
    // the connection in the same way, and resets it when more of the request arrives.
    const bool is_orderly = how == stream_end::closed && !stream_->has_lost_output();
    const bool may_end_body = is_orderly && reader_ && reader_->is_head_done() && !skipping_ && head_.close_delimited;
    if (may_end_body && reader_->feed_end()) {
        reusable_ = false;
        finish();
        return;
    }
    fail(how == stream_end::closed ? "the server closed the connection" : "the connection broke", true);
}

void client_call::finish()
{
    stop_timer();
    auto stream = std::move(stream_);
    stream_.reset();
    // After bytes beyond the answer, or if the request was not sent completely, the state of the connection is unknown.
    if (reusable_ && head_.keep_alive && input_.empty() && stream->unsent() == 0 && stream->is_open()) {
        pool_->add_idle_connection(key_, std::move(stream), head_);
    }
    else {
        stream->close();
    }
    if (const auto callbacks = std::move(callbacks_)) {
        callbacks_.reset();
        callbacks->done();
    }
}

void client_call::fail(const std::string& reason, bool connection_ended)
{
    stop_timer();
    const send_failure failed{stream_ && stream_->has_sent() ? send_state::sent : send_state::not_sent, reason,
                              connection_ended};
    if (stream_) {
        stream_->close();
        stream_.reset();
    }
    if (const auto callbacks = std::move(callbacks_)) {
        callbacks_.reset();
        callbacks->failed(failed);
    }
}

connection_pool::connection_pool(event_loop& loop, const pool_limits& limits, std::shared_ptr<memory_budget> memory)
    : loop_(loop), limits_(limits), memory_(std::move(memory))
{
}

connection_pool::~connection_pool()
{
    for (auto& [key, connections] : idle_connections_) {
        for (idle_connection& each : connections) {
            each.stream->close();
        }
    }
}

outcome<std::shared_ptr<client_call>> connection_pool::start(const client_request& request, client_callbacks callbacks)
{
    auto call = std::make_shared<client_call>(*this, request.key, std::move(callbacks));
    call->expected_id_header_ = request.id_header;
    if (!request.id_header.empty()) {
        call->expected_id_ = std::string{find_header(request.head.headers, request.id_header).value_or("")};
    }
    auto reused = request.may_reuse ? take_idle_connection(request.key) : nullptr;
    if (reused) {
        ++counters_.reused;
        call->attach(std::move(reused));
    }
    else {
        ++counters_.opened;
        const outcome<void> opened = call->open(request.address, request.connect_timeout);
        if (!opened) {
            return tl::make_unexpected(opened.error());
        }
    }
    call->send(request);
    return call;
}

std::shared_ptr<tcp_stream> connection_pool::take_idle_connection(const std::string& key)
{
    const auto found = idle_connections_.find(key);
    if (found == idle_connections_.end()) {
        return nullptr;
    }
    const steady_time now = loop_.time().now();
    auto& connections = found->second;
    while (!connections.empty()) {
        // The newest is used first, so that the others can expire.
        idle_connection newest = std::move(connections.back());
        connections.pop_back();
        if (newest.stream->is_open() && newest.until > now) {
            return std::move(newest.stream);
        }
        newest.stream->close();
    }
    idle_connections_.erase(found);
    return nullptr;
}

void connection_pool::add_idle_connection(const std::string& key, std::shared_ptr<tcp_stream> stream,
                                          const http_answer_head& head)
{
    std::chrono::milliseconds time = limits_.default_idle_timeout;
    if (const auto keep_alive_header = find_header(head.headers, "keep-alive")) {
        const std::size_t position = keep_alive_header->find("timeout=");
        if (position != std::string_view::npos) {
            const std::string_view rest = keep_alive_header->substr(position + 8);
            if (const auto seconds = parse_number(rest.substr(0, rest.find_first_not_of("0123456789")))) {
                time = std::chrono::seconds{std::min<std::uint64_t>(*seconds, 3600)} - idle_timeout_margin;
            }
        }
    }
    auto& connections = idle_connections_[key];
    if (time <= time.zero() || connections.size() >= limits_.max_idle_per_server) {
        stream->close();
        return;
    }
    // An idle connection on which the server sends anything, or which it closes, can't be reused.
    auto* raw_stream = stream.get();
    tcp_callbacks callbacks;
    callbacks.received = [raw_stream](std::string_view) { raw_stream->close(); };
    callbacks.ended = [](stream_end) {};
    stream->set_callbacks(std::move(callbacks));
    connections.push_back({std::move(stream), loop_.time().now() + time});
    std::erase_if(connections, [](const idle_connection& each) { return !each.stream->is_open(); });
}

void connection_pool::forget(const std::string& key)
{
    const auto found = idle_connections_.find(key);
    if (found == idle_connections_.end()) {
        return;
    }
    for (idle_connection& each : found->second) {
        each.stream->close();
    }
    idle_connections_.erase(found);
}

} // namespace agatespar
