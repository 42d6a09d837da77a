// Folds the usage stream into totals per client account, counting each request once.
#pragma once

#include <agatespar/ledger/usage_record.h>
#include <agatespar/platform/log_service.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/support/units.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace agatespar {

/// Billed usage of one client account.
struct account_usage {
    std::uint64_t requests{0};
    std::uint64_t attempts{0};
    token_count prompt_tokens;
    token_count answer_tokens;
    cost_units cost;
    MSGPACK_DEFINE_ARRAY(requests, attempts, prompt_tokens, answer_tokens, cost)
};

struct usage_totals {
    std::map<client_account_id, account_usage> accounts;
    std::uint64_t duplicates{0};
    std::uint64_t malformed{0};
    /// Number of records that the log trimmed before any fold read them; zero while the totals are complete.
    std::uint64_t lost_to_trimming{0};
    MSGPACK_DEFINE_ARRAY(accounts, duplicates, malformed, lost_to_trimming)
};

/// The record numbers seen from one origin, as gap-free ranges: a single range, except for records in flight.
struct seen_numbers {
    /// From each range's first number to its last.
    std::map<std::uint64_t, std::uint64_t> ranges;
    /// When the latest request of the origin finished.
    wall_time latest;
    MSGPACK_DEFINE_ARRAY(ranges, latest)

    /// @return whether the number is new.
    bool insert(std::uint64_t number);
};

/// The folded state of a prefix of the usage stream. Equal prefixes give equal states.
struct usage_fold_state {
    /// The offset of the next record to fold.
    log_offset next{1};
    usage_totals totals;
    /// Detects duplicate records of an origin. Takes little memory, as the numbers of an origin have no gaps.
    std::map<boot_id, seen_numbers> origins;
    /// Hashes of the latest claimed requests, oldest first. Needed because two VMs may bill the same request.
    std::deque<std::uint64_t> claimed_requests;
    /// The same hashes, for look-ups.
    std::unordered_set<std::uint64_t> claimed_index;
};

/// An origin is removed when its latest request finished this long before the newest one. No record arrives that late.
inline constexpr std::chrono::hours origin_retention{24 * 7};
/// Number of claimed requests whose hashes are kept: more than there are within the key window at the peak rate.
inline constexpr std::size_t max_claimed_requests = 400'000;

/// Folds one record. @return whether it was billed; false for a duplicate.
bool fold_usage_record(usage_fold_state& state, const usage_record& record,
                       std::size_t claimed_limit = max_claimed_requests);
/// Folds the record at state.next.
void fold_usage_payload(usage_fold_state& state, std::string_view payload);

/// @return the totals of records from the start of the usage stream.
usage_totals fold_usage(const std::vector<log_record>& records);

/// @return the state as a payload for the totals stream.
std::string encode_usage_rollup(const usage_fold_state& state);
/// @param payload untrusted input. @return the state, or malformed.
outcome<usage_fold_state> decode_usage_rollup(std::string_view payload);

} // namespace agatespar
