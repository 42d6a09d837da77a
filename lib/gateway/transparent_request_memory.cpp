// Buffers a plain answer within the memory budget: its server is paused until there is room.
#include "transparent_request.h"

#include <algorithm>

namespace agatespar {

// Limit on a plain answer; a larger one is treated as endless. Plain answers have some kilobytes.
static constexpr std::size_t max_buffered_answer_bytes = std::size_t{8} << 20U;
// A buffered answer makes progress each time it grows by this: less than one TCP segment of any link, but more than a
// server sends that delivers single bytes.
static constexpr std::size_t progress_bytes = 1024;
// A server aborts an answer that stays unread for some seconds.
static constexpr std::chrono::milliseconds max_server_pause{2000};
// Part of an answer that must be kept and that is read at a time while there is no room.
static constexpr std::size_t kept_step_bytes = std::size_t{64} * 1024;
// Interval at which a paused answer looks for room.
static constexpr std::chrono::milliseconds reservation_interval{20};

void transparent_request::expect_answer_length(const http_answer_head& head)
{
    const auto length = parse_number(find_header(head.headers, "content-length").value_or(""));
    if (length && *length <= max_buffered_answer_bytes) {
        // Reserved at once, so that answers of which each has a part of its room don't wait for each other.
        body_.expect(static_cast<std::size_t>(*length));
        reserve_answer(static_cast<std::size_t>(*length));
    }
}

void transparent_request::buffer_answer(std::string_view bytes)
{
    const std::size_t before = body_.bytes().size();
    if (!memory_timer_) {
        reserve_answer(bytes.size());
    }
    body_.append(bytes);
    if (body_.bytes().size() / progress_bytes > before / progress_bytes) {
        record_progress();
    }
    if (body_.bytes().size() > max_buffered_answer_bytes) {
        on_failed({send_state::sent, "the answer has no end"});
    }
}

void transparent_request::reserve_answer(std::size_t more)
{
    if (body_.try_reserve(more) || owner_.front_->make_room([this, more] { return body_.can_reserve(more); })) {
        body_.reserve(more);
        return;
    }
    if (call_) {
        call_->pause(true);
        const steady_time now = owner_.loop_.time().now();
        memory_timer_ = owner_.loop_.schedule(
            reservation_interval, [self = shared_from_this(), more, now] { self->retry_reservation(more, now); });
    }
}

void transparent_request::retry_reservation(std::size_t more, steady_time paused_at)
{
    memory_timer_.reset();
    const auto has_room = [this, more] { return body_.can_reserve(more); };
    if (owner_.front_->make_room(has_room)) {
        resume_answer(more);
        return;
    }
    if (owner_.loop_.time().now() - paused_at < max_server_pause) {
        memory_timer_ = owner_.loop_.schedule(reservation_interval, [self = shared_from_this(), more, paused_at] {
            self->retry_reservation(more, paused_at);
        });
        return;
    }
    const bool must_keep = !is_safe_to_retry(*route_);
    if (owner_.front_->close_most_unread(has_room) ||
        (must_keep && fits_if_kept(owner_.pool_.memory()->state(), more))) {
        resume_answer(more);
        return;
    }
    if (must_keep) {
        // Reads a part and pauses again, so that neither the server aborts the answer nor many of them exceed the
        // memory.
        resume_answer(std::min(more, kept_step_bytes));
        return;
    }
    owner_.pool_.memory()->count_refusal(memory_refusal::answer);
    answer_error(502, "there is no memory for the answer");
}

void transparent_request::resume_answer(std::size_t more)
{
    body_.reserve(more);
    record_progress();
    if (call_) {
        call_->pause(false);
    }
}

} // namespace agatespar
