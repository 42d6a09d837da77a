// Frees memory of a listener's clients when a reservation does not fit.
#include "server_connection.h"

#include <agatespar/http/server.h>

#include <algorithm>

namespace agatespar {

// Maximum connections that make way for one reservation, as each choice looks at all connections. More are needed only
// if each holds little, and then refusing the asker costs less.
static constexpr int max_evictions = 16;

bool http_listener::make_room(const std::function<bool()>& has_room, const server_connection* asker)
{
    for (int count = 0; !has_room(); ++count) {
        if (count == max_evictions ||
            (!evict_stalled(asker) && !close_unread(max_unread_time, memory_refusal::unread_answer, asker))) {
            return false;
        }
    }
    return true;
}

bool http_listener::close_most_unread(const std::function<bool()>& has_room)
{
    for (int count = 0; !has_room(); ++count) {
        if (count == max_evictions || !close_unread(duration::zero(), memory_refusal::most_unread, nullptr)) {
            return false;
        }
    }
    return true;
}

bool http_listener::evict_stalled(const server_connection* asker)
{
    const steady_time now = loop_.time().now();
    std::vector<memory_candidate> requests;
    std::vector<server_connection*> owners;
    for (const auto& connection : connections_) {
        // Looks up the peer's address only for those that may be chosen.
        if (connection.get() != asker && connection->is_reading() &&
            now - connection->last_progress() >= max_stall_time) {
            requests.push_back(connection->describe_unfinished());
            owners.push_back(connection.get());
        }
    }
    const auto chosen = choose_stalled(requests, now);
    if (chosen) {
        owners[*chosen]->refuse_for_memory(memory_refusal::stalled_request);
    }
    return chosen.has_value();
}

bool http_listener::close_unread(duration min_time, memory_refusal reason, const server_connection* asker)
{
    const bool spares_protected = reason == memory_refusal::most_unread;
    std::vector<memory_candidate> clients;
    std::vector<server_connection*> owners;
    for (const auto& connection : connections_) {
        if (connection.get() != asker && connection->unsent() > 0 && !connection->awaits_answer() &&
            !(spares_protected && connection->is_protected())) {
            clients.push_back(connection->describe_unread());
            owners.push_back(connection.get());
        }
    }
    const auto chosen = choose_unread(clients, loop_.time().now(), min_time);
    if (chosen) {
        memory_->count_refusal(reason);
        owners[*chosen]->disconnect();
    }
    return chosen.has_value();
}

http_answer_head memory_refusal_head()
{
    http_answer_head head = local_answer_head(503);
    head.headers.push_back(
        {"Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(memory_retry_after).count())});
    return head;
}

memory_candidate server_connection::describe_unfinished() const
{
    return {stream_->peer_address(), input_held_.bytes() + body_.reserved(), start_time_, active_at_};
}

memory_candidate server_connection::describe_unread() const
{
    return {0, stream_->unsent(), start_time_, stream_->last_sent_at()};
}

bool server_connection::awaits_answer() const
{
    const auto exchange = exchange_.lock();
    return exchange && !exchange->answer_started_;
}

bool server_connection::reserve_input()
{
    const std::size_t capacity = input_.capacity();
    if (input_held_.bytes() >= capacity || input_held_.try_resize(capacity)) {
        return true;
    }
    return listener_->make_room([this, capacity] { return input_held_.can_resize(capacity); }, this) &&
           input_held_.try_resize(capacity);
}

void server_connection::release_input()
{
    if (input_.empty() && input_.capacity() > max_kept_input_bytes) {
        std::string{}.swap(input_);
    }
    input_held_.resize(input_.capacity());
}

void server_connection::take_body(std::string_view bytes)
{
    if (!has_room_) {
        return;
    }
    const std::size_t more = bytes.size();
    has_room_ =
        body_.try_reserve(more) ||
        (listener_->make_room([this, more] { return body_.can_reserve(more); }, this) && body_.try_reserve(more));
    if (has_room_) {
        body_.append(bytes);
    }
}

void server_connection::refuse_for_memory(memory_refusal reason)
{
    const auto self = shared_from_this();
    if (listener_->memory_) {
        listener_->memory_->count_refusal(reason);
    }
    refuse(memory_refusal_head());
    reader_.reset();
    body_ = {};
    std::string{}.swap(input_);
    input_held_.resize(0);
}

void server_connection::disconnect()
{
    const auto self = shared_from_this();
    stream_->close();
    on_end();
}

} // namespace agatespar
