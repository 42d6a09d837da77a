// Keeps a VM at the latest accepted configuration: tails the log as an owner, or follows its peers.
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

/// The streams of the log service that the configuration lives in.
inline const stream_name config_stream{"config"};
inline const stream_name config_snapshot_stream{"config-snapshot"};

struct config_reader_settings {
    boot_id self;
    /// How long a read waits at the log for the next record.
    std::chrono::milliseconds read_wait{2'000};
    /// How long past its wait a read may take before it is given up.
    std::chrono::milliseconds read_timeout{10'000};
    /// The first and the longest pause after a failed read.
    std::chrono::milliseconds min_retry{200};
    std::chrono::milliseconds max_retry{2'000};
    /// A follower that hears of no ready peer for this long reads the log itself.
    std::chrono::milliseconds peer_silence{3'000};
    /// A follower whose peers have all lost the log looks there itself this often.
    std::chrono::milliseconds stale_probe{30'000};
    /// A pull without an answer for this long is sent again, a few times.
    std::chrono::milliseconds pull_timeout{1'000};
    unsigned max_pulls{5};
};

/// What the reader asks of its daemon.
struct config_reader_seams {
    log_service log;
    /// Sends a pull to a peer; the answer, if any, comes back by take_state().
    std::function<void(boot_id, const config_pull&)> send_pull;
    /// Hands the zone's other VMs what an owner just read, or does nothing.
    std::function<void(const config_state&)> announce;
    /// Tells of each new configuration, once a batch of records.
    std::function<void(std::shared_ptr<const configuration>)> changed;
};

/// Counts since the start.
struct config_reader_counters {
    std::uint64_t accepted{0};
    std::uint64_t conflicts{0};
    std::uint64_t invalid{0};
    std::uint64_t malformed{0};
    std::uint64_t repeated{0};
    std::uint64_t too_new{0};
    /// Pulls that this VM sent and answered.
    std::uint64_t pulls{0};
    std::uint64_t pulls_answered{0};
    std::uint64_t states_adopted{0};
    std::uint64_t states_refused{0};
    /// Peers that held the same number with another hash, a broken invariant.
    std::uint64_t hash_mismatches{0};
    std::uint64_t reads{0};
    std::uint64_t read_errors{0};
    /// Bytes of records read from the log, and of records and snapshots taken from peers.
    std::uint64_t log_bytes{0};
    std::uint64_t peer_bytes{0};
    std::uint64_t snapshots_loaded{0};
    /// Reads that found their offset trimmed away.
    std::uint64_t trimmed{0};
    /// Reads that found the log shorter than what was folded already.
    std::uint64_t log_regressions{0};
};

/// Folds the `config` stream, or pulls from a peer that is ahead. Its number never falls.
class config_reader {
public:
    /// @param loop must outlive the reader. @param random jitters the retries.
    config_reader(event_loop& loop, config_reader_seams seams, const config_reader_settings& settings,
                  std::mt19937_64& random);
    config_reader(const config_reader&) = delete;
    config_reader& operator=(const config_reader&) = delete;
    ~config_reader();

    /// Starts as a follower.
    void start();
    /// Makes this VM an owner, which tails the log, or a follower.
    void set_tailing(bool tailing);
    /// Takes note of what a peer holds, and pulls if that is newer.
    void note_peer(const config_mark& mark);
    /// Takes over what a peer or an owner sent.
    void take_state(const config_state& message);
    /// @return the answer to a peer's pull.
    config_state answer(const config_pull& pull);

    const std::shared_ptr<const configuration>& current() const { return state_.current; }
    const fold_state& state() const { return state_; }
    const config_reader_counters& counters() const { return counters_; }
    /// @return what this VM holds, for its heartbeats.
    config_mark mark() const;
    /// @return whether the head of the log or a ready peer's state was ever reached.
    bool ready() const { return ready_; }
    bool tailing() const { return tailing_; }
    /// @return how long ago this VM last knew of the log's head; a service's cut-off limit counts from there.
    duration contact_age() const;

private:
    void schedule_tick();
    void step();
    bool wants_log() const;
    bool peers_silent() const;

    std::uint64_t begin_call(std::chrono::milliseconds timeout);
    bool is_current(std::uint64_t call) const { return call_running_ && call == call_; }
    void end_call(std::chrono::milliseconds pause);
    void call_failed(const error& problem);
    void read_log();
    void take_batch(const read_batch& batch);
    /// @return whether the batch went on from where the state ends.
    bool fold_batch(const read_batch& batch);
    void load_snapshot();
    void take_snapshot(const found_snapshot& found);

    bool is_behind(const config_mark& mark) const;
    void pull_from(boot_id peer);
    /// Asks the peer that is ahead again if its answer got lost.
    void repeat_pull();
    /// Takes over from a ready peer that is not ahead how fresh its state is.
    void trust(const config_mark& mark);
    void count(const fold_result& result);
    void count(adoption result, const config_mark& mark);
    void publish(const std::shared_ptr<const configuration>& before);
    void announce_records();
    void note_contact(steady_time when);
    void become_ready();

    event_loop& loop_;
    config_reader_seams seams_;
    config_reader_settings settings_;
    std::mt19937_64& random_;
    fold_state state_;
    record_history history_;
    config_reader_counters counters_;
    bool tailing_{false};
    bool ready_{false};
    /// The state can't be reached from the log's records alone.
    bool need_snapshot_{true};
    /// The log's records after the state's offset are partly expired.
    bool trimmed_{false};
    /// The log holds less than was folded already.
    bool log_regressed_{false};
    /// Calls to the log are numbered, so that an answer after its timeout is told apart.
    std::uint64_t call_{0};
    bool call_running_{false};
    timer_id call_timer_;
    timer_id tick_timer_;
    std::size_t read_limit_;
    std::chrono::milliseconds retry_;
    steady_time next_call_;
    steady_time last_peer_;
    steady_time last_contact_;
    std::optional<steady_time> pull_sent_;
    /// The peer that is known to be ahead, and how often it was asked.
    std::optional<config_mark> ahead_;
    unsigned pulls_to_ahead_{0};
    log_offset announced_;
    std::shared_ptr<const bool> alive_;
};

} // namespace agatespar
