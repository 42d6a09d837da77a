// The times and bounds of the ledger, the same on every VM.
#pragma once

#include <agatespar/support/clock.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace agatespar {

/// The fixed number of ledger streams; changing it would move keys between streams.
inline constexpr std::uint32_t ledger_partition_count = 16;
/// Appends a second that all owners together may start, of the several hundred that the log takes.
inline constexpr std::int64_t ledger_appends_per_second = 200;

/// @param zones the number of zones, each of which has an owner of its own for each partition.
/// @return the time between two appends of one owner that keeps all of them within the log's rate.
constexpr std::chrono::milliseconds append_interval_for(std::size_t zones)
{
    const auto owners = static_cast<std::int64_t>(zones * ledger_partition_count);
    const std::chrono::milliseconds shared =
        std::chrono::milliseconds{std::chrono::seconds{owners}} / ledger_appends_per_second;
    return std::max(shared, std::chrono::milliseconds{100});
}

struct ledger_settings {
    /// Keys are accepted up to this age. Must stay below the log's retention by at least window_slack.
    std::chrono::milliseconds key_window{std::chrono::minutes{10}};
    /// Keys are remembered this much longer than they are accepted; covers claims under way and clock differences.
    std::chrono::milliseconds window_slack{std::chrono::minutes{2}};
    /// How far VMs' and callers' clocks may differ.
    std::chrono::milliseconds clock_allowance{std::chrono::seconds{2}};
    /// A claimant dispatches within this time of making its claim, or never.
    std::chrono::milliseconds claim_lifetime{std::chrono::seconds{30}};
    /// How long a dispatched call may take before a missing outcome is reported as unknown.
    std::chrono::milliseconds max_run_time{std::chrono::seconds{60}};
    /// A partition's owner starts at most one append in this time; the first after a pause goes out at once.
    std::chrono::milliseconds append_interval{append_interval_for(1)};
    /// An owner with nothing to do reads its stream this often.
    std::chrono::milliseconds tail_interval{std::chrono::seconds{1}};
    /// A client asks the next owner after this time without an answer.
    std::chrono::milliseconds ask_timeout{std::chrono::seconds{2}};
    /// Records that one append carries.
    std::size_t max_batch_records{512};
    /// Records that wait at one owner; more are refused.
    std::size_t max_waiting{20'000};
    /// Records behind the last snapshot before the owner writes the next.
    std::size_t min_snapshot_tail{1'000};
};

} // namespace agatespar
