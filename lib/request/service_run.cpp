// The execution of one plain-service call: admission, claim, routing, dispatch, outcome and billing.
#include <agatespar/ledger/key_age.h>
#include <agatespar/request/admission.h>
#include <agatespar/request/explain_store.h>
#include <agatespar/request/server_table.h>
#include <agatespar/request/service_run.h>
#include <agatespar/routing/decision.h>
#include <agatespar/support/hash.h>

#include <memory>
#include <utility>

namespace agatespar {

// Maximum total time of a call.
static constexpr std::chrono::seconds call_deadline{20};
// Interval at which a submission retries its claim while another submission of the key is running.
static constexpr std::chrono::milliseconds claim_retry_interval{250};
// Maximum number of routing decisions for one call between two waits, including those whose permit was refused.
static constexpr std::uint32_t max_routes = 8;
static constexpr std::uint16_t answered_status = 200;

namespace {

/// Runs one call. Callbacks that refer to it keep it alive.
class service_run : public std::enable_shared_from_this<service_run> {
public:
    service_run(const service_dependencies& dependencies, service_request request, bool forwarded,
                service_callback callback)
        : dependencies_(dependencies), request_(std::move(request)), forwarded_(forwarded),
          callback_(std::move(callback)), deadline_(dependencies.loop->time().now() + call_deadline)
    {
    }

    void start();

private:
    outcome<void> admit();
    void claim();
    void handle_claim(outcome<claim_result>&& result);
    void retry_claim_or_fail(const error& problem);
    void route();
    void wait_for_server(const error& problem);
    void stop_waiting();
    void forward(const zone_id& zone);
    void acquire(const server_id& server, const route_target& target);
    void dispatch(const server_id& server, const route_target& target, const permit& granted);
    void handle_answer(const server_id& server, const route_target& target, const permit& granted,
                       outcome<plain_answer>&& answer);
    void succeed(const plain_answer& answer);
    void answer_with_stored_outcome(const stored_outcome& first);
    void retry_or_fail(const error& problem);
    void settle(const request_id& billed, const std::function<void()>& on_settled);
    bool can_report_not_run() const;
    void fail(error problem);
    void finish(outcome<service_answer> result);
    steady_time now() const { return dependencies_.loop->time().now(); }

    const service_dependencies& dependencies_;
    service_request request_;
    bool forwarded_;
    service_callback callback_;
    steady_time deadline_;
    bool idempotent_{false};
    /// Whether space for the call's usage record is reserved.
    bool reserved_{false};
    std::optional<granted_claim> claim_;
    inline_list<server_index, max_excluded_servers> excluded_;
    std::uint32_t routes_{0};
    std::optional<steady_time> waiting_since_;
    bool is_waiting_{false};
    std::uint32_t attempts_{0};
    /// Whether any attempt may have reached a backend server.
    bool may_have_run_{false};
    /// Whether the ledger proved that no submission of the key ran.
    bool proven_not_run_{false};
    trace_context trace_;
    wall_time started_;
};

} // namespace

void service_run::start()
{
    ++dependencies_.counters->started;
    ++dependencies_.counters->running;
    started_ = dependencies_.loop->time().wall_now();
    const auto parent = parse_traceparent(request_.traceparent);
    trace_ = parent ? dependencies_.spans->start_child(*parent) : dependencies_.spans->start_trace();
    if (const auto admitted = admit(); !admitted) {
        fail(admitted.error());
        return;
    }
    if (!forwarded_ && !dependencies_.usage.reserve()) {
        fail({error_code::overloaded, "too many usage records are waiting to be written to the log", run_state::not_run,
              std::chrono::seconds{5}});
        return;
    }
    reserved_ = !forwarded_;
    dependencies_.retries->on_new_request();
    route();
}

outcome<void> service_run::admit()
{
    const configuration& config = dependencies_.servers->config();
    const service_id id{request_.account.fleet, request_.service};
    const service_settings* service = find_service(config, id);
    const client_account_settings* account = find_account(config, request_.account);
    if (service == nullptr || service->kind != service_kind::plain) {
        return failure(error_code::not_found, "no plain service of this name in the account's fleet");
    }
    if (account == nullptr || !account->services.contains(request_.service)) {
        return failure(error_code::not_allowed, "the account may not use service " + request_.service.value());
    }
    const auto method = service->methods.find(method_name{request_.method});
    if (method == service->methods.end()) {
        return failure(error_code::not_found, "the service has no method of this name");
    }
    idempotent_ = method->second.idempotent;
    return check_cut_off(*service, dependencies_.log_age());
}

/// Claims the key in the ledger. A key from the caller may be submitted again; a key that is derived from the request
/// id cannot.
void service_run::claim()
{
    const bool generated_key = !request_.key;
    const idempotency_key key = request_.key.value_or(idempotency_key{request_.id.value()});
    const auto key_time = key_time_of(key, request_.key_time);
    if (!key_time) {
        fail(key_time.error());
        return;
    }
    claim_order order;
    order.key = {request_.account, key};
    order.key_time = *key_time;
    order.request = request_.id;
    const std::string content = request_.service.value() + "\n" + request_.method + "\n" + request_.body;
    order.fingerprint = request_fingerprint{stable_hash(content)};
    order.submission_kind =
        generated_key || request_.first_submission ? submission::first : submission::possibly_repeated;
    order.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now());
    const auto self = shared_from_this();
    dependencies_.claims->claim(order, [self](outcome<claim_result> result) { self->handle_claim(std::move(result)); });
}

