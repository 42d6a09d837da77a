// Runs calls of plain services: idempotent ones with retries, all others at most once, protected by a claim in the
// ledger.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/claim_client.h>
#include <agatespar/platform/plain_service.h>
#include <agatespar/request/chat_service.h>
#include <agatespar/request/permit_source.h>
#include <agatespar/request/request.h>
#include <agatespar/request/usage_account.h>
#include <agatespar/request/wait_limiter.h>

#include <functional>
#include <random>

namespace agatespar {

class explain_store;
class server_table;

/// Forwards a call to a VM of another zone. The callback receives its answer.
using forward_call_function =
    std::function<void(const zone_id&, const service_request&, duration remaining, service_callback)>;

/// Dependencies of plain-service calls. All must outlive the calls.
struct service_dependencies {
    event_loop* loop{nullptr};
    server_table* servers{nullptr};
    std::mt19937_64* random{nullptr};
    explain_store* explanations{nullptr};
    span_recorder* spans{nullptr};
    request_counters* counters{nullptr};
    claim_client* claims{nullptr};
    retry_budget* retries{nullptr};
    wait_limiter* waiting{nullptr};
    plain_service_client client;
    permit_source permits;
    usage_account usage;
    /// @return time since this VM last knew that it had read the configuration log up to its end.
    std::function<duration()> log_age;
    forward_call_function forward;
    ledger_settings ledger;
};

/// Runs a call and calls the callback exactly once. An error has run_state::not_run only if nothing ran for this call
/// and nothing ever will.
/// @param forwarded whether a VM of another zone sent it. Such a call is not forwarded again and not billed here.
void run_service_call(const service_dependencies& dependencies, service_request request, bool forwarded,
                      service_callback callback);

/// Looks up the outcome of a key without running anything.
/// The callback receives the stored answer, or an error, which has run_state::not_run only if the key is closed.
void look_up_service_outcome(const service_dependencies& dependencies, const service_request& request,
                             service_callback callback);

/// Closes a key that is not claimed, so that no call with it can run any more. The callback receives the key's outcome
/// as from look_up_service_outcome().
void cancel_service_key(const service_dependencies& dependencies, const service_request& request,
                        service_callback callback);

} // namespace agatespar
