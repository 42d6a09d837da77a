// Chooses a server for an attempt, sends the request to it, and handles failures of the attempt.
#include "transparent_request.h"

#include <agatespar/gateway/prompt_priority.h>
#include <agatespar/support/hash.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace agatespar {

// Limits of the connect time-out. A server in another zone accepts a connection within milliseconds; one that is down
// or unreachable never does.
static constexpr std::chrono::milliseconds max_connect_timeout{400};
static constexpr std::chrono::milliseconds min_connect_timeout{60};
// The connect time-out is the route's goal divided by this, so that another server can still answer in time.
static constexpr int connect_goal_divisor = 4;

// Clients honour a Retry-After of up to this fraction of the time that they have left (PROTOCOL.md, Answers).
static constexpr int max_retry_after_divisor = 3;

std::shared_ptr<fleet_server> transparent_request::pick_server_except(std::span<const server_name> excluded)
{
    const steady_time now = owner_.loop_.time().now();
    server_criteria need;
    need.service = &service_;
    need.model = model_ ? model_ : metadata_.model;
    need.tried = excluded;
    if (const rollout_watch* watch = owner_.fleet_.rollout_of(service_)) {
        need.version = current_choice(*watch, version_, version_target_);
        need.target = &watch->order().target;
    }
    auto servers = eligible_servers(owner_.fleet_, need, now);
    if (servers.empty() && need.version == version_choice::prefer_target) {
        need.version = version_choice::others_only;
        servers = eligible_servers(owner_.fleet_, need, now);
    }
    no_server_reachable_ = !servers.empty() && std::all_of(servers.begin(), servers.end(), [&](const auto& server) {
        return owner_.zones_.is_unreachable(server->record.zone, now);
    });
    if (no_server_reachable_) {
        return nullptr;
    }
    // The last part of the prompt is unique to the request; the part before it ends the longest prefix that other
    // requests may share.
    const bool is_clear =
        owner_.crashes_.size() == 0 || owner_.crashes_.verdict(suspects(), now) == crash_verdict::clear;
    // The crash of a server with little load harms few other requests.
    const bool prefer_prompt_affinity = route_->has_prompts && metadata_.prompt.size() > 1 && is_clear;
    const std::uint64_t prompt_key =
        prefer_prompt_affinity ? stable_hash(metadata_.prompt[metadata_.prompt.size() - 2].id.value()) : 0;
    std::vector<server_option> options;
    options.reserve(servers.size());
    const duration report_lifetime = load_report_lifetime(owner_.run_times_[service_], now);
    for (const auto& server : servers) {
        options.push_back({estimated_load(*server, report_lifetime, now), std::max(1U, server->record.slots),
                           estimated_backlog(*server, report_lifetime, now),
                           server->avoid_until > now || is_zone_avoided(server->record.zone),
                           combine_hashes(prompt_key, stable_hash(server->record.name.value())),
                           present_slowness(*server, now)});
    }
    auto chosen = choose_server(options, prefer_prompt_affinity, owner_.settings_.choice, owner_.random_);
    if (!chosen) {
        chosen = pick_queueing_server(servers);
    }
    if (!chosen) {
        return nullptr;
    }
    auto server = servers[*chosen];
    const auto service = map_->services.find(service_);
    const double max_cold_rate = service == map_->services.end() ? 0 : service->second.max_cold_rate;
    if (server->cold_until > now && max_cold_rate > 0 &&
        !take_cold_credit(*server, max_cold_rate, owner_.assumed_vms(), now)) {
        return nullptr;
    }
    record_attempt(*server, servers.size());
    return server;
}

bool transparent_request::is_zone_avoided(const zone_name& zone) const
{
    return silent_zones_.contains(zone) || owner_.zones_.is_avoided(zone, owner_.loop_.time().now());
}

