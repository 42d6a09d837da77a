// Detects a server that has stopped sending, probes whether it is up, and retries the request on another server.
#include "transparent_request.h"

#include <agatespar/telemetry/log.h>

#include <utility>

namespace agatespar {

// For this long after an unanswered probe, other requests at the same server rely on its result instead of probing.
static constexpr std::chrono::milliseconds probe_failure_lifetime{500};

client_request make_probe_request(const gateway_protocol& protocol, const fleet_server& server)
{
    client_request request;
    request.key = server.record.name.value();
    request.address = server.record.address;
    request.head.method = "GET";
    request.head.target = protocol.probe_target;
    request.head.headers = {{"Host", request.address}};
    request.may_reuse = false;
    return request;
}

waiting_request transparent_request::describe_waiting() const
{
    waiting_request waiting;
    waiting.route = route_;
    waiting.zone_suspected = owner_.zones_.is_avoided(server_->record.zone, owner_.loop_.time().now());
    waiting.server_last_received_at = server_->last_received_at;
    waiting.answered_probes = answered_probes_;
    waiting.held_by_client = paused_for_client_ || memory_timer_;
    const auto partial_head = call_ ? call_->partial_head_since() : std::nullopt;
    waiting.answer_begun = answer_started_ || partial_head;
    waiting.since = partial_head.value_or(last_progress_at_);
    waiting.deadline = deadline_;
    return waiting;
}

void transparent_request::schedule_silence_check()
{
    const auto delay = next_check_delay(describe_waiting(), owner_.loop_.time().now());
    if (!delay) {
        return;
    }
    silence_timer_ = owner_.loop_.schedule(*delay, [self = shared_from_this()] {
        self->silence_timer_.reset();
        self->check_silence();
    });
}

void transparent_request::check_silence()
{
    const steady_time now = owner_.loop_.time().now();
    if (ended_ || !call_) {
        return;
    }
    if (refuse_if_guilty()) {
        return;
    }
    switch (evaluate_silence(describe_waiting(), now)) {
    case silence_action::wait:
        schedule_silence_check();
        return;
    case silence_action::probe:
        probe_server();
        return;
    case silence_action::switch_server:
        abandon_server(true);
        return;
    }
}

void transparent_request::probe_server()
{
    const auto self = shared_from_this();
    const steady_time probe_sent_at = owner_.loop_.time().now();
    if (probe_sent_at - server_->probe_failed_at < probe_failure_lifetime &&
        server_->last_received_at < server_->probe_failed_at) {
        abandon_server(false);
        return;
    }
    if (const auto started = start_probe([] {}, [](const send_failure&) {}); !started) {
        log_event(log_severity::debug, "probe_not_started", {{"reason", started.error().message}});
    }
    silence_timer_ = owner_.loop_.schedule(probe_timeout, [self, probe_sent_at] {
        self->silence_timer_.reset();
        self->probe_.reset();
        if (self->ended_ || !self->call_) {
            return;
        }
        if (self->server_->last_received_at >= probe_sent_at) {
            ++self->answered_probes_;
            self->schedule_silence_check();
        }
        else {
            self->server_->probe_failed_at = self->owner_.loop_.time().now();
            self->abandon_server(false);
        }
    });
}

outcome<void> transparent_request::start_probe(std::function<void()> answered,
                                               std::function<void(const send_failure&)> failed)
{
    client_request request = make_probe_request(owner_.protocol_, *server_);
    request.connect_timeout = probe_timeout;
    client_callbacks callbacks;
    callbacks.head = [self = shared_from_this(), answered = std::move(answered)](const http_answer_head& head) {
        if (self->server_) {
            self->server_->last_received_at = self->owner_.loop_.time().now();
            if (self->owner_.protocol_.read_answer(head).leaving) {
                self->owner_.fleet_.note_says_leaving(*self->server_, self->metadata_.id);
            }
        }
        answered();
    };
    callbacks.body = [](std::string_view) {};
    callbacks.done = [] {};
    callbacks.failed = std::move(failed);
    auto started = owner_.pool_.start(request, std::move(callbacks));
    if (!started) {
        return tl::make_unexpected(started.error());
    }
    probe_ = std::move(*started);
    return {};
}

void transparent_request::abandon_server(bool is_up)
{
    if (call_->state() == send_state::not_sent) {
        on_failed({send_state::not_sent, "the server did not take the connection in time"});
        return;
    }
    const steady_time now = owner_.loop_.time().now();
    const progress progress_before = progress_;
    const bool counted_before = run_counted_;
    // A server that is silent for a while goes on with what it was sent.
    count_run();
    progress_ = progress::may_have_run;
    const auto server = server_;
    if (is_up && head_.status != 0 && retry_permitted()) {
        // A stalled stream. A server that is down or cut off says nothing about its version.
        record_rollout_result(false);
    }
    if (!try_retry(retry_reason::failure, "the server was silent")) {
        progress_ = progress_before;
        if (!counted_before) {
            runs_.pop_back();
            run_counted_ = false;
        }
        schedule_silence_check();
        return;
    }
    if (server->last_received_at < attempt_started_at_) {
        note_failure(*server, now);
        owner_.zones_.note_unreachable(server->record.zone, server->record.name, now);
    }
}

} // namespace agatespar
