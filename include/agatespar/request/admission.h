// Checks a chat request against the configuration and turns its names into a routing request.
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
    /// The versions that the account, the target and the class leave.
    std::vector<version_id> allowed;
    std::chrono::milliseconds deadline{};
    bool may_hold{false};
    std::uint32_t priority{0};
    std::string request_class;
};

/// @param request has its account set. @param servers gives the configuration. @param log_age how long ago this VM last
/// knew of the head of the configuration's log.
/// @return not_found for an unknown name, not_allowed if the account may not use it, unavailable if the zone was cut
/// off for longer than the service allows; always "not run".
outcome<admitted_chat> admit_chat(const chat_request& request, const server_table& servers, duration log_age);

/// @return unavailable if the zone was cut off for longer than the service allows.
outcome<void> check_cut_off(const service_settings& service, duration log_age);

} // namespace agatespar
