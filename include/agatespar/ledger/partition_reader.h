// Follows one ledger partition's stream: recovery from a snapshot and its tail, gaps, and the read-back of appends.
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
    /// Recoveries that found a part of the stream trimmed away unread.
    std::uint64_t gaps{0};
};

/// What a reader can vouch for.
enum class window_state {
    /// Still reading.
    recovering,
    /// Part of the window was trimmed unread: a key without an entry may yet have been claimed.
    incomplete,
    complete,
};

/// Keeps the folded state of a partition. Lives in a shared pointer, as the log's callbacks may outlast its owner.
class partition_reader : public std::enable_shared_from_this<partition_reader> {
public:
    /// Tells that a pass through the stream ended. @param ok whether it reached the end that the log then had.
    using pass_callback = std::function<void(bool ok)>;

    partition_reader(event_loop& loop, log_service log, ledger_partition partition, ledger_settings settings,
                     pass_callback on_pass);

    /// Reads to the stream's end, after a recovery if one is due. A call during a pass starts another one after it.
    /// @return the number of the pass that is sure to see all records that stand in the log now.
    std::uint64_t catch_up();
    /// @return the number of the last pass that reached the stream's end.
    std::uint64_t passes() const { return passes_; }
    /// Stops all callbacks.
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
    /// Whether state_ is a true prefix to go on from.
    bool following_{false};
    /// Set while part of the window may be missing: when the missing part will have left the window.
    std::optional<wall_time> incomplete_until_;
    bool in_pass_{false};
    bool again_{false};
    bool stopped_{false};
    bool recovered_{false};
    std::uint64_t started_passes_{0};
    std::uint64_t passes_{0};
    partition_reader_counters counters_;
};

} // namespace agatespar
