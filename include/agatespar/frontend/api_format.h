// JSON formats of the HTTP API: chat completions, their stream events, and errors.
#pragma once

#include <agatespar/request/request.h>
#include <agatespar/support/outcome.h>

#include <string>
#include <string_view>

namespace agatespar {

/// Parses a chat request.
/// @param body the JSON text.
/// @return the request without id, account and traceparent; malformed or too_large for text that cannot be parsed; or
/// invalid_argument, whose message names the wrong field.
outcome<chat_request> parse_chat_request(std::string_view body);

/// @return the HTTP status of an error. Statuses after which clients repeat a request, as it was not run
/// (promises_not_run()), are given only to errors that prove this; other errors of the same code have status 502.
int http_status_of(error_code code, run_state ran);

/// @return an error as a JSON object with the fields code, message, ran, retry_after_ms and request_id.
std::string format_error(const error& problem, const request_id& id);

/// @return a complete chat.completion object.
std::string format_completion(const request_id& id, const answer_head& head, std::string_view text,
                              const answer_end& end);

/// @return one server-sent event with a chat.completion.chunk that contains a part of the text.
std::string format_text_event(const request_id& id, const answer_head& head, std::string_view text);
/// @return the event of the last chunk, with the finish reason and the usage, followed by the end mark "[DONE]".
std::string format_end_events(const request_id& id, const answer_head& head, const answer_end& end);
/// @return an error event; no end mark follows it.
std::string format_error_event(const error& problem, const request_id& id);

} // namespace agatespar
