// Admission and routing of one chat request.
#include "chat_run.h"

#include <agatespar/request/explain_store.h>
#include <agatespar/routing/explain.h>
#include <agatespar/support/hash.h>

#include <algorithm>

namespace agatespar {

// Maximum number of routing decisions for one request between two waits, including those whose permit was refused.
static constexpr std::uint32_t max_routes = 16;
// Approximate size of a prompt token, for estimates only.
static constexpr std::size_t bytes_per_token = 4;
// A request that waits for longer than this may use servers again whose attempts failed.
static constexpr std::chrono::seconds failed_server_exclusion{2};

chat_run::chat_run(const chat_dependencies& dependencies, chat_request request, answer_sink sink, bool forwarded)
    : dependencies_(dependencies), request_(std::move(request)), sink_(std::move(sink)), forwarded_(forwarded),
      started_(dependencies_.loop->time().wall_now()), deadline_(now()),
      fingerprint_(stable_hash(request_.messages_json, stable_hash(request_.target)))
{
    if (request_.resume) {
        head_sent_ = true;
        answering_version_ = request_.resume->version;
        delivered_tokens_ = request_.resume->delivered.value();
    }
}

void chat_run::start()
{
    ++dependencies_.counters->started;
    ++dependencies_.counters->running;
    const auto parent = parse_traceparent(request_.traceparent);
    trace_ = parent ? dependencies_.spans->start_child(*parent) : dependencies_.spans->start_trace();
    trace_parent_ = parent ? parent->span : span_id{};
    auto admitted = admit_chat(request_, *dependencies_.servers, dependencies_.log_age());
    if (!admitted) {
        fail(admitted.error());
        return;
    }
    admitted_ = *std::move(admitted);
    deadline_ = now() + admitted_.deadline;
    deadline_timer_ = dependencies_.loop->schedule(admitted_.deadline, [self = shared_from_this()] {
        self->fail({error_code::deadline_exceeded, "the deadline passed before the answer was complete",
                    self->run_state_so_far(), std::nullopt});
    });
    if (!forwarded_ && !dependencies_.usage.reserve()) {
        fail({error_code::overloaded, "too many usage records are waiting to be written to the log", run_state::not_run,
              std::chrono::milliseconds{5000}});
        return;
    }
    reserved_ = !forwarded_;
    dependencies_.retries->on_new_request();
    open_session();
}

void chat_run::open_session()
{
    if (request_.session_token.empty()) {
        session_.id = request_.id.value();
        make_plan();
        route();
        return;
    }
    auto session = dependencies_.sessions.decode(request_.session_token, dependencies_.loop->time().wall_now());
    if (!session) {
        fail(session.error());
        return;
    }
    session_ = *std::move(session);
    make_plan();
    route();
}

/// @return whether a healthy server of this zone has one of the versions loaded, or another zone has a free slot for
/// one.
static bool is_served(const routing_view& view, const version_set& versions)
{
    const bool here = std::any_of(view.servers.begin(), view.servers.end(), [&](const server_view& server) {
        return server.healthy && versions.test(server.version.value());
    });
    return here || std::any_of(view.zones.begin(), view.zones.end(), [&](const zone_view& zone) {
               for (std::size_t i = 0; i < view.versions.size(); ++i) {
                   if (versions.test(i) && zone.free_slots[i] > 0) {
                       return true;
                   }
               }
               return false;
           });
}

route_request chat_run::make_route_request() const
{
    server_table& servers = *dependencies_.servers;
    route_request route;
    route.fleet = servers.index_of(request_.account.fleet).value_or(fleet_index{});
    route.allowed = allowed_versions();
    const version_set planned = plan_ ? (second_step_ ? plan_->then : plan_->first) & route.allowed : version_set{};
    const version_set fallback = dependencies_.quality->fallback(request_.account.fleet) & route.allowed;
    // A plan whose versions are not loaded on any server is ignored: all allowed versions remain eligible.
    if (plan_ && is_served(servers.view(), planned | fallback)) {
        route.preferred = planned;
        route.fallback = fallback;
    }
    route.session_hash = stable_hash(session_.id);
    for (const version_id& pin : session_.pins) {
        if (const auto index = servers.index_of({pin, std::nullopt})) {
            route.pins.push(*index);
        }
    }
    exclude(failed_servers_, route);
    exclude(refusing_servers_, route);
    const auto prompt_tokens = static_cast<std::uint32_t>(request_.messages_json.size() / bytes_per_token);
    if (!request_.session_token.empty()) {
        // Each turn's prompt extends the previous one, which may still be in the cache of its server.
        route.prefixes.push({route.session_hash, prompt_tokens});
    }
    route.prompt_tokens = prompt_tokens;
    const token_count expected = dependencies_.quality->expected_output(request_.account.fleet, class_name());
    route.expected_output_tokens = static_cast<std::uint32_t>(std::min(request_.max_output, expected).value());
    const crash_verdict verdict = dependencies_.crashes->verdict(fingerprint_, now());
    route.must_run_alone = verdict == crash_verdict::suspect;
    route.quarantined = verdict == crash_verdict::guilty;
    route.deadline = deadline_;
    route.streamed = request_.streamed;
    route.forwarded = forwarded_;
    return route;
}

void chat_run::exclude(const std::vector<server_id>& tried, route_request& route) const
{
    for (const server_id& server : tried) {
        for (std::size_t version = 0; version < route.allowed.size(); ++version) {
            if (!route.allowed.test(version)) {
                continue;
            }
            const version_index index{static_cast<std::uint8_t>(version)};
            if (const auto row = dependencies_.servers->index_of(server, index)) {
                route.excluded.push(*row);
            }
        }
    }
}

void chat_run::route()
{
    if (++routes_ > max_routes) {
        wait_or_fail({error_code::overloaded, "no backend server accepted the request", run_state_so_far(),
                      std::chrono::milliseconds{1000}});
        return;
    }
    const routing_view& view = dependencies_.servers->view();
    explanation explained;
    const auto chosen = decide(view, make_route_request(), now(), *dependencies_.random, &explained);
    explain(chosen, explained);
    if (!chosen) {
        error problem = chosen.error();
        problem.ran = run_state_so_far();
        dependencies_.counters->quarantined += explained.quarantined ? 1 : 0;
        wait_or_fail(problem);
        return;
    }
    if (chosen->moved_from_withdrawn) {
        moved_from_ = dependencies_.servers->target_at(chosen->moved_from).version;
    }
    if (chosen->forward) {
        stop_waiting();
        forward(*chosen);
        return;
    }
    acquire(*chosen);
}

/// Retries routing after an interval if the request may wait, else fails it. Servers that refused a permit are eligible
/// again after the interval, since permits may be available by then.
void chat_run::wait_or_fail(const error& problem)
{
    const steady_time since = waiting_since_.value_or(now());
    if (!dependencies_.waiting->may_wait(problem, since, is_waiting_, deadline_, now())) {
        fail_when_verdict_propagated(problem);
        return;
    }
    if (!is_waiting_) {
        is_waiting_ = true;
        dependencies_.waiting->begin_wait();
        dependencies_.explanations->add(request_.id, "No server accepted the request, so it waits.");
    }
    waiting_since_ = since;
    refusing_servers_.clear();
    if (now() - since >= failed_server_exclusion) {
        failed_servers_.clear();
    }
    routes_ = 0;
    retry_timer_ = dependencies_.loop->schedule(wait_retry_interval, [self = shared_from_this()] {
        if (!self->closed_) {
            self->route();
        }
    });
}

void chat_run::stop_waiting()
{
    if (is_waiting_) {
        is_waiting_ = false;
        dependencies_.waiting->end_wait();
    }
}

void chat_run::explain(const outcome<decision>& result, const explanation& explained)
{
    const server_table& servers = *dependencies_.servers;
    routing_names names;
    names.server = [&servers](server_index index) { return to_string(servers.id_at(index)); };
    names.version = [&servers](version_index index) {
        const route_target& target = servers.target_at(index);
        return target.version ? to_string(*target.version) : to_string(*target.service);
    };
    names.zone = [&servers](zone_index index) { return to_string(servers.zone_at(index)); };
    dependencies_.explanations->add(request_.id, explain_as_sentence(result, explained, names));
}

run_state chat_run::run_state_so_far() const
{
    const bool may_run_now = attempt_ || forward_cancel_;
    return may_have_run_ || may_run_now ? run_state::outcome_unknown : run_state::not_run;
}

void chat_run::forward(const decision& chosen)
{
    ++dependencies_.counters->forwarded;
    chat_request sent = request_;
    sent.traceparent = format_traceparent(trace_);
    if (answering_version_) {
        sent.resume = resume_point{*answering_version_, token_count{delivered_tokens_}};
    }
    const zone_id& zone = dependencies_.servers->zone_at(chosen.zone);
    forward_cancel_ = dependencies_.forward(zone, sent, deadline_ - now(), make_forward_sink());
}

answer_sink chat_run::make_forward_sink()
{
    const auto self = shared_from_this();
    answer_sink sink;
    sink.start = [self](const answer_head& head) {
        if (!self->closed_ && !self->head_sent_) {
            self->head_sent_ = true;
            self->answering_version_ = head.version;
            self->sink_.start(head);
        }
    };
    sink.text = [self](const answer_text& piece) {
        if (!self->closed_) {
            self->delivered_tokens_ = piece.delivered.value();
            self->answer_ += piece.text;
            self->sink_.text(piece);
        }
    };
    sink.finish = [self](const answer_end& end) {
        if (!self->closed_) {
            self->handle_forward_end(end);
        }
    };
    sink.fail = [self](const error& problem) {
        if (!self->closed_) {
            self->forward_cancel_ = {};
            self->handle_forward_error(problem);
        }
    };
    return sink;
}

void chat_run::handle_forward_end(const answer_end& end)
{
    forward_cancel_ = {};
    remote_answer_ = true;
    prompt_tokens_ = end.prompt_tokens;
    running_attempt remote;
    remote.target.version = answering_version_;
    add_cost(remote);
    bill_and_finish(end.finish_reason);
}

void chat_run::handle_forward_error(const error& problem)
{
    // A refusal by the other zone is final. A forward that failed in transit is retried.
    const bool refused = problem.ran == run_state::not_run && problem.code != error_code::unavailable;
    if (refused) {
        fail(problem);
        return;
    }
    if (problem.ran != run_state::not_run) {
        ++attempts_;
        may_have_run_ = true;
    }
    retry_or_fail(problem);
}

void chat_run::acquire(const decision& chosen)
{
    const server_id server = dependencies_.servers->id_at(chosen.server);
    const route_target target = dependencies_.servers->target_at(chosen.version);
    const auto self = shared_from_this();
    const duration predicted = chosen.predicted_total;
    const auto on_permit = [self, server, target, predicted](const outcome<permit>& granted) {
        if (self->closed_ && granted) {
            self->dependencies_.permits.release(*granted, {work_result::unused});
        }
        if (self->closed_) {
            return;
        }
        if (!granted) {
            self->refusing_servers_.push_back(server);
            self->route();
            return;
        }
        self->begin_attempt(server, target, *granted, predicted);
    };
    const bool alone = dependencies_.crashes->verdict(fingerprint_, now()) == crash_verdict::suspect;
    dependencies_.permits.acquire(server, alone, on_permit);
}

} // namespace agatespar
