// The folded state of one ledger partition: the state of each key, as determined by the order of records in the log.
#pragma once

#include <agatespar/ledger/ledger_messages.h>
#include <agatespar/ledger/ledger_records.h>
#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/support/clock.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace agatespar {

/// State of a claim. Only the first occurrence of a claim in the log counts.
enum class claim_status : std::uint8_t {
    held = 1,
    lost = 2,
    abandoned = 3,
};

struct claim_entry {
    claim_id id;
    claim_status status{claim_status::lost};
    log_offset offset;
    wall_time expiry;
    MSGPACK_DEFINE_ARRAY(id, status, offset, expiry)
};

/// State of one key, folded from the log.
struct key_entry {
    wall_time key_time;
    /// Fingerprint of the key's first claim; never changes.
    std::optional<request_fingerprint> fingerprint;
    /// Claims in the order of their first occurrence.
    std::vector<claim_entry> claims;
    bool cancelled{false};
    /// Offset of the outcome record. The stored answer is not kept in memory.
    std::optional<log_offset> outcome_at;
    MSGPACK_DEFINE_ARRAY(key_time, fingerprint, claims, cancelled, outcome_at)
};

/// The folded state of a prefix of a partition's stream. Equal prefixes give equal states.
struct partition_state {
    /// The offset of the next record to fold.
    log_offset next{1};
    std::map<ledger_key, key_entry> keys;
    std::uint64_t malformed{0};
};

/// Folds the record at state.next.
void fold_record(partition_state& state, std::string_view payload);

/// Removes keys that are too old to be accepted again.
void remove_old_keys(partition_state& state, wall_time now, const ledger_settings& settings);

/// @return the state of a claim, or nothing if the folded prefix does not contain it.
std::optional<claim_status> status_of_claim(const partition_state& state, const ledger_key& key, claim_id id);

/// The verdict on a key or a claim according to the folded prefix.
struct key_evaluation {
    ledger_verdict verdict{ledger_verdict::not_claimed};
    /// Fencing number of the claim that holds the key.
    fencing_number fence;
    /// Set if `verdict` is `finished`: offset of the outcome record.
    log_offset outcome_at;
};

/// @return the verdict on a key, from the claims of all VMs.
key_evaluation evaluate_key(const partition_state& state, const ledger_key& key, wall_time now,
                            const ledger_settings& settings);

/// @return a verdict on a claim that no later record changes, or not_claimed if the claim would hold the key if it
/// were written now.
key_evaluation evaluate_claim(const partition_state& state, const claim_record& claim, wall_time now,
                              const ledger_settings& settings);

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::claim_status)
