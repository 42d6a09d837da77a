// The messages by which a second VM holds a usage record until the log has it.
#pragma once

#include <agatespar/ledger/usage_record.h>
#include <agatespar/support/ids.h>

#include <vector>

namespace agatespar {

/// Sent as message_kind::usage_hold to the VM that is to hold the record for the sender.
struct usage_hold {
    usage_record record;
    MSGPACK_DEFINE_ARRAY(record)
};

/// Sent as message_kind::usage_held back to the VM that holds are kept for.
struct usage_held {
    usage_sequence sequence;
    /// Set when the release is overdue: the receiver answers with a release, or with the hold again.
    bool overdue{false};
    MSGPACK_DEFINE_ARRAY(sequence, overdue)
};

/// Sent as message_kind::usage_release to a holder: the log has these records.
struct usage_release {
    std::vector<usage_sequence> sequences;
    MSGPACK_DEFINE_ARRAY(sequences)
};

} // namespace agatespar
