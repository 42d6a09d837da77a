// Keeps a VM's configuration up to date: owners read the log continuously, the other VMs pull from their peers.
#pragma once

#include <agatespar/config/fold.h>
#include <agatespar/config/messages.h>
#include <agatespar/config/peer_exchange.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/log_service.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace agatespar {

struct found_snapshot;

/// The streams of the log service that hold the configuration's patches and snapshots.
inline const stream_name config_stream{"config"};
inline const stream_name config_snapshot_stream{"config-snapshot"};

struct config_reader_settings {
    /// The id of this VM's process.
    boot_id self;
    /// How long a read at the end of the stream waits for the next record.
    std::chrono::milliseconds read_wait{2'000};
    /// Time-out of a read, in addition to `read_wait`.
    std::chrono::milliseconds read_timeout{10'000};
    /// Initial and maximum delay after a failed read. The delay doubles with each failure.
    std::chrono::milliseconds min_retry_delay{200};
    std::chrono::milliseconds max_retry_delay{2'000};
    /// A follower that has received no mark of a ready peer for this long reads the log itself.
    std::chrono::milliseconds peer_timeout{3'000};
    /// A follower reads the log itself once its latest known contact with the log is older than this, which is the case
    /// if all its peers lost contact. Also the interval of these reads while they fail, and of reads while the fold is
    /// stopped by a record that requires newer fold rules than this program has (see fold_rules_version).
    std::chrono::milliseconds stale_read_interval{30'000};
    /// A pull that has not been answered within this time is sent again, up to `max_pulls` pulls in total.
    std::chrono::milliseconds pull_timeout{1'000};
    unsigned max_pulls{5};
};

/// The log and the callbacks that the daemon provides for the reader.
struct config_reader_environment {
    log_service log;
    /// Sends a pull to a peer. The answer, if any, is passed to handle_state().
    std::function<void(boot_id, const config_pull&)> send_pull;
    /// Sends records that an owner has just read to the zone's other VMs. May be empty.
    std::function<void(const config_state&)> announce;
    /// Called with the new configuration, at most once per batch of records.
    std::function<void(std::shared_ptr<const configuration>)> changed;
};

/// Event counts since the start of the process.
struct config_reader_counters {
    /// Patches by verdict; see verdict_kind.
    std::uint64_t accepted{0};
    std::uint64_t conflicts{0};
    std::uint64_t invalid{0};
    std::uint64_t malformed{0};
    /// Patches that already had a verdict.
    std::uint64_t repeated{0};
    /// Records that require newer fold rules than this program has.
    std::uint64_t too_new{0};
    /// Pulls that this VM sent, and pulls of peers that it answered.
    std::uint64_t pulls{0};
    std::uint64_t pulls_answered{0};
    std::uint64_t states_adopted{0};
    std::uint64_t states_refused{0};
    /// States of peers with the same number but another hash, which violates an invariant.
    std::uint64_t hash_mismatches{0};
    std::uint64_t reads{0};
    std::uint64_t read_errors{0};
    /// Bytes of records read from the log, and of records and snapshots received from peers.
    std::uint64_t log_bytes{0};
    std::uint64_t peer_bytes{0};
    std::uint64_t snapshots_loaded{0};
    /// Reads whose offset had been trimmed from the log.
    std::uint64_t trimmed{0};
    /// Reads that found the log to end before the last folded offset.
    std::uint64_t log_regressions{0};
};

/// Folds the `config` stream, i.e. applies its records in order to the configuration, or pulls the records from a peer
/// with a newer configuration. A VM is either an owner, which reads the log continuously, or a follower, which normally
/// pulls from peers. The number of the current configuration never decreases.
class config_reader {
public:
    /// @param loop must outlive the reader. @param random provides the jitter of the retries; must outlive the reader.
    config_reader(event_loop& loop, config_reader_environment environment, const config_reader_settings& settings,
                  std::mt19937_64& random);
    config_reader(const config_reader&) = delete;
    config_reader& operator=(const config_reader&) = delete;
    ~config_reader();

    /// Starts as a follower.
    void start();
    /// Makes this VM an owner, which reads the log continuously, or a follower.
    void set_tailing(bool tailing);
    /// Processes the mark of a peer, and pulls from the peer if its state is newer.
    void handle_peer_mark(const config_mark& mark);
    /// Applies the state that a peer sent, as the answer to a pull or as an owner's announcement.
    void handle_state(const config_state& message);
    /// @return the answer to a peer's pull.
    config_state answer(const config_pull& pull);

    const std::shared_ptr<const configuration>& current() const { return state_.current; }
    const fold_state& state() const { return state_; }
    const config_reader_counters& counters() const { return counters_; }
    /// @return the description of this VM's state, for its heartbeats.
    config_mark mark() const;
    /// @return whether this VM has ever reached the head of the log or the state of a ready peer.
    bool ready() const { return ready_; }
    bool tailing() const { return tailing_; }
    /// @return the time since this VM's state was last known to match the head of the log, by its own reads or a peer's
    /// mark. A service's cut-off limit is compared with it.
    duration contact_age() const;

private:
    void schedule_check();
    void read_log_if_due();
    bool should_read_log() const;
    bool peers_timed_out() const;

    std::uint64_t begin_call(std::chrono::milliseconds timeout);
    bool is_current(std::uint64_t call) const { return call_in_progress_ && call == last_call_; }
    void end_call(std::chrono::milliseconds pause);
    void call_failed(const error& problem);
    void read_log();
    void handle_batch(const read_batch& batch);
    /// @return whether no record is missing between the state and the batch.
    bool fold_batch(const read_batch& batch);
    void load_snapshot();
    void handle_snapshot(const found_snapshot& found);

    bool is_behind(const config_mark& mark) const;
    void pull_from(boot_id peer);
    /// Pulls from the peer with the newer state, again if its last answer was lost.
    void retry_pull();
    /// Adopts the contact age of a ready peer whose state is not newer than this VM's.
    void adopt_contact_age(const config_mark& mark);
    void count(const fold_result& result);
    void count(adoption_result result, const config_mark& mark);
    void publish(const std::shared_ptr<const configuration>& before);
    void announce_records();
    void update_last_contact(steady_time when);
    void set_ready();

    event_loop& loop_;
    config_reader_environment environment_;
    config_reader_settings settings_;
    std::mt19937_64& random_;
    fold_state state_;
    record_history history_;
    config_reader_counters counters_;
    bool tailing_{false};
    bool ready_{false};
    /// The log's records may not suffice; the newest snapshot is to be read first.
    bool need_snapshot_{true};
    /// Some of the log's records after the state's offset have expired.
    bool trimmed_{false};
    /// The log ends before the last folded offset.
    bool log_regressed_{false};
    /// Number of the last call to the log, by which an answer that arrives after its time-out is recognized.
    std::uint64_t last_call_{0};
    bool call_in_progress_{false};
    timer_id call_timer_;
    timer_id check_timer_;
    std::size_t read_limit_;
    std::chrono::milliseconds retry_delay_;
    steady_time next_call_at_;
    steady_time last_ready_peer_at_;
    steady_time last_contact_at_;
    std::optional<steady_time> pull_sent_at_;
    /// A peer that has a newer state, and the number of pulls that it was sent.
    std::optional<config_mark> newer_peer_;
    unsigned pulls_to_newer_peer_{0};
    /// The last offset that was announced to the zone.
    log_offset announced_offset_;
    std::shared_ptr<const bool> alive_;
};

} // namespace agatespar
