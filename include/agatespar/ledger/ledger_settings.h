// Times and limits of the ledger. They must be the same on every VM.
#pragma once

#include <agatespar/support/clock.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace agatespar {

/// Number of ledger streams. Must not change: another number would assign keys to other streams.
inline constexpr std::uint32_t ledger_partition_count = 16;
/// Maximum rate of appends of all owners together; the log accepts several hundred appends per second.
inline constexpr std::int64_t ledger_appends_per_second = 200;

/// @param zones the number of zones; each zone has its own owner of each partition.
/// @return the interval between two appends of one owner that keeps all owners within `ledger_appends_per_second`.
constexpr std::chrono::milliseconds append_interval_for(std::size_t zones)
{
    const auto owners = static_cast<std::int64_t>(zones * ledger_partition_count);
    const std::chrono::milliseconds shared =
        std::chrono::milliseconds{std::chrono::seconds{owners}} / ledger_appends_per_second;
    return std::max(shared, std::chrono::milliseconds{100});
}

struct ledger_settings {
    /// Maximum age of accepted keys. Must be shorter than the log's retention by at least `window_slack`.
    std::chrono::milliseconds key_window{std::chrono::minutes{10}};
    /// Keys are remembered for this time beyond `key_window`, to cover claims in flight and clock differences.
    std::chrono::milliseconds window_slack{std::chrono::minutes{2}};
    /// Maximum difference between the clocks of VMs and callers.
    std::chrono::milliseconds max_clock_skew{std::chrono::seconds{2}};
    /// A claimant may dispatch only within this time after it created the claim.
    std::chrono::milliseconds claim_lifetime{std::chrono::seconds{30}};
    /// Maximum duration of a dispatched call; after that, a missing outcome is reported as unknown.
    std::chrono::milliseconds max_run_time{std::chrono::seconds{60}};
    /// Minimum interval between two appends of an owner. The first append after an idle time starts at once.
    std::chrono::milliseconds append_interval{append_interval_for(1)};
    /// Interval at which an idle owner reads its stream.
    std::chrono::milliseconds tail_interval{std::chrono::seconds{1}};
    /// A client sends its request to the next owner after this time without an answer.
    std::chrono::milliseconds owner_timeout{std::chrono::seconds{2}};
    /// Maximum number of records in one append.
    std::size_t max_batch_records{512};
    /// Maximum number of requests waiting at one owner; further requests are refused.
    std::size_t max_waiting{20'000};
    /// Minimum number of records after the last snapshot before the owner writes the next one. The number of keys in
    /// the partition is used instead if it is larger. After half of `key_window`, a snapshot is written in any case.
    std::size_t min_snapshot_tail{1'000};
};

} // namespace agatespar
