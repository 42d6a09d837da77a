// Chooses a server for an attempt of a request, sends it, and takes what goes wrong with it.
#include "transparent_request.h"

#include <agatespar/gateway/prompt_priority.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

// A server in another zone answers a connection in milliseconds; one that is lost or cut off never does.
static constexpr std::chrono::milliseconds connect_time{400};
static constexpr std::chrono::milliseconds least_connect_time{60};
// Part of the route's goal that one connection may take, so that another server can still answer in time.
static constexpr int connect_part = 4;

std::shared_ptr<fleet_server> transparent_run::pick_server()
{
    const steady_time now = owner_.loop_.time().now();
    server_need need;
    need.service = &service_;
    need.model = model_ ? model_ : facts_.model;
    need.tried = tried_;
    if (const rollout_watch* watch = owner_.fleet_.rollout_of(service_)) {
        need.version = watch->confirm(version_);
        need.target = &watch->order().target;
    }
    auto servers = eligible_servers(owner_.fleet_, need, now);
    if (servers.empty() && need.version == version_choice::prefer_target) {
        need.version = version_choice::others_only;
        servers = eligible_servers(owner_.fleet_, need, now);
    }
    // The last part belongs to the request alone; the one before is the longest that it shares.
    const bool follow_prompt = route_->has_prompts && facts_.prompt.size() > 1;
    const std::uint64_t prompt_key =
        follow_prompt ? stable_hash(facts_.prompt[facts_.prompt.size() - 2].id.value()) : 0;
    std::vector<server_option> options;
    options.reserve(servers.size());
    for (const auto& server : servers) {
        options.push_back({estimated_load(*server, now), std::max(1U, server->record.slots),
                           estimated_backlog(*server, now),
                           server->avoid_until > now || owner_.zones_.is_avoided(server->record.zone, now),
                           combine_hashes(prompt_key, stable_hash(server->record.name.value()))});
    }
    const auto chosen = choose_server(options, follow_prompt, owner_.settings_.choice, owner_.random_);
    if (!chosen) {
        return nullptr;
    }
    auto server = servers[*chosen];
    const auto service = map_->services.find(service_);
    const double cold_rate = service == map_->services.end() ? 0 : service->second.cold_rate;
    if (server->cold_until > now && cold_rate > 0 && !take_cold_turn(*server, cold_rate, owner_.assumed_vms(), now)) {
        return nullptr;
    }
    note_attempt(*server, servers.size());
    return server;
}

void transparent_run::note_attempt(const fleet_server& server, std::size_t candidates)
{
    const steady_time now = owner_.loop_.time().now();
    const auto age_of = [now](steady_time at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    };
    attempt_report attempt;
    attempt.server = server.record.name;
    attempt.version = server.record.version;
    attempt.model = model_ ? model_->value() : "";
    attempt.candidates = candidates;
    attempt.load = estimated_load(server, now);
    attempt.slots = server.record.slots;
    if (server.reported_at != steady_time{}) {
        attempt.load_age = age_of(server.reported_at);
    }
    if (server.last_heard != steady_time{}) {
        attempt.heard_age = age_of(server.last_heard);
    }
    attempt.time_left = time_left();
    report_.attempts.push_back(std::move(attempt));
}

attempt_facts transparent_run::describe_attempt(const fleet_server& server) const
{
    attempt_facts attempt;
    attempt.server = server.record.name;
    attempt.account = account_;
    attempt.left = time_left();
    attempt.model = model_;
    if (route_->has_prompts) {
        attempt.urgency = urgency_of(facts_.prompt_tokens);
    }
    if (answer_begun_ && !events_.last_id().empty()) {
        attempt.last_event = events_.last_id();
    }
    return attempt;
}

