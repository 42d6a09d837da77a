// Handles the answer of a backend server: forwards it to the client, or discards it to get one from a larger model.
#include "transparent_request.h"

#include <algorithm>
#include <utility>

namespace agatespar {

// Reading from the server is paused while more bytes than this wait to be sent to a slow client.
static constexpr std::size_t max_unsent_bytes = 64 * 1024;
// A larger event is treated as endless. Events have some hundred bytes.
static constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;
// A stream in progress is compared with the old version's once it has this many intervals between events: its median is
// then little affected by single ones.
static constexpr std::size_t min_intervals_for_pace = 4;
// The larger model is used only if at least the route's goal divided by this is left before the deadline: it needs
// about three times as long as the smallest model, and the last attempt of a client may have little time.
static constexpr int larger_model_goal_divisor = 2;

void transparent_request::on_head(const http_answer_head& head)
{
    const answer_metadata metadata = owner_.protocol_.read_answer(head);
    first_byte_ = owner_.loop_.time().now() - attempt_started_at_;
    if (const auto round_trip = call_ ? call_->connect_time() : std::nullopt) {
        note_time(owner_.round_trips_[server_->record.zone], *round_trip);
    }
    const steady_time now = owner_.loop_.time().now();
    note_answer(*server_, metadata, now);
    if (metadata.load) {
        owner_.servers_report_speed_ = owner_.servers_report_speed_ || metadata.load->slowness_percent;
        owner_.queues_.on_room(service_);
    }
    if (metadata.unreadable_load) {
        owner_.note_unreadable_load(*server_, *metadata.unreadable_load);
    }
    server_->last_received_at = now;
    if (metadata.leaving && !metadata.answered_by_other_server) {
        owner_.fleet_.note_says_leaving(*server_, metadata_.id);
    }
    record_progress();
    owner_.zones_.note_reached(server_->record.zone);
    release_unread_tokens();
    if (metadata.not_run &&
        find_header(head.headers, owner_.protocol_.id_header).value_or("") != metadata_.id.value()) {
        // It may be an answer to an earlier request of the server, while it runs this one.
        on_failed({send_state::sent, "the refusal does not name the request"});
        return;
    }
    if (metadata.not_run) {
        on_not_run(metadata);
        return;
    }
    if (is_success(head.status) && !metadata.is_marked) {
        on_failed({send_state::sent, "the answer is not the server's"});
        return;
    }
    count_run();
    progress_ = progress::may_have_run;
    head_ = head;
    record_model_latency(first_byte_);
    if (!is_safe_to_retry(*route_) && exchange_->body().size() > small_reservation_bytes) {
        // It is not sent again. The suspects are identified by the body.
        suspects();
        exchange_->release_body();
    }
    const bool success = is_success(head.status);
    if (!success) {
        record_rollout_result(false);
        // A proven refusal doesn't get here, so a status that promises one is a failure of the server.
        const bool is_failure = is_server_failure(head.status) || promises_not_run(head.status);
        if (is_failure && try_retry(retry_reason::failure, "the server failed")) {
            return;
        }
        is_streaming_ = false;
        if (answer_started_) {
            abort_answer("the server failed to resume the stream");
        }
        return;
    }
    if (needs_larger_model(metadata)) {
        // The answer is dropped at its head, so it does not count as good: only the time to its first byte is known.
        record_if_slow();
        if (try_retry(retry_reason::larger_model, "a larger model answers")) {
            model_ = route_->model_tiers.back();
            model_tier_ = route_->model_tiers.size() - 1;
            // The last one has answered and may run the larger model too, which keeps the parts of prompts together.
            tried_.pop_back();
            failed_before_ = std::exchange(tried_, {});
            return;
        }
    }
    is_streaming_ = route_->kind == request_kind::streaming;
    if (!is_streaming_) {
        expect_answer_length(head);
    }
    if (is_streaming_ && !answer_started_) {
        answer_started_ = true;
        http_answer_head forwarded = head;
        forwarded.headers = end_to_end_fields(head.headers);
        exchange_->begin(forwarded);
        report_.first_byte =
            std::chrono::duration_cast<std::chrono::milliseconds>(owner_.loop_.time().now() - exchange_->start_time());
    }
}

void transparent_request::record_model_latency(duration first_event)
{
    if (model_ && *model_ == route_->model_tiers.back()) {
        owner_.pressures_[service_].note(first_event, route_->goal, owner_.loop_.time().now());
    }
}

bool transparent_request::needs_larger_model(const answer_metadata& metadata) const
{
    if (answer_started_ || !model_ || model_tier_ + 1 >= route_->model_tiers.size() || !metadata.confidence) {
        return false;
    }
    if (time_left() < route_->goal / larger_model_goal_divisor) {
        return false;
    }
    const double min_confidence = owner_.pressures_[service_].required_confidence(owner_.loop_.time().now());
    return *metadata.confidence < min_confidence && retry_permitted();
}

std::shared_ptr<fleet_server> transparent_request::pick_server()
{
    if (failed_before_.empty()) {
        return pick_server_except(tried_);
    }
    std::vector<server_name> excluded = tried_;
    excluded.insert(excluded.end(), failed_before_.begin(), failed_before_.end());
    auto server = pick_server_except(excluded);
    return server ? server : pick_server_except(tried_);
}

void transparent_request::on_body(std::string_view bytes)
{
    if (!call_) {
        return;
    }
    server_->last_received_at = owner_.loop_.time().now();
    if (!is_streaming_) {
        buffer_answer(bytes);
        return;
    }
    const std::size_t completed_before = events_.completed();
    const std::string_view events = events_.append_bytes(bytes);
    if (!events.empty()) {
        if (completed_before == 0) {
            note_answer_begun();
        }
        // Only complete events are progress; a stream that delivers single bytes counts as stalled.
        record_progress();
        if (const std::size_t count = events_.completed() - completed_before; count > 0) {
            note_events(pace_, count, last_progress_at_);
        }
        if (pace_.intervals.size() >= min_intervals_for_pace) {
            record_if_slow();
        }
    }
    exchange_->send_chunk(events);
    if (events_.partial_size() > max_event_bytes) {
        on_failed({send_state::sent, "an event has no end"});
        return;
    }
    if (exchange_->unsent() > max_unsent_bytes) {
        paused_for_client_ = true;
        call_->pause(true);
    }
}

void transparent_request::record_progress()
{
    last_progress_at_ = owner_.loop_.time().now();
    answered_probes_ = 0;
}

void transparent_request::on_done()
{
    // The end of the connection is no proof of a complete stream if the answer has neither a length nor chunks.
    const bool is_empty = events_.completed() == events_before_attempt_ && head_.close_delimited;
    if (is_streaming_ && (events_.has_partial() || is_empty)) {
        on_failed({send_state::sent,
                   is_empty ? "the stream ended without an event" : "the stream ended within an event", true});
        return;
    }
    record_rollout_result(!is_server_failure(head_.status));
    if (const steady_time now = owner_.loop_.time().now(); is_success(head_.status)) {
        note_run_time(owner_.run_times_[service_], route_->kind, now - attempt_started_at_, now);
    }
    if (!is_streaming_) {
        note_answer_begun();
        deliver_buffered_answer();
        return;
    }
    exchange_->finish();
    finish(head_.status, "answered");
}

void transparent_request::deliver_buffered_answer()
{
    // The client would repeat a request that may have run.
    if (promises_not_run(head_.status) && !is_safe_to_retry(*route_)) {
        answer_error(502, "the server refused the request, with no proof that it did not run");
        return;
    }
    report_.is_forwarded = true;
    http_answer_head forwarded = head_;
    forwarded.headers = end_to_end_fields(head_.headers);
    body_.move_to(memory_holder::client_output);
    exchange_->answer_shared(forwarded, share(std::move(body_)), !is_safe_to_retry(*route_));
    finish(head_.status, "answered");
}

} // namespace agatespar
