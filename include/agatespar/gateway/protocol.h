// Metadata of transparent requests and answers, and the functions that read and write it in HTTP headers.
#pragma once

#include <agatespar/http/message.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/support/units.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

using prompt_part_id = strong<struct prompt_part_id_tag, std::string>;

/// A part of a prompt. Requests with the same part can share a server's cached state for it.
struct prompt_part {
    prompt_part_id id;
    token_count tokens;
};

/// Metadata that a client sends with its request.
struct request_metadata {
    request_id id;
    std::string host;
    std::optional<std::string> key;
    /// How long the client waits for the answer.
    std::optional<std::chrono::milliseconds> client_timeout;
    /// The model that the client names; none if the router is to choose.
    std::optional<model_name> model;
    /// The client explicitly leaves the choice of the model to the router.
    bool accepts_any_model{false};
    token_count prompt_tokens;
    token_count max_output_tokens;
    /// The parts of the prompt in order; the last one is specific to this request.
    std::vector<prompt_part> prompt;
    std::optional<std::string> session;
    /// Id of the last event that the client received before its stream broke.
    std::optional<std::string> last_event;
};

/// Metadata that the router sends to a server with one attempt.
struct attempt_metadata {
    server_name server;
    std::optional<client_account_name> account;
    /// Time until the request's deadline.
    std::chrono::milliseconds left{0};
    /// Set if the router chose the model.
    std::optional<model_name> model;
    /// Id of the event after which the server is to resume the stream.
    std::optional<std::string> last_event;
    /// 0 to 9, where 0 is the most urgent; without a value the server decides.
    std::optional<int> urgency;
};

/// Load of a server, as reported in its answer.
struct reported_load {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    /// How long work takes at the server at this moment, in percent of the usual time; nothing if it does not say.
    std::optional<std::uint32_t> slowness_percent;
};

/// Metadata of a server's answer, besides its status.
struct answer_metadata {
    /// The answer proves that this server did not run the request.
    bool not_run{false};
    /// The address now belongs to another server than the one the request was meant for.
    bool answered_by_other_server{false};
    /// The answer bears the server's own mark. A success without it is not the server's.
    bool is_marked{false};
    /// The server says that it is shutting down and must get no new requests.
    bool leaving{false};
    std::optional<reported_load> load;
    /// The text of a load report that cannot be read, as a whole or in its slowness.
    std::optional<std::string> unreadable_load;
    /// The model's own estimate of its answer's quality, 0 to 100.
    std::optional<int> confidence;
};

/// Reads and writes metadata in HTTP headers. The functions have no state.
struct gateway_protocol {
    /// Header of an answer that carries the request's id.
    std::string id_header;
    /// Target of a health probe, which a server that is up answers at once, whatever its load.
    std::string probe_target;
    /// @return the metadata, or `malformed` if a field can't be read that determines how the request may be handled.
    outcome<request_metadata> (*read_request)(const http_request_head& head);
    /// @return the head to send: the client's header, with the fields replaced that only the router may set.
    http_request_head (*write_attempt)(const http_request_head& head, const attempt_metadata& attempt);
    answer_metadata (*read_answer)(const http_answer_head& head);
};

} // namespace agatespar
