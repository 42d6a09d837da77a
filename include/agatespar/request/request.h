// A caller's request inside the system, and the sink that takes its answer.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/support/units.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace agatespar {

/// How far an answer got on an earlier try, for a request that goes on elsewhere.
struct resume_point {
    version_id version;
    token_count delivered;
};

/// A chat completion as a caller asks for it.
struct chat_request {
    request_id id;
    client_account_id account;
    /// The name that the caller gave: a model or a chat service of the account's fleet.
    std::string target;
    /// Empty means the service's default class.
    std::string request_class;
    /// Empty for the first turn of a session.
    std::string session_token;
    /// The JSON text of the messages array.
    std::string messages_json;
    token_count max_output{1024};
    bool streamed{false};
    std::optional<std::chrono::milliseconds> deadline;
    /// The W3C traceparent of the caller, or empty.
    std::string traceparent;
    /// Set if the caller has the beginning of the answer already.
    std::optional<resume_point> resume;
};

/// A call of a plain service's method.
struct service_request {
    request_id id;
    client_account_id account;
    service_name service;
    std::string method;
    std::string body;
    /// Required for methods that are not idempotent.
    std::optional<idempotency_key> key;
    /// The caller says that it never sent the key before, so that a refusal can be proven to be "not run".
    bool first_submission{false};
    /// When the caller made the key, as the caller states it; empty if the key itself shows it.
    std::string key_time;
    std::string traceparent;
};

/// Sent before the first byte of an answer.
struct answer_head {
    version_id version;
    /// The session's token for the next turn.
    std::string session_token;
    /// Set if the session moved off a withdrawn version.
    std::optional<version_id> moved_from;
};

/// Sent after the last byte; an answer without it is not whole.
struct answer_end {
    std::string finish_reason;
    token_count prompt_tokens;
    token_count output_tokens;
};

/// A piece of an answer.
struct answer_text {
    std::string_view text;
    /// Tokens of the answer up to the end of this piece.
    token_count delivered;
};

/// Takes one answer: start, any number of texts, then finish or fail once. Fail may come at any point.
struct answer_sink {
    std::function<void(const answer_head&)> start;
    std::function<void(const answer_text&)> text;
    std::function<void(const answer_end&)> finish;
    std::function<void(const error&)> fail;
};

/// The answer of a plain service.
struct service_answer {
    std::string body;
    /// Whether this is the recorded answer of an earlier request with the same key.
    bool repeated{false};
    /// The request that ran, under whose id it is billed.
    request_id ran_as;
};

using service_callback = std::function<void(outcome<service_answer>)>;

} // namespace agatespar
