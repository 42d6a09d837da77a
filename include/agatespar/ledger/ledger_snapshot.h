// Snapshots of a ledger partition, so that a new owner does not need to read all records within the key window.
#pragma once

#include <agatespar/ledger/partition_state.h>
#include <agatespar/support/outcome.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespar {

/// A part of a snapshot. The parts are written in one append and have consecutive offsets.
struct snapshot_chunk {
    std::uint32_t index{0};
    std::uint32_t count{1};
    /// The offset of the first record that the snapshot does not cover.
    log_offset next;
    std::vector<std::pair<ledger_key, key_entry>> keys;
    MSGPACK_DEFINE_ARRAY(index, count, next, keys)
};

/// @return a snapshot's payloads, in order.
std::vector<std::string> encode_snapshot(const partition_state& state);
/// @param payload untrusted input. @return the number of parts of the snapshot that ends with this payload.
outcome<std::uint32_t> snapshot_size(std::string_view last_payload);
/// @param payloads untrusted input: all parts in order. @return the state, or malformed.
outcome<partition_state> decode_snapshot(const std::vector<std::string>& payloads);

} // namespace agatespar
