// What transparent requests and answers say about themselves, and the functions that read and write it on the wire.
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

/// A part of a prompt; requests with the same part share what a server keeps of it.
struct prompt_part {
    prompt_part_id id;
    token_count tokens;
};

/// What a client says of its request.
struct request_facts {
    request_id id;
    std::string host;
    std::optional<std::string> key;
    /// How long the client waits.
    std::optional<std::chrono::milliseconds> patience;
    /// The model that the client names; none if the router is to choose.
    std::optional<model_name> model;
    bool model_is_open{false};
    token_count prompt_tokens;
    token_count most_output_tokens;
    /// In order; the last one belongs to the request itself.
    std::vector<prompt_part> prompt;
    std::optional<std::string> session;
    /// The last event that the client has of a broken stream.
    std::optional<std::string> last_event;
};

/// What the router decides for one attempt.
struct attempt_facts {
    server_name server;
    std::optional<client_account_name> account;
    std::chrono::milliseconds left{0};
    /// Set if the router chose the model.
    std::optional<model_name> model;
    std::optional<std::string> last_event;
    /// 0 to 9, where 0 is first; none leaves it to the server.
    std::optional<int> urgency;
};

/// How busy a server says it is.
struct reported_load {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
};

/// What a server's answer says besides its status.
struct answer_facts {
    /// Proof that the request did not run at this server.
    bool not_run{false};
    /// Another server has the address now.
    bool is_other_server{false};
    std::optional<reported_load> load;
    /// The model's own opinion of its answer, 0 to 100.
    std::optional<int> confidence;
};

/// Reads and writes the wire. Plain functions without state.
struct gateway_protocol {
    /// The answer's field that repeats the request's id.
    std::string id_header;
    /// Path of a question that a living server answers at once, however busy it is.
    std::string probe_target;
    /// @return malformed if a field that decides what may be done can't be read.
    outcome<request_facts> (*read_request)(const http_request_head& head);
    /// @return the head to send, with the client's own fields where they are the client's to set.
    http_request_head (*write_attempt)(const http_request_head& head, const attempt_facts& attempt);
    answer_facts (*read_answer)(const http_answer_head& head);
};

} // namespace agatespar
