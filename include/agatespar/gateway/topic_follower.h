// Keeps up with a keyed topic of the platform's store: the newest record of each key, then every change.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/kernel/event_loop.h>

#include <chrono>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace agatespar {

struct follower_settings {
    fleet_topic topic{fleet_topic::operator_orders};
    /// How long the store may hold a read until there is something new.
    std::chrono::milliseconds wait{std::chrono::seconds{30}};
    /// The same for a read that follows another one's records, or comes while the store is slow: a slow store may hold
    /// a read although a record came right after it, until the read ends.
    std::chrono::milliseconds careful_wait{1000};
    /// A store that answers later than this after the wait is slow. Its usual time is some milliseconds.
    std::chrono::milliseconds slow_answer{100};
    /// Between an answered read and the next, so that records which come one by one share a call.
    std::chrono::milliseconds pause{0};
};

struct follower_callbacks {
    /// A key has a new record, or has lost its record.
    std::function<void(const keyed_record& record)> changed;
    /// All records that the topic held at one moment have been told for the first time.
    std::function<void()> complete;
    /// The store answers again, or no longer.
    std::function<void(bool reachable, const std::string& reason)> reachable;
};

/// Reads on by itself. A record is told once, in the order of offsets for each key.
class topic_follower {
public:
    topic_follower(event_loop& loop, const fleet_store& store, const follower_settings& settings,
                   follower_callbacks callbacks);
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;
    ~topic_follower();

    void start() { read_newest({}); }
    /// @return whether the topic has been read whole since the start.
    bool is_complete() const { return complete_; }
    bool is_reachable() const { return reachable_; }
    /// @return the offset after the last record that was told.
    std::uint64_t end() const { return next_; }

private:
    void read_newest(const std::string& after);
    void take_page(const newest_page& page, bool first);
    void finish_newest();
    void read_on();
    std::chrono::milliseconds next_wait() const;
    void take_stretch(const log_stretch& stretch);
    void tell(const keyed_record& record);
    void note_reachable(bool reachable, const std::string& reason);
    void retry(std::function<void()> action);
    void after(std::chrono::milliseconds delay, std::function<void()> action);

    event_loop& loop_;
    const fleet_store& store_;
    follower_settings settings_;
    follower_callbacks callbacks_;
    bool complete_{false};
    bool reachable_{true};
    std::uint64_t next_{0};
    /// Records before it are known to be gone.
    std::uint64_t first_kept_{0};
    int failures_{0};
    /// The last read came back empty and at once after its wait.
    bool calm_{false};
    std::unordered_map<std::string, std::uint64_t> told_;
    std::unordered_set<std::string> seen_;
    std::optional<timer_id> timer_;
    // Answers that come after the follower's end find this empty.
    std::shared_ptr<topic_follower*> self_;
};

} // namespace agatespar
