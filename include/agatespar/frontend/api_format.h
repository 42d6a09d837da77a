// The JSON forms of the callers' interface: chat completions, their stream events, and errors.
#pragma once

#include <agatespar/request/request.h>
#include <agatespar/support/outcome.h>

#include <string>
#include <string_view>

namespace agatespar {

/// @param body the caller's JSON. @return the request without id, account and trace; malformed or invalid_argument
/// names the field otherwise.
outcome<chat_request> parse_chat_request(std::string_view body);

/// @return the HTTP status that goes with an error.
int http_status_of(error_code code);

/// @return the one JSON shape of errors: code, message, ran, retry_after_ms, request_id.
std::string format_error(const error& problem, const request_id& id);

/// @return a whole chat.completion object.
std::string format_completion(const request_id& id, const answer_head& head, std::string_view text,
                              const answer_end& end);

/// @return one server-sent event with a chat.completion.chunk that carries a piece of text.
std::string format_text_event(const request_id& id, const answer_head& head, std::string_view text);
/// @return the last chunk with the finish reason and usage, followed by the end mark.
std::string format_end_events(const request_id& id, const answer_head& head, const answer_end& end);
/// @return an error event; no end mark follows it.
std::string format_error_event(const error& problem, const request_id& id);

} // namespace agatespar
