// Control flow of one transparent request: validation at its start, retries, and its completion.
#include "transparent_request.h"

#include <agatespar/support/hash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace agatespar {

// Range of the random Retry-After delay, so that clients don't all return to the same full servers at once.
static constexpr std::chrono::milliseconds min_retry_after{300};
static constexpr std::chrono::milliseconds max_retry_after{900};
// Time-out of requests on routes that don't configure one.
static constexpr std::chrono::milliseconds default_timeout{30'000};

transparent_request::transparent_request(gateway& owner, std::shared_ptr<server_exchange> exchange)
    : owner_(owner), exchange_(std::move(exchange))
{
}

transparent_request::~transparent_request() = default;

void transparent_request::start()
{
    if (!resolve_request()) {
        return;
    }
    const auto self = shared_from_this();
    exchange_->on_disconnect([self] { self->on_client_disconnected(); });
    exchange_->on_drained([self] {
        if (std::exchange(self->paused_for_client_, false) && self->call_) {
            self->record_progress();
            // The pause was the client's, so it does not count towards the server's pace.
            self->pace_.last_event_at.reset();
            self->call_->pause(false);
        }
    });
    auto time = route_->timeout.count() > 0 ? route_->timeout : default_timeout;
    time = std::min(time, metadata_.client_timeout.value_or(time));
    deadline_ = exchange_->start_time() + time;
    if (owner_.requests_end_at_ && deadline_ > *owner_.requests_end_at_) {
        if (!is_safe_to_retry(*route_)) {
            answer_error(503, "this VM stops before the request's time is over");
            return;
        }
        deadline_ = *owner_.requests_end_at_;
    }
    owner_.open_requests_.insert(this);
    schedule_deadline();
    owner_.budget_of(service_).count_request(owner_.loop_.time().now());
    send_attempt();
}

void transparent_request::schedule_deadline()
{
    cancel_timers({&deadline_timer_});
    deadline_timer_ = owner_.loop_.schedule(time_left(), [self = shared_from_this()] {
        self->deadline_timer_.reset();
        self->on_deadline();
    });
}

void transparent_request::limit_time(steady_time end)
{
    if (deadline_ > end) {
        deadline_ = end;
        schedule_deadline();
    }
}

// Evaluates the request against the configuration that is in force.
bool transparent_request::resolve_request()
{
    auto metadata = owner_.protocol_.read_request(exchange_->head());
    if (!metadata) {
        answer_error(400, metadata.error().message.c_str());
        return false;
    }
    metadata_ = std::move(*metadata);
    map_ = owner_.fleet_.map();
    if (!map_) {
        answer_error(503, "no configuration is known yet");
        return false;
    }
    route_ = find_route(*map_, metadata_.host, exchange_->head().target);
    if (route_ == nullptr) {
        answer_error(404, "no route");
        return false;
    }
    const auto key_entry = metadata_.key ? map_->keys.find(*metadata_.key) : map_->keys.end();
    if (key_entry != map_->keys.end()) {
        account_ = key_entry->second.account;
        account_hash_ = stable_hash(account_->value());
    }
    else if (map_->has_accounts && !route_->is_public) {
        answer_error(401, "no client account holds the key");
        return false;
    }
    const double draw = std::uniform_real_distribution<double>{}(owner_.random_);
    const service_name* service = draw_service(*route_, draw);
    if (service == nullptr) {
        answer_error(503, "the route has no service");
        return false;
    }
    service_ = *service;
    const auto account_priority = account_ ? key_entry->second.priority : std::nullopt;
    priority_ = account_priority.value_or(route_->priority);
    if (metadata_.accepts_any_model && !route_->model_tiers.empty()) {
        model_ = route_->model_tiers.front();
    }
    choose_version();
    return true;
}

void transparent_request::choose_version()
{
    const steady_time now = owner_.loop_.time().now();
    std::optional<session_hash> session;
    if (metadata_.session) {
        session = hash_of_session(*metadata_.session);
        owner_.fleet_.record_session_request(*session, now);
    }
    if (rollout_watch* watch = owner_.fleet_.rollout_of(service_)) {
        version_target_ = watch->order().target;
        version_ =
            watch->choose(std::uniform_real_distribution<double>{}(owner_.random_), session, owner_.listed_vms(), now);
    }
}

std::chrono::milliseconds transparent_request::time_left() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - owner_.loop_.time().now());
}

