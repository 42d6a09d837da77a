// Runs one transparent request.
#include "transparent_run.h"

#include <agatespar/gateway/urgency.h>
#include <agatespar/support/hash.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace agatespar {

// Sends of one request, servers that refused it or could not be reached included. Runs are bounded by the route.
static constexpr int most_sends = 5;
// Bytes that a slow client may leave unsent before its server is no longer read.
static constexpr std::size_t most_unsent = 64 * 1024;
// A server in another zone answers a connection in milliseconds; one that is lost or cut off never does.
static constexpr std::chrono::milliseconds connect_time{400};
static constexpr std::chrono::milliseconds least_connect_time{60};
// Part of the route's goal that one connection may take, so that another server can still answer in time.
static constexpr int connect_part = 4;
// A living server answers a probe in some milliseconds; a lost packet would take it past this.
static constexpr std::chrono::milliseconds probe_time{150};
// A probe that went unanswered holds for the other requests at the server for this long.
static constexpr std::chrono::milliseconds probe_memory{500};
// A try that would have less than this left is not worth making: no server answers faster.
static constexpr std::chrono::milliseconds least_try{10};
// Clients that are refused return spread over this time, so that they don't all meet the same full servers again.
static constexpr std::chrono::milliseconds earliest_return{300};
static constexpr std::chrono::milliseconds latest_return{900};
// A larger model is asked only while this part of the goal is left: it takes some three times as long as the smallest
// one, and a client's last try may have little time.
static constexpr int cascade_part = 2;
// Waits of route without a limit of its own.
static constexpr std::chrono::milliseconds default_timeout{30'000};

static constexpr int first_success = 200;
static constexpr int first_redirect = 300;
static constexpr int first_server_failure = 500;

transparent_run::transparent_run(gateway& owner, std::shared_ptr<server_exchange> exchange)
    : owner_(owner), exchange_(std::move(exchange))
{
}

transparent_run::~transparent_run() = default;

void transparent_run::start()
{
    if (!accept()) {
        return;
    }
    const auto self = shared_from_this();
    exchange_->on_gone([self] { self->on_client_gone(); });
    exchange_->on_drained([self] {
        if (self->call_) {
            self->call_->pause(false);
        }
    });
    auto time = route_->timeout.count() > 0 ? route_->timeout : default_timeout;
    time = std::min(time, facts_.patience.value_or(time));
    deadline_ = exchange_->began() + time;
    deadline_timer_ = owner_.loop_.schedule(time_left(), [self] {
        self->deadline_timer_.reset();
        self->on_time_over();
    });
    owner_.budget_of(service_).count_request(owner_.loop_.time().now());
    send_attempt();
}

/// Checks what the configuration says of the request. @return whether it goes on.
bool transparent_run::accept()
{
    auto facts = owner_.protocol_.read_request(exchange_->head());
    if (!facts) {
        refuse(400, facts.error().message.c_str());
        return false;
    }
    facts_ = std::move(*facts);
    map_ = owner_.fleet_.map();
    if (!map_) {
        refuse(503, "no configuration is known yet");
        return false;
    }
    route_ = find_route(*map_, facts_.host, exchange_->head().target);
    if (route_ == nullptr) {
        refuse(404, "no route");
        return false;
    }
    const auto holder = facts_.key ? map_->keys.find(*facts_.key) : map_->keys.end();
    if (holder != map_->keys.end()) {
        account_ = holder->second.account;
    }
    else if (map_->has_accounts && !route_->is_public) {
        refuse(401, "no client account holds the key");
        return false;
    }
    const double draw = std::uniform_real_distribution<double>{}(owner_.random_);
    const service_name* service = draw_service(*route_, draw);
    if (service == nullptr) {
        refuse(503, "the route has no service");
        return false;
    }
    service_ = *service;
    if (facts_.model_is_open && !route_->ladder.empty()) {
        model_ = route_->ladder.front();
    }
    choose_version();
    return true;
}

void transparent_run::choose_version()
{
    const steady_time now = owner_.loop_.time().now();
    std::optional<session_hash> session;
    if (facts_.session) {
        session = hash_of_session(*facts_.session);
        owner_.fleet_.note_session(*session, now);
    }
    if (rollout_watch* watch = owner_.fleet_.rollout_of(service_)) {
        version_ = watch->choose(std::uniform_real_distribution<double>{}(owner_.random_), session, now);
    }
}

std::chrono::milliseconds transparent_run::time_left() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - owner_.loop_.time().now());
}

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
    if (server->cold_until > now && cold_rate > 0 &&
        !take_cold_token(*server, cold_rate / owner_.settings_.assumed_vms, now)) {
        return nullptr;
    }
    note_attempt(*server, servers.size());
    return server;
}