void service_run::handle_claim(outcome<claim_result>&& result)
{
    if (!result) {
        proven_not_run_ = result.error().ran == run_state::not_run;
        retry_claim_or_fail(result.error());
        return;
    }
    if (const auto* first = std::get_if<stored_outcome>(&*result)) {
        answer_with_stored_outcome(*first);
        return;
    }
    claim_ = std::get<granted_claim>(*result);
    route();
}

/// Retries the claim while another submission of the key is running, since its outcome is expected soon. Fails the call
/// on any other error.
void service_run::retry_claim_or_fail(const error& problem)
{
    const bool may_wait = problem.code == error_code::conflict && now() + claim_retry_interval < deadline_;
    if (!may_wait) {
        fail(problem);
        return;
    }
    dependencies_.loop->schedule(claim_retry_interval, [self = shared_from_this()] { self->claim(); });
}

void service_run::route()
{
    server_table& servers = *dependencies_.servers;
    const routing_view& view = servers.view();
    route_request routing_request;
    routing_request.fleet = servers.index_of(request_.account.fleet).value_or(fleet_index{});
    const route_target target{std::nullopt, service_id{request_.account.fleet, request_.service}};
    if (const auto index = servers.index_of(target)) {
        routing_request.allowed.set(index->value());
    }
    routing_request.session_hash = stable_hash(request_.id.value());
    routing_request.excluded = excluded_;
    routing_request.deadline = deadline_;
    routing_request.forwarded = forwarded_ || claim_.has_value();
    explanation explained;
    const auto chosen = decide(view, routing_request, now(), *dependencies_.random, &explained);
    if (!chosen || ++routes_ > max_routes) {
        wait_for_server(chosen ? error{error_code::overloaded, "no backend server accepted the call", {}, {}}
                               : chosen.error());
        return;
    }
    if (chosen->forward) {
        forward(servers.zone_at(chosen->zone));
        return;
    }
    // The claim is made only once a server of this zone was chosen, since the VM that claims a key must also dispatch
    // the call.
    if (!idempotent_ && !claim_) {
        claim();
        return;
    }
    acquire(servers.id_at(chosen->server), target);
}

