// Errors as values: the kind of failure, and whether the request ran.
#pragma once

#include <tl/expected.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace agatespar {

/// Kinds of failure that callers can distinguish.
enum class error_code {
    invalid_argument,
    malformed,
    too_large,
    unauthenticated,
    not_allowed,
    not_found,
    conflict,
    withdrawn,
    unavailable,
    overloaded,
    deadline_exceeded,
    outcome_unknown,
    expired,
    internal,
};

/// What is certain about the execution of a request that was not answered.
enum class run_state {
    not_run,
    outcome_unknown,
    ran,
};

/// A failure, with the information by which the caller decides whether and when to retry.
struct error {
    error_code code{error_code::internal};
    std::string message;
    run_state ran{run_state::not_run};
    std::optional<std::chrono::milliseconds> retry_after;
};

template <class T>
using outcome = tl::expected<T, error>;

/// @return an unexpected value that converts to any outcome.
inline tl::unexpected<error> failure(error_code code, std::string message)
{
    return tl::unexpected<error>{error{code, std::move(message), run_state::not_run, std::nullopt}};
}

/// @return the code's name in answers to callers, e.g. "not_allowed".
std::string_view to_string(error_code code);
/// @return the state's name in answers to callers, e.g. "not_run".
std::string_view to_string(run_state ran);

} // namespace agatespar