void transparent_request::record_attempt(const fleet_server& server, std::size_t candidates)
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
    attempt.load = estimated_load(server, load_report_lifetime(owner_.run_times_[service_], now), now);
    attempt.slots = server.record.slots;
    if (server.reported_at != steady_time{}) {
        attempt.load_age = age_of(server.reported_at);
    }
    if (server.last_received_at != steady_time{}) {
        attempt.contact_age = age_of(server.last_received_at);
    }
    attempt.time_left = time_left();
    report_.attempts.push_back(std::move(attempt));
    if (is_retired(owner_.fleet_.retired_versions(service_), server.record.version)) {
        owner_.metrics_
            .make_counter("agatespar_retired_version_sends_total",
                          "Requests sent to a retired version, as no other version had servers.",
                          {{"service", service_.value()}})
            .add();
    }
}

attempt_metadata transparent_request::describe_attempt(const fleet_server& server) const
{
    attempt_metadata attempt;
    attempt.server = server.record.name;
    attempt.account = account_;
    attempt.left = time_left();
    attempt.model = model_;
    if (route_->has_prompts) {
        attempt.urgency = prompt_priority(metadata_.prompt_tokens);
    }
    if (answer_started_ && !events_.last_id().empty()) {
        attempt.last_event = events_.last_id();
    }
    return attempt;
}

void transparent_request::send_attempt()
{
    if (time_left() < min_attempt_time) {
        on_deadline();
        return;
    }
    if (contain_crashes()) {
        return;
    }
    if (must_queue() && wait_for_room()) {
        return;
    }
    server_ = pick_server();
    if (server_) {
        start_attempt();
        return;
    }
    if (!refuse_if_unreachable() && !wait_for_room()) {
        refuse_for_room("no server has room");
    }
}

bool transparent_request::refuse_if_unreachable()
{
    if (!no_server_reachable_ || answer_started_ || progress_ != progress::nothing_ran) {
        return false;
    }
    // A partition lasts seconds, and its end is not known: the client comes back as late as it is willing to.
    answer_error(503, "no server can be reached", time_left() / max_retry_after_divisor);
    return true;
}

void transparent_request::start_attempt()
{
    const auto self = shared_from_this();
    ++sends_;
    tried_.push_back(server_->record.name);
    attempt_started_at_ = owner_.loop_.time().now();
    rollout_result_recorded_ = false;
    run_counted_ = false;
    events_before_attempt_ = events_.completed();
    pace_ = {};
    sent_to_cold_server_ = server_->cold_until > attempt_started_at_;
    head_ = {};
    body_ = budgeted_string{owner_.pool_.memory(), memory_holder::answer};
    const http_request_head head = owner_.protocol_.write_attempt(exchange_->head(), describe_attempt(*server_));
    client_request request;
    request.key = server_->record.name.value();
    request.address = server_->record.address;
    request.head = head;
    request.shared_body = exchange_->shared_body();
    const auto part_of_goal = route_->goal / connect_goal_divisor;
    request.connect_timeout = std::clamp(part_of_goal, min_connect_timeout, max_connect_timeout);
    // After a failure, any idle connection may be broken. If opening a new one fails, it is certain that nothing was
    // sent.
    request.may_reuse = is_safe_to_retry(*route_) && sends_ == 1;
    request.id_header = owner_.protocol_.id_header;
    client_callbacks callbacks;
    callbacks.head = [self](const http_answer_head& answer) { self->on_head(answer); };
    callbacks.body = [self](std::string_view bytes) { self->on_body(bytes); };
    callbacks.done = [self] { self->on_done(); };
    callbacks.failed = [self](const send_failure& failed) { self->on_failed(failed); };
    ++server_->in_flight;
    owner_.queues_.on_attempt_started(service_, priority_, account_hash_);
    unread_tokens_ = route_->has_prompts ? metadata_.prompt_tokens.value() : 0;
    server_->unread_tokens += unread_tokens_;
    auto started = owner_.pool_.start(request, std::move(callbacks));
    if (!started) {
        on_failed({send_state::not_sent, started.error().message});
        return;
    }
    call_ = std::move(*started);
    record_progress();
    schedule_silence_check();
    schedule_slow_check();
}

