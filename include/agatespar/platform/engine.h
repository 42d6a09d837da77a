// Interface to model engines: streamed completions, load reports and orders.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/support/units.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// Identifies one run of an engine's process. After a restart the id differs, and the engine's caches and models are
/// cold.
using server_start_id = strong<struct server_start_id_tag, std::uint64_t>;
/// Position in a completion: the number of tokens before it.
using token_offset = strong<struct token_offset_tag, std::uint64_t>;

/// A model and its version, named as in the engine's fleet.
struct engine_version {
    model_name model;
    version_name version;

    friend auto operator<=>(const engine_version&, const engine_version&) = default;
    friend bool operator==(const engine_version&, const engine_version&) = default;
};

/// Parameters of one attempt to get a completion from one engine.
struct engine_request {
    /// The engine's address, e.g. "http://10.0.0.1:8080".
    std::string server_url;
    attempt_id attempt;
    request_id request;
    engine_version version;
    /// The conversation as a JSON array of {"role", "content"}.
    std::string messages_json;
    std::uint32_t max_tokens{1024};
    /// Position from which an interrupted stream is resumed; zero starts a new one.
    token_offset resume_from;
    /// Groups requests that share a prompt prefix; may be empty.
    std::string session;
    /// Requests with a larger number are run first.
    int priority{0};
    std::optional<fencing_number> fence;
    /// W3C trace context to pass on; may be empty.
    std::string traceparent;
    std::chrono::milliseconds head_timeout{10'000};
    /// Maximum time between two parts of the answer.
    std::chrono::milliseconds idle_timeout{10'000};
};

/// A part of a completion.
struct engine_tokens {
    token_offset offset;
    token_count count;
    std::string text;
};

struct engine_usage {
    token_count prompt;
    /// Tokens of the prompt that were found in the engine's prefix cache.
    token_count cached;
    /// All tokens of the completion, including those before the offset of a resumed stream.
    token_count completion;
};

/// The event that ends a complete answer.
struct engine_finish {
    /// "stop" or "length".
    std::string reason;
    engine_usage usage;
};

/// The events of one attempt: at most one start, parts at consecutive offsets, then either an end or an error.
struct engine_callbacks {
    std::function<void(server_start_id)> on_start;
    std::function<void(const engine_tokens&)> on_tokens;
    std::function<void(const engine_finish&)> on_end;
    /// Also called for an answer without an end event, or one that belongs to another attempt.
    std::function<void(const error&)> on_error;
};

struct load_report {
    server_start_id start;
    /// Age of the values when the engine sent them.
    std::chrono::milliseconds age{0};
    std::uint32_t running{0};
    std::uint32_t queued{0};
    std::uint32_t slots{0};
    bool warm{false};
    bool leaving{false};
    std::vector<engine_version> versions;
    /// Hashes of recently cached prompt prefixes; the list may be incomplete.
    std::vector<std::uint64_t> cached_prefixes;
};

/// The state that an engine is to reach. Orders are idempotent.
struct engine_order {
    std::string server_url;
    std::vector<engine_version> versions;
    /// "serve", "prefill", "decode" or "idle".
    std::string role{"serve"};
    fencing_number fence;
};

struct order_receipt {
    server_start_id start;
    /// The largest fencing number that the engine has received, if it checks them.
    std::optional<fencing_number> newest_fence;
};

using load_callback = std::function<void(outcome<load_report>)>;
using order_callback = std::function<void(outcome<order_receipt>)>;

/// The operations of model engines. Callbacks run on the loop's thread, never from within the call.
struct engine_client {
    std::function<cancel_handle(engine_request, engine_callbacks)> start_completion;
    std::function<void(std::string server_url, load_callback)> poll_load;
    /// Fails with `conflict` if the engine has received a larger fencing number.
    std::function<void(engine_order, order_callback)> send_order;
};

} // namespace agatespar
