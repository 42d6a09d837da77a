// Follows a keyed topic of the platform's store: reads the newest record of each key, then every change.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/kernel/event_loop.h>

#include <chrono>
#include <deque>
#include <functional>
#include <limits>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace agatespar {

struct follower_settings {
    fleet_topic topic{fleet_topic::operator_orders};
    /// How long the store may hold a read open until a new record arrives (long polling).
    std::chrono::milliseconds wait{std::chrono::seconds{30}};
    /// The same for a read right after one that returned records, or while the store is slow. A slow store may miss a
    /// record that is written just after the read arrived, and hold the read open until this time has passed.
    std::chrono::milliseconds short_wait{1000};
    /// The store counts as slow if its answer takes longer than the wait plus this time. A normal answer takes a few
    /// milliseconds.
    std::chrono::milliseconds slow_answer_margin{100};
    /// Delay between an answered read and the next one, so that one call returns several records written in succession.
    std::chrono::milliseconds poll_interval{0};
    /// How long after a restoration of the store the records of its copy are not trusted to be the newest, as operators
    /// and servers write again what the copy lacks. Entries of servers are back about two seconds after the store.
    std::chrono::milliseconds restore_grace{2500};
    /// A record with a larger value counts as the removal of its key: nobody uses such a value, so it is neither kept
    /// nor forwarded.
    std::size_t max_value_bytes{std::numeric_limits<std::size_t>::max()};
    /// The topic is expected to have no records yet: following starts at offset 0 without reading the newest records
    /// first. Records that exist nevertheless are read as changes.
    bool starts_empty{false};
};

struct follower_callbacks {
    /// Called when a key has a new record or its record was removed.
    std::function<void(const keyed_record& record)> changed;
    /// Called once, when all records that the topic held at one moment have been reported through `changed`.
    std::function<void()> complete;
    /// Called when the store has become reachable or unreachable. @param since the earliest time known for the change.
    std::function<void(bool reachable, const std::string& reason, steady_time since)> reachable;
    /// Called when the store was found to be restored from an older copy of itself. Optional.
    /// @param before the era until now; equal to `now` if the store states no eras. @param end offset that was reached.
    std::function<void(store_era before, store_era now, std::uint64_t end)> restored;
    /// @return whether the owner ignores records of this key that are older than one it has applied, so that records
    /// of a copy need not be held back. Optional; without it, the owner does so for no key.
    std::function<bool(const std::string& key)> ignores_older;
};

/// Reads continuously while reading is enabled. Reports each record once, in the order of offsets for each key.
///
/// After a restoration of the store, the records that are known remain in force until the store has later ones. The
/// copy may lack the newest record of a key: so a record of the copy whose offset is lower than the known one's takes
/// effect only after `restore_grace`, unless a change is read before, and so does the absence of a key.
class topic_follower {
public:
    topic_follower(event_loop& loop, const fleet_store& store, const follower_settings& settings,
                   follower_callbacks callbacks);
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;
    ~topic_follower();

    /// Enables or disables reading from the store. While it is disabled, other VMs supply the records. A read in flight
    /// is not cancelled. @param max_retry_delay upper limit of the delay between two failed reads.
    void set_reading(bool reading, std::chrono::milliseconds max_retry_delay = std::chrono::seconds{1});
    /// @return whether the topic has been read completely at least once since the start.
    bool is_complete() const { return complete_; }
    fleet_topic topic() const { return settings_.topic; }
    bool is_reachable() const { return reachable_; }
    /// @return whether no record before end() is missing.
    bool is_gap_free() const { return gap_free_; }
    /// @return the offset up to which the topic has been read or received; the next read starts there.
    std::uint64_t end() const { return next_offset_; }
    /// @return the era of the store that the offsets belong to.
    store_era era() const { return era_; }
    /// @return when the store last answered a read.
    steady_time last_answer_at() const { return last_answer_at_; }

