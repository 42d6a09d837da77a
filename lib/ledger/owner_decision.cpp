// The owner's rules for each ledger operation.
#include <agatespar/ledger/owner_decision.h>

namespace agatespar {

static owner_decision answer_with(ledger_verdict verdict)
{
    return {owner_step::answer, {verdict, {}, {}}};
}

static const owner_decision write_first{owner_step::write, {}};
static const owner_decision read_more{owner_step::wait, {}};

// These verdicts are valid whatever the records that were not read contain, as a key has at most one holder and one
// outcome.
static bool valid_in_any_window(ledger_verdict verdict)
{
    return verdict == ledger_verdict::finished || verdict == ledger_verdict::running ||
           verdict == ledger_verdict::outcome_unknown;
}

// Applies the rules that do not depend on the operation. The result `write` means that none of them applies.
static owner_decision decide_window(const owner_view& view, const key_evaluation& evaluation, wall_time key_time,
                                    const ledger_settings& settings)
{
    if (valid_in_any_window(evaluation.verdict)) {
        return {owner_step::answer, evaluation};
    }
    if (key_time < view.now - settings.key_window) {
        return answer_with(ledger_verdict::too_old);
    }
    if (view.window == window_state::incomplete) {
        return answer_with(ledger_verdict::refused);
    }
    return write_first;
}

static owner_decision decide_claim(const owner_view& view, const claim_record& claim, const ledger_settings& settings)
{
    const key_evaluation evaluation = evaluate_claim(view.state, claim, view.now, settings);
    const owner_decision decision = decide_window(view, evaluation, claim.key_time, settings);
    if (decision.step == owner_step::write && evaluation.verdict != ledger_verdict::not_claimed) {
        return {owner_step::answer, evaluation};
    }
    return decision;
}

static owner_decision decide_cancel(const owner_view& view, const cancel_record& cancel,
                                    const ledger_settings& settings)
{
    const key_evaluation evaluation = evaluate_key(view.state, cancel.key, view.now, settings);
    const owner_decision decision = decide_window(view, evaluation, cancel.key_time, settings);
    if (decision.step == owner_step::write && evaluation.verdict == ledger_verdict::cancelled) {
        return {owner_step::answer, evaluation};
    }
    return decision;
}

static owner_decision decide_look_up(const owner_view& view, const cancel_record& query,
                                     const ledger_settings& settings)
{
    const key_evaluation evaluation = evaluate_key(view.state, query.key, view.now, settings);
    const owner_decision decision = decide_window(view, evaluation, query.key_time, settings);
    if (decision.step == owner_step::write) {
        return {owner_step::answer, evaluation};
    }
    return decision;
}

static owner_decision decide_abandon(const owner_view& view, const abandoned_record& abandoned,
                                     const ledger_settings& settings)
{
    const bool outside_window = abandoned.key_time < view.now - settings.key_window - settings.window_slack;
    const auto status = status_of_claim(view.state, abandoned.key, abandoned.id);
    return outside_window || status == claim_status::abandoned ? answer_with(ledger_verdict::recorded) : write_first;
}

static owner_decision decide_outcome(const owner_view& view, const outcome_record& result)
{
    const auto found = view.state.keys.find(result.key);
    if (found != view.state.keys.end() && found->second.outcome_at) {
        return answer_with(ledger_verdict::recorded);
    }
    if (status_of_claim(view.state, result.key, result.id) == claim_status::held) {
        return write_first;
    }
    // The claim is outside the key window, so no repeated submission of its key can request the outcome.
    return view.fresh ? answer_with(ledger_verdict::recorded) : read_more;
}

owner_decision decide_request(const owner_view& view, ledger_operation operation, const ledger_record& record,
                              const ledger_settings& settings)
{
    if (view.window == window_state::recovering) {
        return read_more;
    }
    switch (operation) {
    case ledger_operation::claim:
        return decide_claim(view, std::get<claim_record>(record), settings);
    case ledger_operation::abandon:
        return decide_abandon(view, std::get<abandoned_record>(record), settings);
    case ledger_operation::cancel:
        return view.fresh ? decide_cancel(view, std::get<cancel_record>(record), settings) : read_more;
    case ledger_operation::record_outcome:
        return decide_outcome(view, std::get<outcome_record>(record));
    case ledger_operation::look_up:
        return view.fresh ? decide_look_up(view, std::get<cancel_record>(record), settings) : read_more;
    }
    return answer_with(ledger_verdict::refused);
}

} // namespace agatespar
