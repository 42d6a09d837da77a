// The internal representation of a caller's request, and the sink that receives its answer.
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

/// How much of an answer earlier attempts delivered, for a request that another zone resumes.
struct resume_point {
    version_id version;
    token_count delivered;
};

/// A chat completion as requested by a caller.
struct chat_request {
    request_id id;
    client_account_id account;
    /// Name of a model or a chat service of the account's fleet.
    std::string target;
    /// If empty, the service's default class applies.
    std::string request_class;
    /// Empty for the first turn of a session.
    std::string session_token;
    /// The JSON text of the messages array.
    std::string messages_json;
    token_count max_output{1024};
    bool streamed{false};
    /// Maximum time until the answer is complete; the request class may set a shorter one.
    std::optional<std::chrono::milliseconds> deadline;
    /// The W3C traceparent of the caller, or empty.
    std::string traceparent;
    /// Set if the caller already has the beginning of the answer.
    std::optional<resume_point> resume;
};

/// A call of a plain service's method.
struct service_request {
    request_id id;
    client_account_id account;
    service_name service;
    std::string method;
    std::string body;
    /// The key that the caller sent. Without one, a method that is not idempotent uses a key that is derived from `id`,
    /// so that the caller can't submit the call again.
    std::optional<idempotency_key> key;
    /// The caller states that it has not sent the key before. A refusal can then be reported as run_state::not_run,
    /// since no earlier submission of the key can have run.
    bool first_submission{false};
    /// Time at which the caller created the key, as stated by the caller. Empty if the key contains the time.
    std::string key_time;
    std::string traceparent;
};

/// Sent before the first byte of an answer.
struct answer_head {
    version_id version;
    /// The session token for the next turn.
    std::string session_token;
    /// The withdrawn version that the session used before, if it moved to another one.
    std::optional<version_id> moved_from;
};

/// Sent after the last byte. An answer without it is not complete.
struct answer_end {
    std::string finish_reason;
    token_count prompt_tokens;
    token_count output_tokens;
};

/// A part of an answer.
struct answer_text {
    std::string_view text;
    /// Number of tokens of the answer up to the end of this part.
    token_count delivered;
};

/// Receives one answer: one call of start, any number of text, and one of finish. One call of fail may replace the
/// remaining calls at any point.
struct answer_sink {
    std::function<void(const answer_head&)> start;
    std::function<void(const answer_text&)> text;
    std::function<void(const answer_end&)> finish;
    std::function<void(const error&)> fail;
};

/// The answer of a plain service.
struct service_answer {
    std::string body;
    /// Whether this is the stored answer of an earlier request with the same key.
    bool repeated{false};
    /// The request that ran. The call is billed under its id.
    request_id ran_as;
};

using service_callback = std::function<void(outcome<service_answer>)>;

} // namespace agatespar
