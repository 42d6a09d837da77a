// Messages by which a second VM holds a copy of a usage record until the log has confirmed the record.
#pragma once

#include <agatespar/ledger/usage_record.h>
#include <agatespar/support/ids.h>

#include <vector>

namespace agatespar {

/// Sent as message_kind::usage_hold to the VM that is to hold a copy of the record for the sender.
struct usage_hold {
    usage_record record;
    MSGPACK_DEFINE_ARRAY(record)
};

/// Sent as message_kind::usage_held by a holder to the VM that the record is held for.
struct usage_held {
    usage_sequence sequence;
    /// Set if the release is overdue: the receiver answers with a usage_release, or with another usage_hold.
    bool overdue{false};
    MSGPACK_DEFINE_ARRAY(sequence, overdue)
};

/// Sent as message_kind::usage_release to a holder: the log has confirmed these records.
struct usage_release {
    std::vector<usage_sequence> sequences;
    MSGPACK_DEFINE_ARRAY(sequences)
};

} // namespace agatespar
