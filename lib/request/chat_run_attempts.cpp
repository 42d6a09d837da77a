// The attempts of one chat request: dispatch, parts of the answer, failures, crashes and retries.
#include "chat_run.h"

#include <agatespar/request/explain_store.h>
#include <agatespar/support/hash.h>

#include <algorithm>

namespace agatespar {

/// @return whether the configuration allows new requests on a version.
static bool is_serving(const configuration& config, const version_id& version)
{
    const version_settings* settings = find_version(config, version);
    return settings != nullptr && settings->state == version_state::serving;
}

void chat_run::begin_attempt(const server_id& server, const route_target& target, const permit& granted,
                             duration predicted)
{
    const known_server* known = dependencies_.servers->find(server);
    // The configuration may have changed while the permit was requested.
    if (known == nullptr || !is_serving(dependencies_.servers->config(), *target.version)) {
        dependencies_.permits.release(granted, {work_result::unused});
        route();
        return;
    }
    stop_waiting();
    ++attempts_;
    ++dependencies_.counters->attempts;
    dependencies_.counters->resumed += delivered_tokens_ > 0 ? 1 : 0;
    dependencies_.servers->count_start(server);
    attempt_first_token_ = delivered_tokens_;
    const attempt_id id{(*dependencies_.random)()};
    attempt_ = running_attempt{id,
                               server,
                               target,
                               granted,
                               known->entry.address,
                               std::nullopt,
                               predicted,
                               dependencies_.spans->start_child(trace_),
                               now(),
                               std::nullopt,
                               {}};
    engine_request call;
    call.server_url = known->entry.address;
    call.attempt = id;
    call.request = request_.id;
    call.version = {target.version->model.name, target.version->version};
    call.messages_json = request_.messages_json;
    call.max_tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(request_.max_output.value(), UINT32_MAX));
    call.resume_from = token_offset{delivered_tokens_};
    call.session = session_.id;
    call.priority = static_cast<int>(admitted_.priority);
    call.traceparent = format_traceparent(attempt_->span);
    attempt_->cancel = dependencies_.engine.start_completion(std::move(call), make_callbacks(id));
}

engine_callbacks chat_run::make_callbacks(attempt_id id)
{
    const auto self = shared_from_this();
    engine_callbacks callbacks;
    callbacks.on_start = [self, id](server_start_id start) {
        if (self->is_current(id)) {
            self->attempt_->start = start;
        }
    };
    callbacks.on_tokens = [self, id](const engine_tokens& tokens) {
        if (self->is_current(id)) {
            self->handle_tokens(tokens);
        }
    };
    callbacks.on_end = [self, id](const engine_finish& finish) {
        if (self->is_current(id)) {
            self->handle_end(finish);
        }
    };
    callbacks.on_error = [self, id](const error& problem) {
        if (self->is_current(id)) {
            self->handle_error(problem);
        }
    };
    return callbacks;
}

bool chat_run::is_current(attempt_id id) const
{
    const bool current = !closed_ && attempt_ && attempt_->id == id;
    dependencies_.counters->late_events_dropped += current ? 0 : 1;
    return current;
}

void chat_run::handle_tokens(const engine_tokens& tokens)
{
    const std::uint64_t end = tokens.offset.value() + tokens.count.value();
    if (end <= delivered_tokens_) {
        return;
    }
    if (tokens.offset.value() != delivered_tokens_) {
        handle_error({error_code::unavailable, "the token offsets of the answer are not contiguous",
                      run_state::outcome_unknown, std::nullopt});
        return;
    }
    if (!attempt_->first_token) {
        attempt_->first_token = now();
    }
    handle_text(tokens.text, end);
}

/// @return the result that an attempt's failure implies for its server.
static work_result result_of(const error& problem)
{
    if (problem.ran == run_state::not_run) {
        return work_result::refused;
    }
    return problem.code == error_code::unavailable ? work_result::broken : work_result::failed;
}

void chat_run::handle_error(const error& problem)
{
    failed_servers_.push_back(attempt_->server);
    const running_attempt ended = *attempt_;
    const work_result result = result_of(problem);
    end_attempt(result, problem.message);
    if (result == work_result::broken) {
        check_for_crash(ended, problem);
        return;
    }
    retry_or_fail(problem);
}