bool transparent_request::retry_permitted() const
{
    if (progress_ == progress::may_have_run && !is_safe_to_retry(*route_)) {
        return false;
    }
    return count_runs(runs_) < route_->max_runs && sends_ < max_sends;
}

bool transparent_request::try_retry(retry_reason kind, const char* reason)
{
    if (!retry_permitted()) {
        return false;
    }
    const steady_time now = owner_.loop_.time().now();
    service_retry_budget& budget = owner_.budget_of(service_);
    if (time_left() < min_attempt_time || !budget.allows(kind, now)) {
        return false;
    }
    budget.count_retry(now);
    end_attempt(reason);
    events_.drop_partial();
    // Posted to the event loop, as the caller may be a callback of the attempt that has just ended.
    retry_timer_ = owner_.loop_.post([self = shared_from_this()] {
        self->retry_timer_.reset();
        self->send_attempt();
    });
    return true;
}

void transparent_request::on_deadline()
{
    if (ended_) {
        return;
    }
    if (answer_started_) {
        abort_answer("the time was over");
        return;
    }
    // While its connection is being opened, nothing of the request has been sent.
    const bool may_be_sent = call_ && call_->state() == send_state::sent;
    const bool not_run = progress_ == progress::nothing_ran && !may_be_sent;
    answer_error(not_run ? 503 : 504, "the time was over");
}

void transparent_request::on_client_disconnected()
{
    if (!ended_) {
        finish(0, "the client left");
    }
}

void transparent_request::answer_error(int status, const char* reason,
                                       std::optional<std::chrono::milliseconds> retry_after)
{
    http_answer_head head = local_answer_head(status);
    if (status == 503) {
        std::uniform_int_distribution<long> any{min_retry_after.count(), max_retry_after.count()};
        const auto delay = retry_after ? retry_after->count() : any(owner_.random_);
        std::array<char, 16> seconds{};
        std::snprintf(seconds.data(), seconds.size(), "%.3f", static_cast<double>(delay) / 1000);
        head.headers.push_back({"Retry-After", seconds.data()});
    }
    head.headers.push_back({"Content-Type", "text/plain"});
    // Reported first, so that the log names the cause by the time the client has the answer.
    const auto self = shared_from_this();
    finish(status, reason);
    exchange_->answer(head, std::string{reason} + "\n");
}

void transparent_request::abort_answer(const char* reason)
{
    exchange_->abort();
    finish(0, reason);
}

void transparent_request::cancel_timers(std::initializer_list<std::optional<timer_id>*> timers)
{
    for (auto* timer : timers) {
        if (*timer) {
            owner_.loop_.cancel(**timer);
            timer->reset();
        }
    }
}

void transparent_request::finish(int status, const char* reason)
{
    ended_ = true;
    owner_.open_requests_.erase(this);
    cancel_timers({&deadline_timer_, &retry_timer_});
    leave_queue(status == 0 ? "left" : "refused");
    end_attempt(reason);
    report_.id = metadata_.id;
    report_.account = account_ ? account_->value() : "";
    report_.route = route_ != nullptr ? route_->name.value() : "";
    report_.service = service_.value();
    report_.kind = route_ != nullptr ? route_->kind : request_kind::safe;
    report_.status = status;
    report_.reason = reason;
    report_.configuration = map_ ? map_->version : service_map_version{};
    report_.goal = route_ != nullptr ? route_->goal : std::chrono::milliseconds{0};
    report_.total =
        std::chrono::duration_cast<std::chrono::milliseconds>(owner_.loop_.time().now() - exchange_->start_time());
    if (is_success(status) && report_.first_byte.count() == 0) {
        report_.first_byte = report_.total;
    }
    report_request(report_, owner_.metrics_);
    // The callbacks own references to this object; clearing them destroys it when the current caller returns.
    exchange_->on_disconnect(nullptr);
    exchange_->on_drained(nullptr);
}

} // namespace agatespar
