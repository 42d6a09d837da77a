// Messages between a VM that handles a request and the owner of the ledger partition of the request's key.
#pragma once

#include <agatespar/ledger/ledger_records.h>
#include <agatespar/support/ids.h>
#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>

namespace agatespar {

/// Result of a ledger operation.
enum class ledger_verdict : std::uint8_t {
    /// The claim holds the key; its offset in the log is the fencing number.
    granted = 1,
    /// Another claim holds the key, and its outcome may still be recorded.
    running = 2,
    /// The outcome of the key's request is recorded; the answer contains it.
    finished = 3,
    /// The claim was abandoned before it held the key, or all claims of the key were abandoned.
    abandoned = 4,
    /// The key is closed: its request has not run and never will.
    cancelled = 5,
    /// The key was used before for a request with a different content.
    key_reused = 6,
    /// A claim held the key, and the time to record its outcome has passed.
    outcome_unknown = 7,
    /// The log contains no claim of the key.
    not_claimed = 8,
    /// The owner cannot decide: it is not ready or overloaded, or the log does not answer.
    refused = 9,
    /// The record is in the log, or is not needed any more.
    recorded = 10,
    /// The key is older than the key window.
    too_old = 11,
};

enum class ledger_operation : std::uint8_t {
    claim = 1,
    abandon = 2,
    cancel = 3,
    record_outcome = 4,
    look_up = 5,
};

/// Sent as message_kind::claim_request.
struct ledger_request {
    ledger_operation operation{ledger_operation::look_up};
    /// Identifies the request; chosen by the client and returned in the answer.
    std::uint64_t request_number{0};
    /// The record to write, encoded by encode_record(). For a look-up: a cancel_record, which is not written.
    std::string record;
    /// How long the client waits for the answer, in milliseconds.
    std::uint32_t timeout_ms{0};
    MSGPACK_DEFINE_ARRAY(operation, request_number, record, timeout_ms)
};

/// Sent as message_kind::claim_verdict.
struct ledger_answer {
    std::uint64_t request_number{0};
    ledger_verdict verdict{ledger_verdict::refused};
    /// Set if the claim was granted.
    fencing_number fence;
    /// Set if `verdict` is `finished`.
    stored_outcome result;
    MSGPACK_DEFINE_ARRAY(request_number, verdict, fence, result)
};

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::ledger_verdict)
MSGPACK_ADD_ENUM(agatespar::ledger_operation)
