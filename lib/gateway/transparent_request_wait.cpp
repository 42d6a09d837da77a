// Lets a request wait on this VM until a server has room.
#include "transparent_request.h"

#include <agatespar/support/hash.h>

#include <utility>

namespace agatespar {

// A server that refused a request with proof is not tried again for this long: a place there takes some tens of
// milliseconds to become free, and each send counts against the limits of the request.
static constexpr std::chrono::milliseconds refused_server_delay{100};

bool transparent_request::must_queue() const
{
    return !answer_started_ && owner_.queues_.has_waiting(service_, hash_of_need());
}

std::uint64_t transparent_request::hash_of_need() const
{
    const auto& model = model_ ? model_ : metadata_.model;
    std::uint64_t need = combine_hashes(stable_hash(model ? model->value() : ""), static_cast<std::uint64_t>(version_));
    for (const server_name& name : tried_) {
        need = combine_hashes(need, stable_hash(name.value()));
    }
    return need;
}

queued_request transparent_request::describe_queued() const
{
    const typical_times times = owner_.queues_.times_of(service_, *route_);
    queued_request request;
    request.priority = priority_;
    request.account = account_hash_;
    request.need = hash_of_need();
    request.arrived_at = exchange_->start_time();
    request.goal = route_->goal;
    request.goal_at = exchange_->start_time() + route_->goal;
    request.deadline = deadline_;
    request.first_byte_time = times.first_byte;
    request.run_time = times.run;
    return request;
}

bool transparent_request::wait_for_room()
{
    if (answer_started_ || sends_ >= max_sends || !owner_.waits_for_room(map_)) {
        return false;
    }
    const bool was_refused = progress_ == progress::nothing_ran && !tried_.empty();
    if (was_refused) {
        // All servers so far have proved that they did not run the request, so each may be tried again.
        tried_.clear();
    }
    queued_request request = describe_queued();
    if (was_refused) {
        request.not_before = owner_.loop_.time().now() + refused_server_delay;
    }
    const auto self = shared_from_this();
    waiting_callbacks callbacks;
    callbacks.try_start = [self] { return self->start_from_queue(); };
    callbacks.refuse = [self](const char* reason, std::optional<std::chrono::milliseconds> retry_after) {
        self->refuse_for_room(reason, retry_after);
    };
    ticket_ = owner_.queues_.enter(service_, request, std::move(callbacks));
    return true;
}

bool transparent_request::start_from_queue()
{
    if (time_left() < min_attempt_time) {
        on_deadline();
        return true;
    }
    if (contain_crashes()) {
        leave_queue("delayed");
        return true;
    }
    server_ = pick_server();
    if (!server_) {
        return refuse_if_unreachable();
    }
    leave_queue("sent");
    start_attempt();
    return true;
}

void transparent_request::leave_queue(const char* outcome)
{
    if (const auto ticket = std::exchange(ticket_, std::nullopt)) {
        const duration waited = owner_.queues_.leave(service_, *ticket, outcome);
        report_.waited += std::chrono::duration_cast<std::chrono::milliseconds>(waited);
    }
}

void transparent_request::refuse_for_room(const char* reason, std::optional<std::chrono::milliseconds> retry_after)
{
    if (answer_started_) {
        abort_answer("no server can resume the stream");
        return;
    }
    if (progress_ == progress::nothing_ran) {
        answer_error(503, reason, retry_after);
        return;
    }
    answer_error(502, "no other server has room");
}

std::optional<std::size_t>
transparent_request::pick_queueing_server(std::span<const std::shared_ptr<fleet_server>> servers) const
{
    if (!owner_.waits_for_room(map_)) {
        return std::nullopt;
    }
    const steady_time now = owner_.loop_.time().now();
    const typical_times times = owner_.queues_.times_of(service_, *route_);
    const duration time_for_wait = exchange_->start_time() + route_->goal - times.first_byte - now;
    const duration report_lifetime = load_report_lifetime(owner_.run_times_[service_], now);
    std::vector<queueing_option> options;
    options.reserve(servers.size());
    for (const auto& server : servers) {
        options.push_back({estimated_load(*server, report_lifetime, now), server->record.slots,
                           server->reported_at != steady_time{},
                           server->avoid_until > now || is_zone_avoided(server->record.zone),
                           owner_.queues_.refusal_of(server->record.name)});
    }
    return choose_queueing_server(options, times.run, time_for_wait, now);
}

void transparent_request::note_place_free()
{
    std::optional<typical_times> times;
    if (head_.status != 0) {
        times = {first_byte_, owner_.loop_.time().now() - attempt_started_at_};
    }
    owner_.queues_.on_attempt_ended(service_, route_->name, times);
}

} // namespace agatespar
