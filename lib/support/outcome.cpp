// Names of error codes and run states.
#include <agatespar/support/outcome.h>

#include <cassert>

namespace agatespar {

std::string_view to_string(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::malformed:
        return "malformed";
    case error_code::too_large:
        return "too_large";
    case error_code::unauthenticated:
        return "unauthenticated";
    case error_code::not_allowed:
        return "not_allowed";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::withdrawn:
        return "withdrawn";
    case error_code::unavailable:
        return "unavailable";
    case error_code::overloaded:
        return "overloaded";
    case error_code::deadline_exceeded:
        return "deadline_exceeded";
    case error_code::outcome_unknown:
        return "outcome_unknown";
    case error_code::expired:
        return "expired";
    case error_code::internal:
        return "internal";
    }
    assert(false && "every error code has a name");
    return "internal";
}

std::string_view to_string(run_state ran)
{
    switch (ran) {
    case run_state::not_run:
        return "not_run";
    case run_state::outcome_unknown:
        return "outcome_unknown";
    case run_state::ran:
        return "ran";
    }
    assert(false && "every run state has a name");
    return "outcome_unknown";
}

} // namespace agatespar