void transparent_request::end_attempt(const char* outcome)
{
    cancel_timers({&silence_timer_, &slow_timer_, &memory_timer_});
    if (probe_) {
        probe_->cancel();
        probe_.reset();
    }
    if (server_ && head_.status == 0) {
        record_model_latency(owner_.loop_.time().now() - attempt_started_at_);
    }
    if (server_ && !report_.attempts.empty()) {
        attempt_report& attempt = report_.attempts.back();
        if (attempt.outcome.empty()) {
            attempt.outcome = outcome;
        }
        attempt.elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(owner_.loop_.time().now() - attempt_started_at_);
        if (head_.status != 0) {
            attempt.status = head_.status;
            attempt.first_byte = std::chrono::duration_cast<std::chrono::milliseconds>(first_byte_);
            attempt.events = events_.completed() - events_before_attempt_;
        }
    }
    if (call_) {
        call_->cancel();
        call_.reset();
    }
    if (server_) {
        assert(server_->in_flight > 0 && "an attempt is counted at its server");
        --server_->in_flight;
        release_unread_tokens();
        note_place_free();
        server_.reset();
    }
}

void transparent_request::release_unread_tokens()
{
    server_->unread_tokens -= std::exchange(unread_tokens_, 0);
}

void transparent_request::count_run()
{
    if (!std::exchange(run_counted_, true)) {
        runs_.push_back(server_);
    }
}

void transparent_request::on_failed(const send_failure& failed)
{
    note_failure(*server_, owner_.loop_.time().now());
    report_.attempts.back().outcome = failed.reason;
    if (head_.status == 0) {
        owner_.zones_.note_unreachable(server_->record.zone, server_->record.name, owner_.loop_.time().now());
    }
    if (failed.state == send_state::not_sent && !failed.connection_ended) {
        silent_zones_.insert(server_->record.zone);
    }
    if (failed.state == send_state::sent) {
        progress_ = progress::may_have_run;
        record_rollout_result(false);
        // It is unknown whether the server executed the request; counted as a run, so that the limit on runs holds.
        count_run();
    }
    if (is_possible_crash(failed)) {
        confirm_crash();
        return;
    }
    retry_after_failure(failed.state == send_state::sent);
}

void transparent_request::retry_after_failure(bool sent)
{
    if (!sent && sends_ < max_sends) {
        // No server has received the request, so the next attempt does not count against the retry budget.
        end_attempt("no connection");
        send_attempt();
        return;
    }
    if (sent && try_retry(retry_reason::failure, "the attempt failed")) {
        return;
    }
    if (answer_started_) {
        abort_answer("the stream broke");
        return;
    }
    answer_error(progress_ == progress::nothing_ran ? 503 : 502, "no server answered");
}

void transparent_request::on_not_run(const answer_metadata& metadata)
{
    if (metadata.answered_by_other_server) {
        // The server's record is outdated: a different server listens at its address.
        note_failure(*server_, owner_.loop_.time().now());
    }
    else {
        constexpr std::chrono::milliseconds refusal_avoid_duration{100};
        server_->avoid_until = owner_.loop_.time().now() + refusal_avoid_duration;
        // The attempt itself is part of the estimate.
        const std::uint32_t load =
            estimated_load(*server_, load_report_lifetime(owner_.run_times_[service_], owner_.loop_.time().now()),
                           owner_.loop_.time().now()) -
            1;
        owner_.queues_.note_refusal(server_->record.name,
                                    queue_length_at_refusal(metadata.load, load, server_->record.slots));
    }
    const char* reason = metadata.answered_by_other_server ? "another server has the address" : "the server refused";
    if (try_retry(retry_reason::failure, reason)) {
        return;
    }
    if (answer_started_) {
        abort_answer(reason);
        return;
    }
    answer_error(progress_ == progress::nothing_ran ? 503 : 502, reason);
}