/// Retries routing after an interval if the call may wait, else fails it. Servers that refused a permit are eligible
/// again after the interval, since permits may be available by then.
void service_run::wait_for_server(const error& problem)
{
    const steady_time since = waiting_since_.value_or(now());
    if (!dependencies_.waiting->may_wait(problem, since, is_waiting_, deadline_, now())) {
        fail(problem);
        return;
    }
    if (!is_waiting_) {
        is_waiting_ = true;
        dependencies_.waiting->begin_wait();
    }
    waiting_since_ = since;
    excluded_ = {};
    routes_ = 0;
    dependencies_.loop->schedule(wait_retry_interval, [self = shared_from_this()] { self->route(); });
}

void service_run::stop_waiting()
{
    if (is_waiting_) {
        is_waiting_ = false;
        dependencies_.waiting->end_wait();
    }
}

void service_run::forward(const zone_id& zone)
{
    stop_waiting();
    ++dependencies_.counters->forwarded;
    const auto self = shared_from_this();
    dependencies_.forward(zone, request_, deadline_ - now(), [self](outcome<service_answer> answer) {
        if (!answer) {
            self->may_have_run_ = answer.error().ran != run_state::not_run;
            self->proven_not_run_ = !self->may_have_run_;
            self->fail(answer.error());
            return;
        }
        self->settle(answer->ran_as, [self, answer] { self->finish(answer); });
    });
}

void service_run::acquire(const server_id& server, const route_target& target)
{
    const auto self = shared_from_this();
    dependencies_.permits.acquire(server, false, [self, server, target](const outcome<permit>& granted) {
        if (granted) {
            self->dispatch(server, target, *granted);
            return;
        }
        if (const auto index = self->dependencies_.servers->index_of(target)) {
            self->excluded_.push(self->dependencies_.servers->index_of(server, *index).value_or(server_index{}));
        }
        self->route();
    });
}

void service_run::dispatch(const server_id& server, const route_target& target, const permit& granted)
{
    const known_server* known = dependencies_.servers->find(server);
    if (known == nullptr) {
        dependencies_.permits.release(granted, {work_result::unused});
        route();
        return;
    }
    plain_call call;
    call.server_url = known->entry.address;
    call.attempt = attempt_id{(*dependencies_.random)()};
    call.method = request_.method;
    call.body = request_.body;
    call.idempotent = idempotent_;
    call.key = claim_ ? claim_->key.key : request_.key;
    call.traceparent = format_traceparent(dependencies_.spans->start_child(trace_));
    if (claim_ && known->entry.fences) {
        call.fence = claim_->fence;
    }
    if (claim_) {
        // Nothing may happen between this check and the call.
        if (const auto allowed = dependencies_.claims->begin_dispatch(*claim_); !allowed) {
            dependencies_.permits.release(granted, {work_result::unused});
            claim_.reset();
            fail(allowed.error());
            return;
        }
    }
    stop_waiting();
    ++attempts_;
    ++dependencies_.counters->attempts;
    dependencies_.servers->count_start(server);
    const auto self = shared_from_this();
    dependencies_.client.call(call, [self, server, target, granted](outcome<plain_answer> answer) {
        self->handle_answer(server, target, granted, std::move(answer));
    });
}

void service_run::handle_answer(const server_id& server, const route_target& target, const permit& granted,
                                outcome<plain_answer>&& answer)
{
    dependencies_.servers->count_end(server, target, {answer.has_value(), {}, {}, {}, {}});
    const bool refused = !answer && answer.error().ran == run_state::not_run;
    dependencies_.permits.release(granted, {answer    ? work_result::good
                                            : refused ? work_result::refused
                                                      : work_result::failed});
    if (answer) {
        succeed(*answer);
        return;
    }
    may_have_run_ = may_have_run_ || answer.error().ran != run_state::not_run;
    if (const auto index = dependencies_.servers->index_of(target)) {
        excluded_.push(dependencies_.servers->index_of(server, *index).value_or(server_index{}));
    }
    if (idempotent_) {
        retry_or_fail(answer.error());
        return;
    }
    if (!may_have_run_) {
        dependencies_.claims->abandon(*claim_);
    }
    claim_.reset();
    error problem = answer.error();
    if (may_have_run_) {
        // The server's time to return would ask the caller to send the call again.
        problem.retry_after.reset();
    }
    fail(std::move(problem));
}

