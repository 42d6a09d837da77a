// The end of one chat request: billing, failure and cancellation.
#include "chat_run.h"

#include <agatespar/request/explain_store.h>

namespace agatespar {

/// Adds the tokens of an attempt to the request's usage record. An attempt that resumed a stream is billed only for the
/// output tokens that it produced itself.
void chat_run::add_cost(const running_attempt& attempt)
{
    const version_id& version = *attempt.target.version;
    const version_settings* settings = find_version(dependencies_.servers->config(), version);
    const double price = settings == nullptr ? 0.0 : settings->cost_per_1000_tokens.value();
    const token_count answer{delivered_tokens_ - attempt_first_token_};
    const auto tokens = static_cast<double>(prompt_tokens_.value() + answer.value());
    costs_.push_back(
        {version.model.name, version.version, prompt_tokens_, answer, cost_units{price * tokens / 1000.0}});
}

usage_record chat_run::make_bill(usage_outcome result) const
{
    usage_record bill;
    bill.request = request_.id;
    bill.account = request_.account;
    bill.attempts = costs_;
    bill.result = result;
    bill.finished = dependencies_.loop->time().wall_now();
    return bill;
}

void chat_run::bill_and_finish(const std::string& finish_reason)
{
    dependencies_.quality->record_traffic(request_.account.fleet, class_name(), prompt_tokens_,
                                          token_count{delivered_tokens_});
    rate_sent_answer();
    const answer_end end{finish_reason, prompt_tokens_, token_count{delivered_tokens_}};
    const auto finish = [self = shared_from_this(), end] {
        if (self->closed_) {
            return;
        }
        self->sink_.finish(end);
        ++self->dependencies_.counters->answered;
        self->close();
    };
    if (forwarded_) {
        // The VM to which the caller is connected bills the request.
        finish();
        return;
    }
    reserved_ = false;
    dependencies_.usage.settle(make_bill(usage_outcome::answered), finish);
}

void chat_run::bill_partial(usage_outcome result)
{
    if (!reserved_) {
        return;
    }
    reserved_ = false;
    if (costs_.empty()) {
        dependencies_.usage.unreserve();
        return;
    }
    dependencies_.usage.settle(make_bill(result), [] {});
}

void chat_run::fail(const error& problem)
{
    if (closed_) {
        return;
    }
    if (attempt_) {
        end_attempt(work_result::cancelled, problem.message);
    }
    if (first_step_answer_) {
        send_withheld_answer();
        return;
    }
    if (forward_cancel_) {
        forward_cancel_();
    }
    bill_partial(usage_outcome::failed);
    const bool not_run = problem.ran == run_state::not_run;
    ++(not_run ? dependencies_.counters->refused_not_run : dependencies_.counters->failed_unknown);
    dependencies_.explanations->add(request_.id, "The request failed: " + problem.message + ".");
    sink_.fail(problem);
    close();
}

void chat_run::cancel()
{
    if (closed_) {
        return;
    }
    ++dependencies_.counters->cancelled;
    if (attempt_) {
        end_attempt(work_result::cancelled, "cancelled by the caller");
    }
    if (forward_cancel_) {
        forward_cancel_();
    }
    bill_partial(usage_outcome::caller_gone);
    close();
}

void chat_run::close()
{
    closed_ = true;
    stop_waiting();
    --dependencies_.counters->running;
    dependencies_.loop->cancel(deadline_timer_);
    dependencies_.loop->cancel(retry_timer_);
    dependencies_.spans->record({trace_,
                                 trace_parent_,
                                 forwarded_ ? "chat forwarded" : "chat",
                                 span_kind::server,
                                 started_,
                                 dependencies_.loop->time().wall_now(),
                                 {{"request_id", request_.id.value()}, {"account", to_string(request_.account)}},
                                 ""});
    // Breaks a reference cycle: the sink's functions often own the exchange, which owns the cancel handle of this run.
    sink_ = answer_sink{};
}

} // namespace agatespar
