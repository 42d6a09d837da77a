// The plan of one chat request, withheld answers and their ratings.
#include "chat_run.h"

#include <agatespar/request/explain_store.h>
#include <agatespar/support/hash.h>

#include <utility>

namespace agatespar {

// Only this much of the beginning of an answer is rated.
static constexpr std::size_t max_rated_bytes = std::size_t{256} * 1024;
static constexpr std::chrono::milliseconds rating_timeout{2000};

/// @return the admitted versions. Once an answer has begun, only its version is allowed.
version_set chat_run::allowed_versions() const
{
    version_set allowed;
    for (const version_id& version : admitted_.allowed) {
        const bool other_version = answering_version_ && *answering_version_ != version;
        const auto index = dependencies_.servers->index_of({version, std::nullopt});
        if (index && !other_version) {
            allowed.set(index->value());
        }
    }
    return allowed;
}

/// Plans the request by cost and estimated quality if it allows more than one model.
void chat_run::make_plan()
{
    const routing_view& view = dependencies_.servers->view();
    double both_ms = 0.0;
    std::optional<model_index> only_model;
    bool has_choice = false;
    const version_set allowed = allowed_versions();
    const auto output =
        static_cast<double>(dependencies_.quality->expected_output(request_.account.fleet, class_name()).value());
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        if (!allowed.test(i)) {
            continue;
        }
        const version_view& version = view.versions[i];
        has_choice = has_choice || (only_model && *only_model != version.model);
        only_model = version.model;
        both_ms += output * version.decode_ms_per_token * (1.0 + version.decode_slope);
    }
    if (!has_choice) {
        return;
    }
    plan_inputs inputs{request_.account.fleet, class_name(), stable_hash(session_.id),
                       admitted_.deadline,     {},           admitted_.may_hold};
    inputs.both_steps = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{both_ms});
    plan_ = dependencies_.quality->plan(inputs, *dependencies_.random);
}

/// @return whether the answer of the current step is withheld until it is rated.
static bool is_withheld(const std::optional<serving_plan>& plan, bool second_step)
{
    return plan && plan->cascade() && !second_step;
}

void chat_run::handle_text(std::string_view text, std::uint64_t end)
{
    delivered_tokens_ = end;
    if (answer_.size() < max_rated_bytes) {
        answer_ += text;
    }
    if (is_withheld(plan_, second_step_)) {
        answering_version_ = attempt_->target.version;
        return;
    }
    if (!head_sent_) {
        send_head(*attempt_->target.version);
    }
    sink_.text({text, token_count{end}});
}

void chat_run::send_head(const version_id& version)
{
    head_sent_ = true;
    answering_version_ = version;
    std::erase_if(session_.pins, [&](const version_id& pin) { return pin.model == version.model; });
    session_.pins.push_back(version);
    answer_head head{version, dependencies_.sessions.encode(session_, dependencies_.loop->time().wall_now()),
                     moved_from_};
    sink_.start(head);
}

void chat_run::handle_end(const engine_finish& finish)
{
    if (finish.usage.completion.value() != delivered_tokens_) {
        handle_error({error_code::unavailable, "the answer ended before it was complete", run_state::outcome_unknown,
                      std::nullopt});
        return;
    }
    const version_id version = *attempt_->target.version;
    prompt_tokens_ = finish.usage.prompt;
    end_attempt(work_result::good, "");
    answering_version_ = version;
    if (is_withheld(plan_, second_step_)) {
        rate(finish);
        return;
    }
    if (!head_sent_) {
        send_head(version);
    }
    bill_and_finish(finish.reason);
}

void chat_run::rate(const engine_finish& finish)
{
    rating_request request{request_.messages_json, answer_, *answering_version_, admitted_.request_class,
                           rating_timeout};
    dependencies_.rating.rate(std::move(request),
                              [self = shared_from_this(), finish](const outcome<rating>& rating_result) {
                                  if (!self->closed_) {
                                      self->handle_rating(rating_result, finish);
                                  }
                              });
}

/// Sends a withheld answer that was rated good. Otherwise starts the second step, also if there is no rating, since the
/// quality of the stronger model is the reference.
void chat_run::handle_rating(const outcome<rating>& rating_result, const engine_finish& finish)
{
    dependencies_.quality->set_rating_available(rating_result.has_value());
    const bool good = rating_result && *rating_result == rating::good;
    if (rating_result) {
        dependencies_.quality->record_rating(*answering_version_, class_name(), good);
    }
    first_step_answer_ = withheld_answer{*answering_version_, answer_, finish};
    if (good) {
        send_withheld_answer();
        return;
    }
    ++dependencies_.counters->cascaded;
    dependencies_.explanations->add(request_.id, rating_result
                                                     ? "The answer was rated bad, so a stronger model answers."
                                                     : "The answer could not be rated, so a stronger model answers.");
    begin_second_step();
}

void chat_run::begin_second_step()
{
    second_step_ = true;
    answering_version_.reset();
    answer_.clear();
    delivered_tokens_ = 0;
    attempt_first_token_ = 0;
    failed_servers_.clear();
    route();
}

/// Sends the complete withheld answer and finishes the request.
void chat_run::send_withheld_answer()
{
    const withheld_answer withheld = *std::exchange(first_step_answer_, std::nullopt);
    second_step_ = true;
    answer_ = withheld.text;
    delivered_tokens_ = withheld.finish.usage.completion.value();
    send_head(withheld.version);
    sink_.text({withheld.text, token_count{delivered_tokens_}});
    plan_.reset();
    bill_and_finish(withheld.finish.reason);
}

/// Has an answer that was not withheld rated after it was sent, for later plans and for the version guards.
void chat_run::rate_sent_answer()
{
    const bool rated = second_step_ && !plan_;
    // A forwarded request is rated by the VM that ran it, since the plans of that VM's zone use the ratings.
    if (remote_answer_ || rated || !answering_version_ || !dependencies_.rating.rate) {
        return;
    }
    rating_request request{request_.messages_json, answer_, *answering_version_, admitted_.request_class,
                           rating_timeout};
    answer_quality* quality = dependencies_.quality;
    const version_id version = *answering_version_;
    dependencies_.rating.rate(std::move(request),
                              [quality, version, request_class = class_name()](const outcome<rating>& rating_result) {
                                  quality->set_rating_available(rating_result.has_value());
                                  if (rating_result) {
                                      quality->record_rating(version, request_class, *rating_result == rating::good);
                                  }
                              });
}

} // namespace agatespar
