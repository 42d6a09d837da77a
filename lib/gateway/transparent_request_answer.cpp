// Takes a server's answer, and passes it on or drops it for a larger model's.
#include "transparent_request.h"

#include <algorithm>

namespace agatespar {

// Bytes that a slow client may leave unsent before its server is no longer read.
static constexpr std::size_t most_unsent = 64 * 1024;
// What is more than this never ends: plain answers have some kilobytes, events some hundred bytes, and a VM's whole
// memory a hundred times as much.
static constexpr std::size_t most_plain_bytes = std::size_t{8} << 20U;
static constexpr std::size_t most_event_bytes = std::size_t{1} << 20U;
// A plain answer makes progress with each of these: less than a segment of any link, and more than bytes that trickle.
static constexpr std::size_t progress_bytes = 1024;
// A larger model is asked only while this part of the goal is left: it takes some three times as long as the smallest
// one, and a client's last try may have little time.
static constexpr int cascade_part = 2;

void transparent_run::on_head(const http_answer_head& head)
{
    const answer_facts facts = owner_.protocol_.read_answer(head);
    first_byte_ = owner_.loop_.time().now() - attempt_began_;
    const steady_time now = owner_.loop_.time().now();
    note_answer(*server_, facts, now);
    server_->last_heard = now;
    note_progress();
    owner_.zones_.note_reached(*server_);
    note_read();
    if (facts.not_run) {
        on_not_run(facts);
        return;
    }
    ++runs_;
    progress_ = progress::may_have_run;
    head_ = head;
    note_pressure(first_byte_);
    const bool success = is_success(head.status);
    if (!success) {
        note_quality(false);
        if (is_server_failure(head.status) && try_again(repeat_reason::failure, "the server failed")) {
            return;
        }
        streams_ = false;
        if (answer_begun_) {
            break_off("the server failed to go on with the stream");
        }
        return;
    }
    if (drops_answer(facts)) {
        note_quality(true);
        if (try_again(repeat_reason::larger_model, "a larger model answers")) {
            model_ = route_->ladder.back();
            ladder_step_ = route_->ladder.size() - 1;
            // The larger model may run where the smaller one did.
            tried_.clear();
            return;
        }
    }
    streams_ = route_->kind == request_kind::streaming;
    if (streams_ && !answer_begun_) {
        answer_begun_ = true;
        http_answer_head forwarded = head;
        std::erase_if(forwarded.headers,
                      [&head](const http_header& header) { return is_hop_by_hop(head.headers, header.name); });
        exchange_->begin(forwarded);
        report_.first_byte =
            std::chrono::duration_cast<std::chrono::milliseconds>(owner_.loop_.time().now() - exchange_->began());
    }
}

void transparent_run::note_pressure(duration first_event)
{
    if (model_ && *model_ == route_->ladder.back()) {
        owner_.pressures_[service_].note(first_event, route_->goal, owner_.loop_.time().now());
    }
}

bool transparent_run::drops_answer(const answer_facts& facts) const
{
    if (answer_begun_ || !model_ || ladder_step_ + 1 >= route_->ladder.size() || !facts.confidence) {
        return false;
    }
    if (time_left() < route_->goal / cascade_part) {
        return false;
    }
    const double kept = owner_.pressures_[service_].kept_confidence(owner_.loop_.time().now());
    return *facts.confidence < kept && may_run_again();
}

void transparent_run::on_body(std::string_view bytes)
{
    if (!call_) {
        return;
    }
    server_->last_heard = owner_.loop_.time().now();
    if (!streams_) {
        const std::size_t before = body_.size();
        body_.append(bytes);
        if (body_.size() / progress_bytes > before / progress_bytes) {
            note_progress();
        }
        if (body_.size() > most_plain_bytes) {
            on_failed({send_state::sent, "the answer has no end"});
        }
        return;
    }
    const std::string_view events = events_.take(bytes);
    if (!events.empty()) {
        // A byte now and then is no progress of the stream.
        note_progress();
    }
    exchange_->send_piece(events);
    if (events_.partial_size() > most_event_bytes) {
        on_failed({send_state::sent, "an event has no end"});
        return;
    }
    if (exchange_->unsent() > most_unsent) {
        held_by_client_ = true;
        call_->pause(true);
    }
}

void transparent_run::note_progress()
{
    progressed_at_ = owner_.loop_.time().now();
    answered_probes_ = 0;
}

void transparent_run::on_done()
{
    note_quality(!is_server_failure(head_.status));
    if (!streams_) {
        deliver_plain();
        return;
    }
    if (events_.has_partial()) {
        // The server ended in order within an event: what it sent is not whole.
        if (!try_again(repeat_reason::failure, "the stream ended within an event")) {
            break_off("the stream ended within an event");
        }
        return;
    }
    exchange_->finish();
    finish(head_.status, "answered");
}

void transparent_run::deliver_plain()
{
    http_answer_head forwarded = head_;
    std::erase_if(forwarded.headers,
                  [this](const http_header& header) { return is_hop_by_hop(head_.headers, header.name); });
    exchange_->answer(forwarded, body_);
    finish(head_.status, "answered");
}

} // namespace agatespar
