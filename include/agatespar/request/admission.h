// Checks a chat request against the configuration and resolves the names of its target and class.
#pragma once

#include <agatespar/request/request.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <vector>

namespace agatespar {

class server_table;
struct service_settings;

/// A request that the configuration allows.
struct admitted_chat {
    /// The versions that both the account and the target allow.
    std::vector<version_id> allowed;
    /// Maximum time until the answer is complete: the shorter one of the request's and its class's.
    std::chrono::milliseconds deadline{};
    /// Whether an answer may be withheld until it is rated.
    bool may_hold{false};
    std::uint32_t priority{0};
    std::string request_class;
};

/// Checks whether the configuration allows a request.
/// @param request its account must be set.
/// @param servers provides the configuration.
/// @param log_age time since this VM last knew that it had read the configuration log up to its end.
/// @return not_found for an unknown name, not_allowed if the account may not use it, unavailable if the zone has been
/// cut off for longer than the service allows, unauthenticated if the account was removed; always with
/// run_state::not_run.
outcome<admitted_chat> admit_chat(const chat_request& request, const server_table& servers, duration log_age);

/// @param log_age as for admit_chat().
/// @return unavailable if the zone has been cut off for longer than the service allows.
outcome<void> check_cut_off(const service_settings& service, duration log_age);

} // namespace agatespar
