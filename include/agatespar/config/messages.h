// The messages by which VMs exchange the accepted configuration.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar {

/// Describes the state of a VM. Sent with heartbeats, so that VMs with an older state detect that they are behind.
struct config_mark {
    /// The VM to pull from.
    boot_id holder;
    config_number number;
    std::uint64_t chain_hash{0};
    /// The last folded offset.
    log_offset covers;
    /// False until the holder has reached the head of the log or the state of a ready peer.
    bool ready{false};
    /// Time since the holder's state was last known to match the head of the log, by its own reads or by a peer's mark.
    std::uint64_t contact_age_ms{0};

    MSGPACK_DEFINE_ARRAY(holder, number, chain_hash, covers, ready, contact_age_ms)
};

/// Requests the records after an offset. Kind: config_pull.
struct config_pull {
    log_offset covers;

    MSGPACK_DEFINE_ARRAY(covers)
};

/// One record of the `config` stream, unchanged.
struct config_record {
    log_offset offset;
    std::string payload;

    MSGPACK_DEFINE_ARRAY(offset, payload)
};

/// The records up to the mark, or a snapshot if the sender no longer keeps the records. Kind: config_state.
struct config_state {
    config_mark mark;
    /// Consecutive records that end with mark.covers.
    std::vector<config_record> records;
    /// In the format of the `config-snapshot` stream; empty if the records suffice.
    std::string snapshot;

    MSGPACK_DEFINE_ARRAY(mark, records, snapshot)
};

} // namespace agatespar