void service_run::succeed(const plain_answer& answer)
{
    if (claim_) {
        stored_outcome result{request_.id, answered_status, "application/json", answer.body, false};
        dependencies_.claims->record_outcome(*claim_, std::move(result));
    }
    settle(request_.id, [self = shared_from_this(), body = answer.body] {
        self->finish(service_answer{body, false, self->request_.id});
    });
}

/// Answers with the stored outcome of the submission that ran. Bills under the id of that submission, since its VM may
/// have failed before it billed; the usage fold drops duplicates.
void service_run::answer_with_stored_outcome(const stored_outcome& first)
{
    settle(first.request, [self = shared_from_this(), first] {
        if (first.body_omitted) {
            self->fail(
                {error_code::too_large, "the call ran; its answer was too large to be stored", run_state::ran, {}});
            return;
        }
        self->finish(service_answer{first.body, true, first.request});
    });
}

void service_run::retry_or_fail(const error& problem)
{
    const auto delay = dependencies_.retries->plan_retry(static_cast<int>(attempts_), duration::zero(), deadline_,
                                                         now(), *dependencies_.random);
    if (!delay) {
        ++dependencies_.counters->retries_denied;
        fail(problem);
        return;
    }
    dependencies_.loop->schedule(*delay, [self = shared_from_this()] { self->route(); });
}

void service_run::settle(const request_id& billed, const std::function<void()>& on_settled)
{
    if (!reserved_) {
        on_settled();
        return;
    }
    reserved_ = false;
    usage_record bill;
    bill.request = billed;
    bill.account = request_.account;
    bill.service = request_.service;
    bill.attempts.resize(1);
    bill.finished = dependencies_.loop->time().wall_now();
    bill.claimed = !idempotent_;
    dependencies_.usage.settle(std::move(bill), on_settled);
}

/// @return whether this call may be reported as not run. Unless the ledger proved the contrary, an earlier submission
/// of the caller's key may have run or may still run, independently of this one.
bool service_run::can_report_not_run() const
{
    const bool other_submissions = !idempotent_ && request_.key && !request_.first_submission;
    return !may_have_run_ && (!other_submissions || proven_not_run_);
}

void service_run::fail(error problem)
{
    if (claim_) {
        // A claim that is still set was not dispatched to a backend server.
        dependencies_.claims->abandon(*claim_);
        claim_.reset();
    }
    if (reserved_) {
        reserved_ = false;
        dependencies_.usage.unreserve();
    }
    if (problem.ran == run_state::not_run && !can_report_not_run()) {
        problem.ran = run_state::outcome_unknown;
    }
    dependencies_.explanations->add(request_.id, "The call failed: " + problem.message + ".");
    finish(tl::make_unexpected(std::move(problem)));
}

void service_run::finish(outcome<service_answer> result)
{
    stop_waiting();
    --dependencies_.counters->running;
    const bool not_run = !result && result.error().ran == run_state::not_run;
    ++(result    ? dependencies_.counters->answered
       : not_run ? dependencies_.counters->refused_not_run
                 : dependencies_.counters->failed_unknown);
    const auto parent = parse_traceparent(request_.traceparent);
    dependencies_.spans->record({trace_,
                                 parent ? parent->span : span_id{},
                                 "service call",
                                 span_kind::server,
                                 started_,
                                 dependencies_.loop->time().wall_now(),
                                 {{"request_id", request_.id.value()}, {"service", request_.service.value()}},
                                 result ? "" : result.error().message});
    std::exchange(callback_, {})(std::move(result));
}

void run_service_call(const service_dependencies& dependencies, service_request request, bool forwarded,
                      service_callback callback)
{
    std::make_shared<service_run>(dependencies, std::move(request), forwarded, std::move(callback))->start();
}

} // namespace agatespar
