// The fold of one ledger partition: what the log's order says about each key.
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

/// How the first occurrence of one claim in the log ended.
enum class claim_fate : std::uint8_t {
    held = 1,
    lost = 2,
    abandoned = 3,
};

struct claim_entry {
    claim_id id;
    claim_fate fate{claim_fate::lost};
    log_offset offset;
    wall_time expiry;
    MSGPACK_DEFINE_ARRAY(id, fate, offset, expiry)
};

/// All that the log says about one key.
struct key_entry {
    wall_time key_time;
    /// Of the key's first claim, for good.
    std::optional<request_fingerprint> fingerprint;
    /// Claims in the order of their first occurrence.
    std::vector<claim_entry> claims;
    bool cancelled{false};
    /// Where the outcome's record stands; its body stays in the log.
    std::optional<log_offset> outcome_at;
    MSGPACK_DEFINE_ARRAY(key_time, fingerprint, claims, cancelled, outcome_at)
};

/// A prefix of a partition's stream, folded. Equal prefixes give equal states.
struct partition_state {
    /// The offset of the next record to fold.
    log_offset next{1};
    std::map<ledger_key, key_entry> keys;
    std::uint64_t malformed{0};
};

/// Folds the record at state.next.
void fold_record(partition_state& state, std::string_view payload);

/// Forgets keys that are too old to be accepted again.
void forget_old_keys(partition_state& state, wall_time now, const ledger_settings& settings);

/// @return how a claim ended, or nothing if the folded prefix does not contain it.
std::optional<claim_fate> fate_of_claim(const partition_state& state, const ledger_key& key, claim_id id);

/// What the folded prefix says about a key or a claim.
struct key_judgement {
    ledger_verdict verdict{ledger_verdict::not_claimed};
    /// Of the claim that holds the key.
    fencing_number fence;
    /// Of a finished key.
    log_offset outcome_at;
};

/// @return what is known of a key, by anybody's claims.
key_judgement judge_key(const partition_state& state, const ledger_key& key, wall_time now,
                        const ledger_settings& settings);

/// @return a verdict on a claim that no later record changes, or not_claimed if the claim would hold the key when it
/// is written now.
key_judgement judge_claim(const partition_state& state, const claim_record& claim, wall_time now,
                          const ledger_settings& settings);

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::claim_fate)
