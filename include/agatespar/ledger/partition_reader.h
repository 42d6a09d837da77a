// Reads one ledger partition's stream: recovery from a snapshot and the records after it, trimmed records, and the
// read-back of appends.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/ledger/partition_state.h>
#include <agatespar/platform/log_service.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace agatespar {

struct partition_reader_counters {
    std::uint64_t reads{0};
    std::uint64_t failed_reads{0};
    std::uint64_t folded_records{0};
    std::uint64_t recoveries{0};
    /// Number of times that records had been trimmed from the stream before they were read.
    std::uint64_t gaps{0};
};

/// How much of the key window a reader has read.
enum class window_state {
    /// The recovery has not finished.
    recovering,
    /// Part of the window was trimmed before it was read: a key without an entry may have been claimed.
    incomplete,
    complete,
};

/// Keeps the folded state of a partition. Must be owned by a shared pointer: the log's callbacks extend its lifetime
/// beyond that of the claim_owner.
class partition_reader : public std::enable_shared_from_this<partition_reader> {
public:
    /// Called at the end of each pass through the stream. @param ok whether the pass reached the end of the stream.
    using pass_callback = std::function<void(bool ok)>;

    partition_reader(event_loop& loop, log_service log, ledger_partition partition, ledger_settings settings,
                     pass_callback on_pass);

    /// Starts a pass, which reads to the end of the stream, after a recovery if one is needed. A call during a pass
    /// starts another pass after it.
    /// @return the number of the first pass that is certain to read all records that are in the log now.
    std::uint64_t catch_up();
    /// @return the number of the last pass that reached the end of the stream.
    std::uint64_t last_finished_pass() const { return last_finished_pass_; }
    /// Suppresses all further callbacks.
    void stop() { stopped_ = true; }

    window_state window(wall_time now) const;
    partition_state& state() { return state_; }
    const partition_state& state() const { return state_; }
    const partition_reader_counters& counters() const { return counters_; }

private:
    void start_pass();
    void end_pass(bool ok);
    void read(const read_request& request, std::function<void(read_batch)> callback);
    void find_snapshot();
    void read_snapshot(const read_batch& last);
    void collect_snapshot(std::uint32_t count, std::vector<std::string> payloads, log_offset from);
    void begin_tail(partition_state state);
    void read_tail();
    void fold_tail(const read_batch& batch);
    void handle_gap(log_offset first_retained);

    event_loop& loop_;
    log_service log_;
    ledger_partition partition_;
    ledger_settings settings_;
    pass_callback on_pass_;
    partition_state state_;
    /// Whether state_ is a folded prefix of the stream, so that the next pass can continue from state_.next.
    bool state_usable_{false};
    /// Set while part of the window may be missing: the time from which all missing records are outside the window.
    std::optional<wall_time> incomplete_until_;
    bool in_pass_{false};
    bool pass_requested_{false};
    bool stopped_{false};
    bool recovered_{false};
    std::uint64_t started_passes_{0};
    std::uint64_t last_finished_pass_{0};
    partition_reader_counters counters_;
};

} // namespace agatespar
