// Looks up the outcome of the call with an idempotency key, or closes the key so that no call with it can run. Runs
// nothing itself.
#include <agatespar/ledger/key_age.h>
#include <agatespar/request/service_run.h>

namespace agatespar {

static constexpr std::chrono::seconds ledger_query_timeout{5};

static outcome<service_answer> answer_of(const key_report& report)
{
    switch (report.state) {
    case ledger_verdict::finished:
        if (report.result.body_omitted) {
            return tl::make_unexpected(error{error_code::too_large,
                                             "the call ran; its answer was too large to be stored", run_state::ran,
                                             std::nullopt});
        }
        return service_answer{report.result.body, true, report.result.request};
    case ledger_verdict::cancelled:
        return failure(error_code::not_found, "the key is closed; no call with it ran or will run");
    case ledger_verdict::not_claimed:
    case ledger_verdict::abandoned:
        // A call with the key may still arrive, so only a closed key proves that none will run.
        return tl::make_unexpected(
            error{error_code::not_found, "no call with this key is known so far", run_state::outcome_unknown, {}});
    case ledger_verdict::running:
        return tl::make_unexpected(
            error{error_code::conflict, "the call is running", run_state::outcome_unknown, std::chrono::seconds{1}});
    default:
        return tl::make_unexpected(
            error{error_code::outcome_unknown, "the outcome of the call is unknown", run_state::outcome_unknown, {}});
    }
}

/// Sends one of the ledger's two queries, look-up or cancellation, for the key of a request.
template <class Query>
static void query_ledger(const service_request& request, service_callback callback, const Query& query)
{
    const idempotency_key key = request.key.value_or(idempotency_key{});
    const auto key_time = key_time_of(key, request.key_time);
    if (!key_time) {
        callback(tl::make_unexpected(key_time.error()));
        return;
    }
    query(ledger_key{request.account, key}, *key_time, [callback = std::move(callback)](outcome<key_report> report) {
        callback(report.and_then([](const key_report& known) { return answer_of(known); }));
    });
}

void look_up_service_outcome(const service_dependencies& dependencies, const service_request& request,
                             service_callback callback)
{
    query_ledger(request, std::move(callback), [&](const ledger_key& key, wall_time time, key_report_callback done) {
        dependencies.claims->look_up(key, time, ledger_query_timeout, std::move(done));
    });
}

void cancel_service_key(const service_dependencies& dependencies, const service_request& request,
                        service_callback callback)
{
    query_ledger(request, std::move(callback), [&](const ledger_key& key, wall_time time, key_report_callback done) {
        dependencies.claims->cancel(key, time, ledger_query_timeout, std::move(done));
    });
}

} // namespace agatespar
