// The billing record of one request, with the costs of all its attempts.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/units.h>
#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar {

/// The cost of one attempt, cascade step or resumed stream.
struct attempt_cost {
    /// The names of model and version are empty for a plain service.
    model_name model;
    version_name version;
    token_count prompt_tokens;
    token_count answer_tokens;
    cost_units cost;
    MSGPACK_DEFINE_ARRAY(model, version, prompt_tokens, answer_tokens, cost)
};

enum class usage_outcome : std::uint8_t {
    answered = 1,
    failed = 2,
    caller_gone = 3,
};

/// Numbers the records of one VM's process from 1 without gaps, so that a reader can always detect duplicates.
struct usage_sequence {
    boot_id origin;
    std::uint64_t number{0};

    friend auto operator<=>(const usage_sequence&, const usage_sequence&) = default;
    friend bool operator==(const usage_sequence&, const usage_sequence&) = default;
    MSGPACK_DEFINE_ARRAY(origin, number)
};

struct usage_record {
    request_id request;
    client_account_id account;
    service_name service;
    std::vector<attempt_cost> attempts;
    usage_outcome result{usage_outcome::answered};
    wall_time finished;
    /// Set for a non-idempotent request: another VM may answer a repeated submission of its key, and bill it under the
    /// same request id.
    bool claimed{false};
    /// Set by the usage_outbox.
    usage_sequence sequence;
    MSGPACK_DEFINE_ARRAY(request, account, service, attempts, result, finished, claimed, sequence)
};

/// The stream of usage records; each payload is one record.
stream_name usage_stream();
/// The stream of roll-ups; each contains the totals up to an offset of the usage stream.
stream_name usage_totals_stream();

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::usage_outcome)
