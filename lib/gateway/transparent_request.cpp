// The course of one transparent request: checks at its start, repeats, and its one end.
#include "transparent_request.h"

#include <agatespar/support/hash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace agatespar {

// Clients that are refused return spread over this time, so that they don't all meet the same full servers again.
static constexpr std::chrono::milliseconds earliest_return{300};
static constexpr std::chrono::milliseconds latest_return{900};
// Waits of route without a limit of its own.
static constexpr std::chrono::milliseconds default_timeout{30'000};

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
        if (std::exchange(self->held_by_client_, false) && self->call_) {
            self->note_progress();
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
    if (is_success(status) && report_.first_byte.count() == 0) {
        report_.first_byte = report_.total;
    }
    report_run(report_, owner_.metrics_);
    // The callbacks hold the run; without them it ends with its last caller.
    exchange_->on_gone(nullptr);
    exchange_->on_drained(nullptr);
}

} // namespace agatespar