void transparent_run::send_attempt()
{
    const auto self = shared_from_this();
    if (time_left() < least_try) {
        on_time_over();
        return;
    }
    server_ = pick_server();
    if (!server_) {
        if (answer_begun_) {
            break_off("no server can go on with the stream");
        }
        else if (progress_ == progress::nothing_ran) {
            refuse(503, "no server has room");
        }
        else {
            refuse(502, "no other server has room");
        }
        return;
    }
    ++sends_;
    tried_.push_back(server_->record.name);
    attempt_began_ = owner_.loop_.time().now();
    quality_noted_ = false;
    head_ = {};
    body_.clear();
    const http_request_head head = owner_.protocol_.write_attempt(exchange_->head(), describe_attempt(*server_));
    client_request request;
    request.key = server_->record.name.value();
    request.address = server_->record.address;
    request.head = head;
    request.body = exchange_->body();
    const auto part_of_goal = route_->goal / connect_part;
    request.connect_time = std::clamp(part_of_goal, least_connect_time, connect_time);
    // After a failure all kept connections are in doubt: a new one proves that nothing was sent if it fails too.
    request.may_reuse = may_repeat(*route_) && sends_ == 1;
    request.id_header = owner_.protocol_.id_header;
    client_callbacks callbacks;
    callbacks.head = [self](const http_answer_head& answer) { self->on_head(answer); };
    callbacks.body = [self](std::string_view bytes) { self->on_body(bytes); };
    callbacks.done = [self] { self->on_done(); };
    callbacks.failed = [self](const send_failure& failed) { self->on_failed(failed); };
    ++server_->in_flight;
    unread_tokens_ = route_->has_prompts ? facts_.prompt_tokens.value() : 0;
    server_->unread_tokens += unread_tokens_;
    auto started = owner_.pool_.start(request, std::move(callbacks));
    if (!started) {
        on_failed({send_state::not_sent, started.error().message});
        return;
    }
    call_ = std::move(*started);
    note_progress();
    watch_silence();
}

void transparent_run::end_attempt(const char* outcome)
{
    if (silence_timer_) {
        owner_.loop_.cancel(*silence_timer_);
        silence_timer_.reset();
    }
    if (probe_) {
        probe_->cancel();
        probe_.reset();
    }
    if (server_ && head_.status == 0) {
        note_pressure(owner_.loop_.time().now() - attempt_began_);
    }
    if (server_ && !report_.attempts.empty()) {
        attempt_report& attempt = report_.attempts.back();
        if (attempt.outcome.empty()) {
            attempt.outcome = outcome;
        }
        attempt.took =
            std::chrono::duration_cast<std::chrono::milliseconds>(owner_.loop_.time().now() - attempt_began_);
    }
    if (call_) {
        call_->cancel();
        call_.reset();
    }
    if (server_) {
        assert(server_->in_flight > 0 && "an attempt is counted at its server");
        --server_->in_flight;
        note_read();
        server_.reset();
    }
}

/// The server has begun to answer, or will not: the prompt no longer delays others there.
void transparent_run::note_read()
{
    server_->unread_tokens -= std::exchange(unread_tokens_, 0);
}

void transparent_run::on_failed(const send_failure& failed)
{
    note_failure(*server_, owner_.loop_.time().now());
    report_.attempts.back().outcome = failed.reason;
    if (head_.status == 0) {
        owner_.zones_.note_unreachable(*server_, owner_.loop_.time().now());
    }
    if (failed.state == send_state::sent) {
        progress_ = progress::may_have_run;
        note_quality(false);
        // Whether it ran is not known; counted as a run, as runs are bounded.
        if (head_.status == 0) {
            ++runs_;
        }
    }
    const bool sent = failed.state == send_state::sent;
    if (!sent && sends_ < most_sends) {
        // Nothing arrived anywhere, so this costs no retry.
        end_attempt("no connection");
        send_attempt();
        return;
    }
    if (sent && try_again(repeat_reason::failure, "the attempt failed")) {
        return;
    }
    if (answer_begun_) {
        break_off("the stream broke");
        return;
    }
    refuse(progress_ == progress::nothing_ran ? 503 : 502, "no server answered");
}

void transparent_run::on_not_run(const answer_facts& facts)
{
    if (facts.is_other_server) {
        // Its entry no longer describes what listens there.
        note_failure(*server_, owner_.loop_.time().now());
    }
    else {
        constexpr std::chrono::milliseconds full_time{100};
        server_->avoid_until = owner_.loop_.time().now() + full_time;
    }
    const char* reason = facts.is_other_server ? "another server has the address" : "the server refused";
    if (try_again(repeat_reason::failure, reason)) {
        return;
    }
    if (answer_begun_) {
        break_off(reason);
        return;
    }
    refuse(progress_ == progress::nothing_ran ? 503 : 502, reason);
}

void transparent_run::note_quality(bool good)
{
    rollout_watch* watch = owner_.fleet_.rollout_of(service_);
    // A failure that is passed on is seen at its head and again at its end.
    if (watch == nullptr || !server_ || std::exchange(quality_noted_, true)) {
        return;
    }
    const std::string group = route_->name.value() + "/" + (model_ ? model_->value() : "");
    watch->note_answer(server_->record.version == watch->order().target, group, good, first_byte_,
                       owner_.loop_.time().now());
}

} // namespace agatespar
