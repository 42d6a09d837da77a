// Converts errors to and from fields of messages.
#pragma once

#include <agatespar/support/outcome.h>

#include <cstdint>
#include <string>

namespace agatespar {

/// Sets a message's failed, code, message, ran and retry_after_ms, which is -1 without a retry-after time.
template <class Message>
void set_error(Message& message, const error& problem)
{
    message.failed = true;
    message.code = static_cast<std::uint8_t>(problem.code);
    message.message = problem.message;
    message.ran = static_cast<std::uint8_t>(problem.ran);
    message.retry_after_ms = problem.retry_after ? problem.retry_after->count() : -1;
}

/// @return a message's error. Unknown values become error_code::internal and run_state::outcome_unknown.
template <class Message>
error get_error(const Message& message)
{
    error problem{error_code::internal, message.message, run_state::outcome_unknown, std::nullopt};
    if (message.code <= static_cast<std::uint8_t>(error_code::internal)) {
        problem.code = static_cast<error_code>(message.code);
    }
    if (message.ran <= static_cast<std::uint8_t>(run_state::ran)) {
        problem.ran = static_cast<run_state>(message.ran);
    }
    if (message.retry_after_ms >= 0) {
        problem.retry_after = std::chrono::milliseconds{message.retry_after_ms};
    }
    return problem;
}

} // namespace agatespar
