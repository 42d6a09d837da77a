// The listener and the exchange of a request and its answer.
#include "server_connection.h"

#include <agatespar/http/server.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

// Minimum time between two log lines about the limit on connections.
static constexpr std::chrono::seconds limit_log_interval{10};

http_answer_head local_answer_head(int status)
{
    http_answer_head head;
    head.status = status;
    switch (status) {
    case 200:
        head.reason = "OK";
        break;
    case 400:
        head.reason = "Bad Request";
        break;
    case 401:
        head.reason = "Unauthorized";
        break;
    case 404:
        head.reason = "Not Found";
        break;
    case 408:
        head.reason = "Request Timeout";
        break;
    case 413:
        head.reason = "Content Too Large";
        break;
    case 431:
        head.reason = "Request Header Fields Too Large";
        break;
    case 502:
        head.reason = "Bad Gateway";
        break;
    case 503:
        head.reason = "Service Unavailable";
        break;
    case 504:
        head.reason = "Gateway Timeout";
        break;
    default:
        assert(false && "each status that the router generates has a reason phrase");
        break;
    }
    return head;
}

server_exchange::server_exchange(std::shared_ptr<server_connection> connection, http_request_head head,
                                 std::shared_ptr<const std::string> body, steady_time start_time)
    : connection_(std::move(connection)), head_(std::move(head)), body_(std::move(body)), start_time_(start_time)
{
}

server_exchange::~server_exchange()
{
    // The client must not wait for an answer that nothing can send any more.
    abort();
}

void server_exchange::release_body()
{
    static const auto empty = std::make_shared<const std::string>();
    body_ = empty;
}

void server_exchange::answer(const http_answer_head& head, std::string_view body)
{
    send_answer(head, body, nullptr, false);
}

void server_exchange::answer_shared(const http_answer_head& head, std::shared_ptr<const std::string> body,
                                    bool must_deliver)
{
    const std::string_view bytes = *body;
    send_answer(head, bytes, bytes.size() > max_joined_bytes ? std::move(body) : nullptr, must_deliver);
}

void server_exchange::send_answer(const http_answer_head& head, std::string_view body,
                                  std::shared_ptr<const std::string> shared, bool must_deliver)
{
    if (connection_ == nullptr) {
        return;
    }
    assert(!answer_started_ && "a request is answered once");
    answer_started_ = true;
    framing_ = frame_answer(head.status, head_, true);
    const bool keep_alive = keeps_connection();
    std::string message = write_answer_head(head, framing_.announced, body.size(), keep_alive);
    if (framing_.has_body && !shared) {
        message.append(body);
    }
    connection_->write(message, framing_.has_body ? std::move(shared) : nullptr, must_deliver);
    end(keep_alive);
}

void server_exchange::begin(const http_answer_head& head)
{
    if (connection_ == nullptr) {
        return;
    }
    assert(!answer_started_ && "a request is answered once");
    answer_started_ = true;
    framing_ = frame_answer(head.status, head_, false);
    connection_->write(write_answer_head(head, framing_.announced, 0, keeps_connection()));
}

void server_exchange::send_chunk(std::string_view bytes)
{
    // An empty chunk would end the body.
    if (connection_ != nullptr && framing_.has_body && !bytes.empty()) {
        connection_->write(framing_.announced == body_framing::chunks ? write_chunk(bytes) : std::string{bytes});
    }
}

void server_exchange::finish()
{
    if (connection_ == nullptr) {
        return;
    }
    if (framing_.announced == body_framing::chunks) {
        connection_->write(last_chunk);
    }
    // The head has announced whether the connection stays open, but the listener may have begun to close since.
    end(keeps_connection());
}

/// @return whether the connection stays open after the answer; its end may delimit the body.
bool server_exchange::keeps_connection() const
{
    return framing_.is_delimited && !connection_->closes_after_answer();
}

void server_exchange::end(bool keep_alive)
{
    const auto connection = std::move(connection_);
    connection_.reset();
    disconnect_callback_ = nullptr;
    drained_callback_ = nullptr;
    connection->end_exchange(keep_alive);
}

void server_exchange::abort()
{
    if (connection_ == nullptr) {
        return;
    }
    const auto connection = std::move(connection_);
    connection_.reset();
    disconnect_callback_ = nullptr;
    drained_callback_ = nullptr;
    const bool ends_with_connection = answer_started_ && !framing_.is_delimited;
    connection->close_now(ends_with_connection);
}