/// @return the usual round trip to servers of the zone that the request was sent to, or nothing while none is known.
std::optional<duration> transparent_request::zone_round_trip() const
{
    const auto known = owner_.round_trips_.find(server_->record.zone);
    return known == owner_.round_trips_.end() ? std::nullopt : median(known->second.times);
}

/// @return the part of the time to the first byte that the network takes, or nothing while it is not known: a round
/// trip, and one more to open a connection.
std::optional<duration> transparent_request::network_time() const
{
    if (call_ && !call_->is_reused()) {
        const auto round_trip = call_->connect_time();
        return round_trip ? std::optional{2 * *round_trip} : std::nullopt;
    }
    return zone_round_trip();
}

/// @return the group of answers that take times like this one's.
std::string transparent_request::answer_group() const
{
    return route_->name.value() + "/" + (model_ ? model_->value() : "");
}

observed_answer transparent_request::describe_observed(const rollout_watch& watch, bool good) const
{
    observed_answer answer;
    answer.by_target = server_->record.version == watch.order().target;
    answer.route = route_->name.value();
    answer.group = answer_group();
    answer.good = good;
    const duration elapsed = head_.status != 0 ? first_byte_ : owner_.loop_.time().now() - attempt_started_at_;
    const auto network = network_time();
    answer.first_byte = std::max(duration{0}, elapsed - network.value_or(duration{0}));
    answer.event_interval = median_interval(pace_);
    answer.has_usual_times = network && !sent_to_cold_server_;
    return answer;
}

void transparent_request::record_rollout_result(bool good)
{
    rollout_watch* watch = owner_.fleet_.rollout_of(service_);
    // A failed answer that is forwarded gets here twice: at its head and at its end.
    if (watch == nullptr || !server_ || std::exchange(rollout_result_recorded_, true)) {
        return;
    }
    // A retired version's answers, begun before, would count as the old version's and hide faults of the new one.
    if (is_retired(owner_.fleet_.retired_versions(service_), server_->record.version)) {
        return;
    }
    const observed_answer answer = describe_observed(*watch, good);
    const bool slow = watch->note_answer(answer, owner_.loop_.time().now());
    if (watch->state() == rollout_state::in_progress && answer.by_target && (!good || slow)) {
        const auto in_ms = [](duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time); };
        log_event(log_severity::info, "rollout_answer_bad",
                  {{"request", metadata_.id.value()},
                   {"service", service_.value()},
                   {"server", server_->record.name.value()},
                   {"version", server_->record.version.value()},
                   {"group", answer.group},
                   {"reason", slow ? "slow" : "failed"},
                   {"first_byte_ms", in_ms(answer.first_byte).count()},
                   {"event_interval_ms", in_ms(answer.event_interval.value_or(duration{0})).count()}});
    }
}

void transparent_request::record_if_slow()
{
    const rollout_watch* watch = owner_.fleet_.rollout_of(service_);
    if (watch == nullptr || watch->state() != rollout_state::in_progress || !server_ || rollout_result_recorded_) {
        return;
    }
    if (watch->is_slow(describe_observed(*watch, true))) {
        record_rollout_result(true);
    }
}

void transparent_request::schedule_slow_check()
{
    const rollout_watch* watch = owner_.fleet_.rollout_of(service_);
    if (watch == nullptr || watch->state() != rollout_state::in_progress) {
        return;
    }
    const auto limit = watch->first_byte_limit(answer_group());
    const auto round_trip = zone_round_trip();
    if (!limit || !round_trip) {
        return;
    }
    // A new connection takes one more.
    slow_timer_ =
        owner_.loop_.schedule(*limit + 2 * *round_trip + std::chrono::milliseconds{1}, [self = shared_from_this()] {
            self->slow_timer_.reset();
            if (self->head_.status == 0) {
                self->record_if_slow();
            }
        });
}

} // namespace agatespar
