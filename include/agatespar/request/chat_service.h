// Runs chat completions: admission, routing, attempts, resumed streams, and billing.
#pragma once

#include <agatespar/backend/crash_guard.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/engine.h>
#include <agatespar/platform/rating_service.h>
#include <agatespar/request/admission.h>
#include <agatespar/request/permit_source.h>
#include <agatespar/request/request.h>
#include <agatespar/request/session.h>
#include <agatespar/request/usage_account.h>
#include <agatespar/request/wait_limiter.h>
#include <agatespar/routing/retry_budget.h>
#include <agatespar/telemetry/trace.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace agatespar {

class answer_quality;
class explain_store;
class server_table;

/// Counts of the request path since the process started; `running` is the current number.
struct request_counters {
    std::uint64_t started{0};
    std::uint64_t answered{0};
    std::uint64_t refused_not_run{0};
    std::uint64_t failed_unknown{0};
    std::uint64_t cancelled{0};
    std::uint64_t attempts{0};
    std::uint64_t resumed{0};
    std::uint64_t retries_denied{0};
    std::uint64_t late_events_dropped{0};
    std::uint64_t forwarded{0};
    /// Requests served by a stronger model because the cheaper model's answer was rated bad or could not be rated.
    std::uint64_t cascaded{0};
    /// Crashes of backend servers while they ran a request of this VM.
    std::uint64_t crashes{0};
    /// Requests refused because they crashed backend servers.
    std::uint64_t quarantined{0};
    std::uint64_t running{0};
};

/// Forwards a request to a VM of another zone. The sink receives the answer as it would from a local run.
using forward_function =
    std::function<cancel_handle(const zone_id&, const chat_request&, duration remaining, const answer_sink&)>;

/// Dependencies of the chat service. All must outlive it.
struct chat_dependencies {
    event_loop* loop{nullptr};
    server_table* servers{nullptr};
    std::mt19937_64* random{nullptr};
    explain_store* explanations{nullptr};
    span_recorder* spans{nullptr};
    request_counters* counters{nullptr};
    engine_client engine;
    permit_source permits;
    session_codec sessions;
    forward_function forward;
    usage_account usage;
    /// @return time since this VM last knew that it had read the configuration log up to its end.
    std::function<duration()> log_age;
    retry_budget* retries{nullptr};
    wait_limiter* waiting{nullptr};
    answer_quality* quality{nullptr};
    crash_guard* crashes{nullptr};
    /// Publishes a verdict of the crash guard to the VMs of the zone.
    std::function<void(const gossip_item&)> publish;
    rating_service rating;
};

/// Runs chat requests until they are answered completely, refused, failed or cancelled.
class chat_service {
public:
    explicit chat_service(chat_dependencies dependencies);
    chat_service(const chat_service&) = delete;
    chat_service& operator=(const chat_service&) = delete;
    ~chat_service();

    /// Runs a request.
    /// @param forwarded whether a VM of another zone sent it. Such a request is not forwarded again, and not billed
    /// here.
    /// @return a function that cancels the request, for a caller that disconnects. The sink is not called afterwards.
    cancel_handle run(chat_request request, answer_sink sink, bool forwarded);

private:
    chat_dependencies dependencies_;
};

} // namespace agatespar