std::size_t server_exchange::unsent() const
{
    return connection_ == nullptr ? 0 : connection_->unsent();
}

void server_exchange::notify_disconnect()
{
    connection_.reset();
    drained_callback_ = nullptr;
    const auto disconnect_callback = std::move(disconnect_callback_);
    disconnect_callback_ = nullptr;
    if (disconnect_callback) {
        disconnect_callback();
    }
}

outcome<std::unique_ptr<http_listener>> http_listener::open(event_loop& loop, const std::string& address,
                                                            const server_limits& limits, exchange_callback handler,
                                                            std::shared_ptr<memory_budget> memory)
{
    auto listener = std::make_unique<http_listener>(loop, limits, std::move(handler), std::move(memory));
    auto* self = listener.get();
    auto opened = tcp_listener::open(
        loop, address, [self](std::shared_ptr<tcp_stream> stream) { self->add_connection(std::move(stream)); });
    if (!opened) {
        return tl::make_unexpected(opened.error());
    }
    listener->listener_ = std::move(*opened);
    return listener;
}

http_listener::http_listener(event_loop& loop, const server_limits& limits, exchange_callback handler,
                             std::shared_ptr<memory_budget> memory)
    : loop_(loop), limits_(limits), handler_(std::move(handler)), memory_(std::move(memory))
{
}

http_listener::~http_listener()
{
    const auto connections = std::move(connections_);
    connections_.clear();
    for (const auto& connection : connections) {
        connection->detach();
    }
}

connection_counters http_listener::counters() const
{
    connection_counters counters = counters_;
    counters.accept_pauses = listener_ ? listener_->accept_pauses() : counters_.accept_pauses;
    return counters;
}

void http_listener::add_connection(std::shared_ptr<tcp_stream> stream)
{
    if (!make_connection_room()) {
        ++counters_.refused;
        log_limit_reached();
        stream->close();
        return;
    }
    const auto connection = std::make_shared<server_connection>(*this, std::move(stream));
    connections_.insert(connection);
    connection->start();
}

bool http_listener::has_connection_room() const
{
    // Connections that linger hold a descriptor too. Those that have ended are told apart only if it matters.
    return !connection_limit_ || connections_.size() + lingering_.size() < *connection_limit_ ||
           connections_.size() + lingering() < *connection_limit_;
}

bool http_listener::make_connection_room()
{
    while (!has_connection_room()) {
        std::vector<std::shared_ptr<server_connection>> connections{connections_.begin(), connections_.end()};
        std::vector<connection_state> states;
        states.reserve(connections.size());
        for (const auto& connection : connections) {
            states.push_back(connection->state());
        }
        const auto chosen = choose_evicted(states, loop_.time().now());
        if (!chosen) {
            return false;
        }
        if (connections[*chosen]->evict()) {
            ++counters_.evicted;
            log_limit_reached();
        }
    }
    return true;
}

void http_listener::log_limit_reached()
{
    const steady_time now = loop_.time().now();
    if (limit_logged_at_ && now - *limit_logged_at_ < limit_log_interval) {
        return;
    }
    limit_logged_at_ = now;
    log_event(
        log_severity::warning, "connection_limit_reached",
        {{"limit", std::uint64_t{*connection_limit_}}, {"evicted", counters_.evicted}, {"refused", counters_.refused}});
}

void http_listener::stop()
{
    closing_ = true;
    if (listener_) {
        listener_->accept_pending();
        counters_.accept_pauses = listener_->accept_pauses();
    }
    listener_.reset();
    const auto connections = connections_;
    for (const auto& connection : connections) {
        connection->close_if_idle();
    }
}

std::size_t http_listener::open_exchanges() const
{
    std::size_t open = 0;
    for (const auto& connection : connections_) {
        open += connection->may_have_request() ? 1 : 0;
    }
    return open;
}

std::size_t http_listener::lingering() const
{
    const auto is_open = [](const std::weak_ptr<tcp_stream>& stream) {
        const auto held = stream.lock();
        return held && held->is_open();
    };
    return static_cast<std::size_t>(std::count_if(lingering_.begin(), lingering_.end(), is_open));
}

} // namespace agatespar