void transparent_run::note_attempt(const fleet_server& server, std::size_t candidates)
{
    const steady_time now = owner_.loop_.time().now();
    const bool told = server.reported_at != steady_time{};
    attempt_report attempt;
    attempt.server = server.record.name;
    attempt.version = server.record.version;
    attempt.model = model_ ? model_->value() : "";
    attempt.candidates = candidates;
    attempt.load = estimated_load(server, now);
    attempt.slots = server.record.slots;
    if (told) {
        attempt.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(now - server.reported_at);
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
    last_piece_ = attempt_began_;
    watch_silence();
}

waiting_request transparent_run::describe_waiting() const
{
    const bool suspected = owner_.zones_.is_avoided(server_->record.zone, owner_.loop_.time().now());
    return {route_, answer_begun_, last_piece_, server_->last_heard, suspected};
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

void transparent_run::on_head(const http_answer_head& head)
{
    const answer_facts facts = owner_.protocol_.read_answer(head);
    first_byte_ = owner_.loop_.time().now() - attempt_began_;
    const steady_time now = owner_.loop_.time().now();
    note_answer(*server_, facts, now);
    server_->last_heard = now;
    last_piece_ = now;
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
    const bool success = head.status >= first_success && head.status < first_redirect;
    if (!success) {
        note_quality(false);
        if (head.status >= first_server_failure && try_again(repeat_reason::failure, "the server failed")) {
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
    last_piece_ = owner_.loop_.time().now();
    server_->last_heard = last_piece_;
    if (!streams_) {
        body_.append(bytes);
        return;
    }
    exchange_->send_piece(events_.take(bytes));
    if (exchange_->unsent() > most_unsent) {
        call_->pause(true);
    }
}

void transparent_run::on_done()
{
    note_quality(head_.status < first_server_failure);
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

bool transparent_run::may_run_again() const
{
    if (progress_ == progress::may_have_run && !may_repeat(*route_)) {
        return false;
    }
    return runs_ < route_->most_runs && sends_ < most_sends;
}

bool transparent_run::try_again(repeat_reason kind, const char* reason)
{
    if (!may_run_again()) {
        return false;
    }
    const steady_time now = owner_.loop_.time().now();
    repeat_budget& budget = owner_.budget_of(service_);
    if (time_left() < least_try || !budget.allows(kind, now)) {
        return false;
    }
    budget.count_repeat(now);
    end_attempt(reason);
    events_.drop_partial();
    // From the loop, as the caller may be a callback of the attempt that has just ended.
    retry_timer_ = owner_.loop_.post([self = shared_from_this()] {
        self->retry_timer_.reset();
        self->send_attempt();
    });
    return true;
}

void transparent_run::note_quality(bool good)
{
    rollout_watch* watch = owner_.fleet_.rollout_of(service_);
    if (watch == nullptr || !server_) {
        return;
    }
    const std::string group = route_->name.value() + "/" + (model_ ? model_->value() : "");
    watch->note_answer(server_->record.version == watch->order().target, group, good, first_byte_);
}

void transparent_run::on_time_over()
{
    if (ended_) {
        return;
    }
    if (answer_begun_) {
        break_off("the time was over");
        return;
    }
    const bool not_run = progress_ == progress::nothing_ran && !call_;
    refuse(not_run ? 503 : 504, "the time was over");
}

void transparent_run::on_client_gone()
{
    if (!ended_) {
        finish(0, "the client left");
    }
}

void transparent_run::refuse(int status, const char* reason)
{
    http_answer_head head = own_answer(status);
    if (status == 503) {
        std::uniform_int_distribution<long> any{earliest_return.count(), latest_return.count()};
        std::array<char, 16> seconds{};
        std::snprintf(seconds.data(), seconds.size(), "%.3f", static_cast<double>(any(owner_.random_)) / 1000);
        head.headers.push_back({"Retry-After", seconds.data()});
    }
    exchange_->answer(head, {});
    finish(status, reason);
}

void transparent_run::break_off(const char* reason)
{
    exchange_->abort();
    finish(0, reason);
}

void transparent_run::finish(int status, const char* reason)
{
    ended_ = true;
    for (auto* timer : {&deadline_timer_, &retry_timer_, &silence_timer_}) {
        if (*timer) {
            owner_.loop_.cancel(**timer);
            timer->reset();
        }
    }
    end_attempt(reason);
    report_.id = facts_.id;
    report_.account = account_ ? account_->value() : "";
    report_.route = route_ != nullptr ? route_->name.value() : "";
    report_.service = service_.value();
    report_.kind = route_ != nullptr ? route_->kind : request_kind::safe;
    report_.status = status;
    report_.reason = reason;
    report_.configuration = map_ ? map_->version : service_map_version{};
    report_.goal = route_ != nullptr ? route_->goal : std::chrono::milliseconds{0};
    report_.total =
        std::chrono::duration_cast<std::chrono::milliseconds>(owner_.loop_.time().now() - exchange_->began());
    const bool success = status >= first_success && status < first_redirect;
    if (success && report_.first_byte.count() == 0) {
        report_.first_byte = report_.total;
    }
    report_run(report_, owner_.metrics_);
    // The callbacks hold the run; without them it ends with its last caller.
    exchange_->on_gone(nullptr);
    exchange_->on_drained(nullptr);
}

} // namespace agatespar