/// Checks whether the server crashed. A broken stream alone does not prove a crash: the server crashed if it does not
/// answer a load request, or if its process has restarted since the attempt started.
void chat_run::check_for_crash(const running_attempt& broken, const error& problem)
{
    const bool alone = broken.granted.alone;
    dependencies_.engine.poll_load(broken.server_url, [self = shared_from_this(), start = broken.start, alone,
                                                       problem](const outcome<load_report>& report) {
        if (self->closed_) {
            return;
        }
        const bool crashed = !report || (start && report->start != *start);
        if (crashed) {
            self->record_crash(alone);
        }
        self->retry_or_fail(problem);
    });
}

void chat_run::record_crash(bool alone)
{
    ++dependencies_.counters->crashes;
    const clock& time = dependencies_.loop->time();
    const crash_notice notice = dependencies_.crashes->on_crash(fingerprint_, alone, time.now(), time.wall_now());
    dependencies_.publish(notice.item);
    verdict_propagated_at_ = time.now() + notice.answer_delay;
    dependencies_.explanations->add(request_.id,
                                    notice.verdict == crash_verdict::guilty
                                        ? "The server crashed while running the request, so it is not run again."
                                        : "The server crashed, so for now the request may only run alone on a server.");
}

/// Delays the failure until all VMs of the zone have received the verdict on a crash. Otherwise the caller could resend
/// the request to a VM that does not know the verdict yet, which would run it without restrictions.
void chat_run::fail_when_verdict_propagated(const error& problem)
{
    if (now() >= verdict_propagated_at_) {
        fail(problem);
        return;
    }
    retry_timer_ = dependencies_.loop->schedule(verdict_propagated_at_ - now(),
                                                [self = shared_from_this(), problem] { self->fail(problem); });
}

void chat_run::end_attempt(work_result result, const std::string& problem)
{
    const bool succeeded = result == work_result::good;
    may_have_run_ = may_have_run_ || result != work_result::refused;
    running_attempt ended = std::move(*attempt_);
    attempt_.reset();
    ended.cancel();
    if (delivered_tokens_ > attempt_first_token_ || succeeded) {
        add_cost(ended);
    }
    attempt_measure measure;
    measure.succeeded = succeeded;
    measure.prompt_tokens = prompt_tokens_;
    measure.output_tokens = token_count{delivered_tokens_ - attempt_first_token_};
    measure.total = now() - ended.started;
    measure.first_token = ended.first_token.value_or(now()) - ended.started;
    dependencies_.servers->count_end(ended.server, ended.target, measure);
    if (succeeded && ended.granted.alone) {
        const clock& time = dependencies_.loop->time();
        if (const auto item = dependencies_.crashes->on_completed_alone(fingerprint_, time.now(), time.wall_now())) {
            dependencies_.publish(*item);
        }
    }
    if (succeeded) {
        dependencies_.servers->remember_prefix(ended.server, ended.target, stable_hash(session_.id), prompt_tokens_,
                                               now());
    }
    permit_result ending{result};
    if (ended.predicted_total > duration::zero()) {
        ending.slowdown = std::chrono::duration<double>(measure.total) / ended.predicted_total;
    }
    dependencies_.permits.release(ended.granted, ending);
    span finished{ended.span,
                  trace_.span,
                  "attempt",
                  span_kind::client,
                  {},
                  dependencies_.loop->time().wall_now(),
                  {{"server", to_string(ended.server)}, {"version", to_string(*ended.target.version)}},
                  problem};
    finished.start = finished.end - std::chrono::duration_cast<wall_time::duration>(measure.total);
    dependencies_.spans->record(std::move(finished));
}

void chat_run::retry_or_fail(const error& problem)
{
    const auto delay = dependencies_.retries->plan_retry(static_cast<int>(attempts_), duration::zero(), deadline_,
                                                         now(), *dependencies_.random);
    if (!delay) {
        ++dependencies_.counters->retries_denied;
        fail_when_verdict_propagated(
            {problem.code, problem.message, run_state_so_far(), std::chrono::milliseconds{1000}});
        return;
    }
    dependencies_.explanations->add(request_.id,
                                    "The attempt failed (" + problem.message + "), so the request is retried.");
    retry_timer_ = dependencies_.loop->schedule(*delay, [self = shared_from_this()] {
        if (!self->closed_) {
            self->route();
        }
    });
}

} // namespace agatespar
