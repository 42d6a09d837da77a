// Watches a server that says nothing, asks whether it lives, and leaves it.
#include "transparent_request.h"

#include <utility>

namespace agatespar {

// A living server answers a probe in some milliseconds; a lost packet would take it past this.
static constexpr std::chrono::milliseconds probe_time{150};
// A probe that went unanswered holds for the other requests at the server for this long.
static constexpr std::chrono::milliseconds probe_memory{500};

waiting_request transparent_run::describe_waiting() const
{
    waiting_request waiting;
    waiting.route = route_;
    waiting.zone_suspected = owner_.zones_.is_avoided(server_->record.zone, owner_.loop_.time().now());
    waiting.server_heard = server_->last_heard;
    waiting.answered_probes = answered_probes_;
    waiting.held_by_client = held_by_client_;
    const auto partial_head = call_ ? call_->partial_head_since() : std::nullopt;
    waiting.answer_begun = answer_begun_ || partial_head;
    waiting.since = partial_head.value_or(progressed_at_);
    return waiting;
}

void transparent_run::watch_silence()
{
    const auto delay = next_look(describe_waiting(), owner_.loop_.time().now());
    if (!delay) {
        return;
    }
    silence_timer_ = owner_.loop_.schedule(*delay, [self = shared_from_this()] {
        self->silence_timer_.reset();
        self->on_silence_due();
    });
}

void transparent_run::on_silence_due()
{
    const steady_time now = owner_.loop_.time().now();
    if (ended_ || !call_) {
        return;
    }
    switch (judge_silence(describe_waiting(), now)) {
    case silence_verdict::wait:
        watch_silence();
        return;
    case silence_verdict::probe:
        probe_server();
        return;
    case silence_verdict::go_elsewhere:
        give_server_up(true);
        return;
    }
}

/// Asks whether the server lives. No answer in time is as good as none.
void transparent_run::probe_server()
{
    const auto self = shared_from_this();
    const steady_time asked = owner_.loop_.time().now();
    if (asked - server_->probe_failed_at < probe_memory && server_->last_heard < server_->probe_failed_at) {
        give_server_up(false);
        return;
    }
    client_request request;
    request.key = server_->record.name.value();
    request.address = server_->record.address;
    request.head.method = "GET";
    request.head.target = owner_.protocol_.probe_target;
    request.head.headers = {{"Host", request.address}};
    request.connect_time = probe_time;
    request.may_reuse = false;
    client_callbacks callbacks;
    callbacks.head = [self](const http_answer_head&) {
        if (self->server_) {
            self->server_->last_heard = self->owner_.loop_.time().now();
        }
    };
    callbacks.body = [](std::string_view) {};
    callbacks.done = [] {};
    callbacks.failed = [](const send_failure&) {};
    if (auto started = owner_.pool_.start(request, std::move(callbacks))) {
        probe_ = std::move(*started);
    }
    silence_timer_ = owner_.loop_.schedule(probe_time, [self, asked] {
        self->silence_timer_.reset();
        self->probe_.reset();
        if (self->ended_ || !self->call_) {
            return;
        }
        if (self->server_->last_heard >= asked) {
            ++self->answered_probes_;
            self->watch_silence();
        }
        else {
            self->server_->probe_failed_at = self->owner_.loop_.time().now();
            self->give_server_up(false);
        }
    });
}

/// @param lives the server may be at work on the request, so its run counts; one that is cut off or gone does not.
void transparent_run::give_server_up(bool lives)
{
    const steady_time now = owner_.loop_.time().now();
    // A run that nothing is known of counts as one that may have begun.
    const bool begun = head_.status != 0;
    const int runs = lives ? runs_ + (begun ? 0 : 1) : runs_ - (begun ? 1 : 0);
    if (runs >= route_->most_runs || sends_ >= most_sends) {
        watch_silence();
        return;
    }
    const progress before = progress_;
    const int runs_before = std::exchange(runs_, runs);
    progress_ = progress::may_have_run;
    const auto server = server_;
    if (!try_again(repeat_reason::failure, "the server was silent")) {
        progress_ = before;
        runs_ = runs_before;
        watch_silence();
        return;
    }
    if (server->last_heard < attempt_began_) {
        note_failure(*server, now);
        owner_.zones_.note_unreachable(*server, now);
    }
}

} // namespace agatespar
