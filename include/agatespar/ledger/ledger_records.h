// Records of the ledger streams: which VM may run a non-idempotent request, and the outcome of the run.
#pragma once

#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/wire/codec.h>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace agatespar {

/// Larger bodies are not stored; repeated submissions of the key then get the status without the body.
inline constexpr std::size_t max_stored_body_bytes = 16 * 1024;

using ledger_partition = strong<struct ledger_partition_tag, std::uint32_t>;

/// An idempotency key, qualified by the client account because callers choose keys independently.
struct ledger_key {
    client_account_id account;
    idempotency_key key;

    friend auto operator<=>(const ledger_key&, const ledger_key&) = default;
    friend bool operator==(const ledger_key&, const ledger_key&) = default;
    MSGPACK_DEFINE_ARRAY(account, key)
};

/// Identifies one attempt of one VM's process to claim a key. Only that process may dispatch under the claim.
struct claim_id {
    boot_id claimant;
    std::uint64_t serial{0};

    friend auto operator<=>(const claim_id&, const claim_id&) = default;
    friend bool operator==(const claim_id&, const claim_id&) = default;
    MSGPACK_DEFINE_ARRAY(claimant, serial)
};

/// Requests the right to dispatch; the first claim of a key in log order gets it.
struct claim_record {
    ledger_key key;
    claim_id id;
    request_id request;
    request_fingerprint fingerprint;
    /// When the caller created the key.
    wall_time key_time;
    /// When the claimant created the claim.
    wall_time written;
    /// The claimant does not dispatch after this time.
    wall_time expiry;
    MSGPACK_DEFINE_ARRAY(key, id, request, fingerprint, key_time, written, expiry)
};

/// States that the claimant has not dispatched under the claim and never will.
struct abandoned_record {
    ledger_key key;
    claim_id id;
    wall_time key_time;
    MSGPACK_DEFINE_ARRAY(key, id, key_time)
};

/// Closes a key permanently, unless a claim holds it.
struct cancel_record {
    ledger_key key;
    wall_time key_time;
    MSGPACK_DEFINE_ARRAY(key, key_time)
};

/// The answer to repeated submissions of a key.
struct stored_outcome {
    /// The request that ran; the run is billed under this id.
    request_id request;
    std::uint16_t status{0};
    std::string content_type;
    std::string body;
    /// Set if the body exceeded `max_stored_body_bytes`.
    bool body_omitted{false};
    MSGPACK_DEFINE_ARRAY(request, status, content_type, body, body_omitted)
};

struct outcome_record {
    ledger_key key;
    claim_id id;
    stored_outcome result;
    MSGPACK_DEFINE_ARRAY(key, id, result)
};

using ledger_record = std::variant<claim_record, abandoned_record, cancel_record, outcome_record>;

/// @return the record as a payload for the log.
std::string encode_record(const ledger_record& record);
/// @param payload untrusted input. @return the record, or malformed.
outcome<ledger_record> decode_record(std::string_view payload);
/// @return the key that a record refers to.
const ledger_key& key_of(const ledger_record& record);

/// @return the partition that a key belongs to, the same on every VM.
ledger_partition partition_of(const ledger_key& key);
/// @return the stream of a partition's records.
stream_name ledger_stream(ledger_partition partition);
/// @return the stream of a partition's snapshots.
stream_name ledger_snapshot_stream(ledger_partition partition);

} // namespace agatespar
