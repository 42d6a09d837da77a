// The messages between a VM that handles a request and the owner of the request's ledger partition.
#pragma once

#include <agatespar/ledger/ledger_records.h>
#include <agatespar/support/ids.h>
#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>

namespace agatespar {

/// What a claim, a look-up or a cancel found.
enum class ledger_verdict : std::uint8_t {
    /// The claim holds the key; its offset is the fencing number.
    granted = 1,
    /// Another claim holds the key and may still bring an outcome.
    running = 2,
    /// The key has an outcome, which the answer carries.
    finished = 3,
    /// The claim was abandoned before it could hold the key, or every claim of the key was.
    abandoned = 4,
    /// The key is closed: it never ran and never will.
    cancelled = 5,
    /// The key belongs to a request of another content.
    key_reused = 6,
    /// A claim held the key, and no outcome can be expected any more.
    outcome_unknown = 7,
    /// No claim of the key stands in the log.
    not_claimed = 8,
    /// The owner cannot judge: it is not ready, overloaded, or the log does not answer.
    refused = 9,
    /// The record stands in the log.
    recorded = 10,
    /// The key is older than the window.
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
    /// Chosen by the client; the answer repeats it.
    std::uint64_t ticket{0};
    /// The record to write, as encode_record() gives it; for a look-up a cancel_record that is not written.
    std::string record;
    /// How long the client goes on waiting, in milliseconds.
    std::uint32_t patience_ms{0};
    MSGPACK_DEFINE_ARRAY(operation, ticket, record, patience_ms)
};

/// Sent as message_kind::claim_verdict.
struct ledger_answer {
    std::uint64_t ticket{0};
    ledger_verdict verdict{ledger_verdict::refused};
    /// Of a granted claim.
    fencing_number fence;
    /// Of a finished key.
    stored_outcome result;
    MSGPACK_DEFINE_ARRAY(ticket, verdict, fence, result)
};

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::ledger_verdict)
MSGPACK_ADD_ENUM(agatespar::ledger_operation)
