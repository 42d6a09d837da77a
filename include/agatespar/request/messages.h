// Messages that forward a request to a VM of another zone and return its answer.
#pragma once

#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>

namespace agatespar {

/// A chat request, forwarded to a zone that can run it.
struct forward_request_message {
    /// Number that the sender assigned to the forward. The messages that answer or cancel it contain the same number.
    std::uint64_t forward{0};
    request_id request;
    client_account_id account;
    std::string target;
    std::string request_class;
    std::string session_token;
    std::string messages_json;
    std::uint64_t max_output{0};
    bool streamed{false};
    /// Time until the request's deadline.
    std::int64_t remaining_ms{0};
    std::string traceparent;
    /// The fields `resume_...` are empty or zero unless the caller already has the beginning of the answer.
    std::string resume_model;
    std::string resume_version;
    std::uint64_t resume_tokens{0};
    MSGPACK_DEFINE_ARRAY(forward, request, account, target, request_class, session_token, messages_json, max_output,
                         streamed, remaining_ms, traceparent, resume_model, resume_version, resume_tokens)
};

/// A part of the answer. The first one contains the head and no text.
struct forward_chunk_message {
    std::uint64_t forward{0};
    /// Starts at zero and increases by one with each message. A gap means that a part was lost.
    std::uint32_t sequence{0};
    bool is_head{false};
    std::string text;
    /// Number of tokens of the answer up to the end of this part.
    std::uint64_t delivered{0};
    model_id model;
    version_name version;
    std::string session_token;
    std::string moved_from;
    MSGPACK_DEFINE_ARRAY(forward, sequence, is_head, text, delivered, model, version, session_token, moved_from)
};

/// The end of the answer, or its failure.
struct forward_end_message {
    std::uint64_t forward{0};
    /// The number that follows the one of the last part.
    std::uint32_t sequence{0};
    /// If set, the fields from `code` on describe the error (see wire_error.h); otherwise they are unused.
    bool failed{false};
    std::string finish_reason;
    std::uint64_t prompt_tokens{0};
    std::uint64_t output_tokens{0};
    std::uint8_t code{0};
    std::string message;
    std::uint8_t ran{0};
    std::int64_t retry_after_ms{-1};
    MSGPACK_DEFINE_ARRAY(forward, sequence, failed, finish_reason, prompt_tokens, output_tokens, code, message, ran,
                         retry_after_ms)
};

/// Cancels a forwarded request because the caller disconnected or the sender no longer waits for the answer.
struct forward_cancel_message {
    std::uint64_t forward{0};
    MSGPACK_DEFINE_ARRAY(forward)
};

/// A plain-service call, forwarded to a zone that has the service.
struct forward_call_message {
    std::uint64_t forward{0};
    request_id request;
    client_account_id account;
    service_name service;
    std::string method;
    std::string body;
    bool has_key{false};
    idempotency_key key;
    bool first_submission{false};
    std::string key_time;
    std::string traceparent;
    MSGPACK_DEFINE_ARRAY(forward, request, account, service, method, body, has_key, key, first_submission, key_time,
                         traceparent)
};

/// The answer of a forwarded call, or its failure.
struct forward_answer_message {
    std::uint64_t forward{0};
    /// If set, the fields from `code` on describe the error (see wire_error.h); otherwise they are unused.
    bool failed{false};
    std::string body;
    bool repeated{false};
    request_id ran_as;
    std::uint8_t code{0};
    std::string message;
    std::uint8_t ran{0};
    std::int64_t retry_after_ms{-1};
    MSGPACK_DEFINE_ARRAY(forward, failed, body, repeated, ran_as, code, message, ran, retry_after_ms)
};

} // namespace agatespar
