// Calls of plain services: idempotent ones with retries, all others at most once under a claim of the ledger.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/claim_client.h>
#include <agatespar/platform/plain_service.h>
#include <agatespar/request/chat_service.h>
#include <agatespar/request/permit_source.h>
#include <agatespar/request/request.h>
#include <agatespar/request/usage_account.h>
#include <agatespar/request/waiting_room.h>

#include <functional>
#include <random>

namespace agatespar {

class explain_store;
class server_table;

/// Sends a call on to a VM of another zone; the callback gets its answer.
using forward_call_function =
    std::function<void(const zone_id&, const service_request&, duration remaining, service_callback)>;

/// All that plain-service calls use; everything outlives them.
struct service_dependencies {
    event_loop* loop{nullptr};
    server_table* servers{nullptr};
    std::mt19937_64* random{nullptr};
    explain_store* explanations{nullptr};
    span_recorder* spans{nullptr};
    request_counters* counters{nullptr};
    claim_client* claims{nullptr};
    retry_budget* retries{nullptr};
    waiting_room* waiting{nullptr};
    plain_service_client client;
    permit_source permits;
    usage_account usage;
    /// @return how long ago this VM last knew of the head of the configuration's log.
    std::function<duration()> log_age;
    forward_call_function forward;
    ledger_settings ledger;
};

/// Runs a call; the callback comes once. Refusals say "not run" only if nothing ran or ever will for this call.
/// @param forwarded whether another zone's VM sent it, so that it is not sent on and not billed here.
void run_service_call(const service_dependencies& dependencies, service_request request, bool forwarded,
                      service_callback callback);

/// Tells what became of a key, without running anything: the recorded answer, or an error that says "not run" only if
/// the key is closed.
void look_up_service_outcome(const service_dependencies& dependencies, const service_request& request,
                             service_callback callback);

/// Closes a key that no claim holds, so that no call of it can run any more, and tells what became of it.
void cancel_service_key(const service_dependencies& dependencies, const service_request& request,
                        service_callback callback);

} // namespace agatespar
