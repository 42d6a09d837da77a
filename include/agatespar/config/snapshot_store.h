// Reads and writes the `config-snapshot` stream.
#pragma once

#include <agatespar/config/config_reader.h>
#include <agatespar/config/fold.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/log_service.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace agatespar {

/// The newest readable snapshot, if there is any.
struct found_snapshot {
    std::optional<config_snapshot> snapshot;
    /// Bytes of all records that were read to find it.
    std::size_t bytes{0};
};

/// Finds the newest snapshot that this program can parse. Skips a limited number of newer ones that it can't.
void read_newest_snapshot(const log_service& log, std::function<void(outcome<found_snapshot>)> callback);

struct snapshot_writer_settings {
    /// A new snapshot is written once this many records follow the newest one.
    std::uint64_t max_records{256};
    /// A new snapshot is written once the newest one is older than this, even if no record follows it, since the
    /// records of the snapshot stream expire too. Much shorter than the log's retention.
    std::chrono::milliseconds max_age{std::chrono::hours{6}};
    /// Interval at which the writer checks whether to write a snapshot.
    std::chrono::milliseconds check_interval{10'000};
    /// A writer waits for a random time up to this before it writes, so that usually only one of the VMs writes.
    std::chrono::milliseconds max_write_delay{60'000};
};

struct snapshot_writer_counters {
    std::uint64_t written{0};
    /// Skipped because another VM had written one in the meantime.
    std::uint64_t skipped{0};
    std::uint64_t failed{0};
    std::uint64_t bytes_read{0};
};

/// Writes a snapshot when the newest one is too old or too many records follow it. Runs on every VM, but writes only
/// while the VM is an owner, i.e. while its config_reader reads the log continuously.
class snapshot_writer {
public:
    /// All references must outlive the writer.
    snapshot_writer(event_loop& loop, log_service log, const config_reader& reader,
                    const snapshot_writer_settings& settings, std::mt19937_64& random);
    snapshot_writer(const snapshot_writer&) = delete;
    snapshot_writer& operator=(const snapshot_writer&) = delete;
    ~snapshot_writer();

    void start();
    const snapshot_writer_counters& counters() const { return counters_; }

private:
    void check();
    bool is_due() const;
    void write_if_still_due(const outcome<found_snapshot>& found);
    void set_newest(const config_snapshot& snapshot);

    event_loop& loop_;
    log_service log_;
    const config_reader& reader_;
    snapshot_writer_settings settings_;
    std::mt19937_64& random_;
    snapshot_writer_counters counters_;
    /// Offset and time of the newest snapshot that this VM has read or written.
    log_offset newest_offset_;
    wall_time newest_written_at_;
    bool write_pending_{false};
    timer_id timer_;
    std::shared_ptr<const bool> alive_;
};

} // namespace agatespar