    /// @return all changes from an offset on, or nothing if some of them are no longer in the history.
    std::optional<std::vector<keyed_record>> changes_since(std::uint64_t from) const;
    /// @return the newest record of each key in the store, as far as it has been read.
    std::vector<keyed_record> newest() const;
    /// @return the newest value of a key in the store, or null.
    const std::string* value_of(const std::string& key) const;
    /// Another VM has contact with the store and forwards the topic. While this VM does not read, the store then counts
    /// as reachable, even if this VM's own last read failed.
    /// @param last_contact_at when the store last answered the VM that read the forwarded records.
    void on_upstream_contact(steady_time last_contact_at);
    /// No other VM has contact with the store. While this VM does not read, the store then counts as unreachable.
    void on_upstream_contact_lost();
    /// Applies all changes between two offsets that another VM read. Does nothing if changes before `from` are missing
    /// here, or if the offsets are of another era.
    /// @param from offset of the first change. @param end offset after the last one.
    void apply_changes(store_era era, std::uint64_t from, std::uint64_t end, const std::vector<keyed_record>& records);
    /// Applies the newest records of all keys as another VM knew them at offset `end`. Keys that are not among them are
    /// removed. Does nothing if the offsets are of an earlier era.
    void apply_newest(store_era era, std::uint64_t end, const std::vector<keyed_record>& records);

private:
    /// The newest record of a key.
    struct newest_record {
        std::uint64_t offset{0};
        std::string value;
        /// The offset was assigned before the store was restored. The store may have this record, an older one or none.
        bool is_carried{false};
    };
    /// The removal of a key.
    struct removal {
        std::uint64_t offset{0};
        steady_time at;
        bool is_carried{false};
    };

    void continue_reading();
    void remove_missing_keys(std::uint64_t before);
    void append_to_history(const keyed_record& record);
    void clear_history();
    void mark_gap_free();
    void mark_complete();
    void read_newest(const std::string& after);
    void apply_page(const newest_page& page, bool first);
    void read_changes();
    bool accept_era(std::optional<store_era> era);
    void adopt_era(store_era era);
    void carry_over_records(store_era era);
    void read_again_after_gap();
    bool is_doubtful(const keyed_record& record) const;
    void apply_newest_record(const keyed_record& record);
    void schedule_settling();
    void settle_carried_records();
    void note_removal(const std::string& key, std::uint64_t offset);
    void notify_changed(keyed_record record);
    std::chrono::milliseconds next_wait() const;
    void apply_range(const log_range& range);
    void extend_to(std::uint64_t end, const std::vector<keyed_record>& records);
    void apply_record(const keyed_record& record);
    keyed_record limit_value(const keyed_record& record) const;
    void set_reachable(bool reachable, const std::string& reason, steady_time since);
    steady_time unreachable_since() const;
    void retry(std::function<void()> action);
    void after(std::chrono::milliseconds delay, std::function<void()> action);

    event_loop& loop_;
    const fleet_store& store_;
    follower_settings settings_;
    follower_callbacks callbacks_;
    bool complete_{false};
    bool reachable_{true};
    /// Era of all offsets, except those of carried records.
    store_era era_;
    /// All changes before this offset are held, if `gap_free_` is set.
    std::uint64_t next_offset_{0};
    /// What `next_offset_` becomes when the last page of newest records has been read.
    std::uint64_t pages_end_{0};
    /// The store has discarded all records before this offset.
    std::uint64_t first_available_{0};
    int failures_{0};
    /// Number of answers in succession that showed a gap.
    int gaps_{0};
    /// The last read returned no records, and the store answered in time after its wait.
    bool last_read_idle_{false};
    /// Other VMs have read so far. The first own read has no wait, so that the store answers it at once.
    bool resuming_{false};
    bool reading_{false};
    /// A call is in flight, or the timer for the next one runs.
    bool read_pending_{false};
    /// No record before `next_offset_` is missing. If false, all newest records must be read again.
    bool gap_free_{false};
    /// Pages of newest records are being read.
    bool paging_{false};
    std::chrono::milliseconds max_retry_delay_{std::chrono::seconds{1}};
    steady_time last_answer_at_;
    /// When the store last answered another VM, according to the last message from one.
    steady_time upstream_contact_at_;
    /// The records that have been reported, by key.
    std::unordered_map<std::string, newest_record> known_records_;
    /// Keys that were removed recently, which an older copy of the store may still have.
    std::unordered_map<std::string, removal> removals_;
    /// Records of the restored store that may be older than the carried record, or removal, of their key.
    std::unordered_map<std::string, keyed_record> doubtful_records_;
    /// The latest changes, without a gap from `history_start_` to `next_offset_`.
    std::deque<keyed_record> history_;
    std::uint64_t history_start_{0};
    std::size_t history_bytes_{0};
    /// Keys in the pages of newest records that have been read so far.
    std::unordered_set<std::string> listed_keys_;
    std::optional<timer_id> timer_;
    /// Runs while carried records may differ from those of the store.
    std::optional<timer_id> settle_timer_;
    // Set to null by the destructor, so that callbacks of calls still in flight do nothing.
    std::shared_ptr<topic_follower*> self_;
};

} // namespace agatespar
