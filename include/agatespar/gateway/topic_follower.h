// Keeps up with a keyed topic of the platform's store: the newest record of each key, then every change.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/kernel/event_loop.h>

#include <chrono>
#include <deque>
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
    /// The topic has no records yet, so that its first read may wait for one. If it has some, they are read too.
    bool begins_empty{false};
};

struct follower_callbacks {
    /// A key has a new record, or has lost its record.
    std::function<void(const keyed_record& record)> changed;
    /// All records that the topic held at one moment have been told for the first time.
    std::function<void()> complete;
    /// The store answers again, or no longer. @param since when that is known to have begun.
    std::function<void(bool reachable, const std::string& reason, steady_time since)> reachable;
};

/// Reads on by itself. A record is told once, in the order of offsets for each key.
class topic_follower {
public:
    topic_follower(event_loop& loop, const fleet_store& store, const follower_settings& settings,
                   follower_callbacks callbacks);
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;
    ~topic_follower();

    /// Reads from the store, or leaves it to others to pass its records on. A read that is under way goes on.
    /// @param longest_retry between two reads that fail.
    void set_reading(bool reading, std::chrono::milliseconds longest_retry = std::chrono::seconds{1});
    /// @return whether the topic has been read whole since the start.
    bool is_complete() const { return complete_; }
    /// @return which topic it follows.
    fleet_topic topic() const { return settings_.topic; }
    bool is_reachable() const { return reachable_; }
    /// @return whether nothing before end() is missing.
    bool is_whole() const { return whole_; }
    /// @return the offset after the last record that was told.
    std::uint64_t end() const { return next_; }
    /// @return when the store last answered a read.
    steady_time answered_at() const { return answered_at_; }

    /// @return all changes from an offset on, or nothing if some of them are not kept any more.
    std::optional<std::vector<keyed_record>> changes_since(std::uint64_t from) const;
    /// @return the newest record of each key.
    std::vector<keyed_record> newest() const;
    /// @return the newest value of a key, or null.
    const std::string* value_of(const std::string& key) const;
    /// Another VM passes the topic on and hears the store, which this one may have lost when it last read itself.
    /// @param heard_at when the store answered the VM that the news come from.
    void note_passed_on(steady_time heard_at);
    /// No other VM hears the store, and this one does not read itself.
    void note_not_passed_on();
    /// Takes in all changes between two offsets that another VM read. Does nothing if some before them are missing.
    void take_changes(std::uint64_t from, std::uint64_t end, const std::vector<keyed_record>& records);
    /// Takes in all keys' newest records that another VM knew at an offset. What is not among them is gone.
    void take_newest(std::uint64_t end, const std::vector<keyed_record>& records);

private:
    /// The newest record of a key.
    struct kept_record {
        std::uint64_t offset{0};
        std::string value;
    };

    void read_more();
    void drop_unseen(std::uint64_t before);
    void remember(const keyed_record& record);
    void forget_recent();
    void become_whole();
    void note_complete();
    void read_newest(const std::string& after);
    void take_page(const newest_page& page, bool first);
    void read_on();
    std::chrono::milliseconds next_wait() const;
    void take_stretch(const log_stretch& stretch);
    void tell(const keyed_record& record);
    void note_reachable(bool reachable, const std::string& reason, steady_time since);
    steady_time lost_since() const;
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
    /// Others read before, so the first read is to be answered at once, whether there is news or not.
    bool resuming_{false};
    bool reading_{false};
    /// A call or the pause before one is under way.
    bool busy_{false};
    /// Nothing before `next_` is missing; else all newest records are to be read.
    bool whole_{false};
    /// Pages of newest records are being read.
    bool paging_{false};
    std::chrono::milliseconds longest_retry_{std::chrono::seconds{1}};
    steady_time answered_at_;
    /// When it last answered another VM, as far as they told.
    steady_time passed_on_at_;
    std::unordered_map<std::string, kept_record> told_;
    /// The latest changes, without a gap from `recent_from_` to `next_`.
    std::deque<keyed_record> recent_;
    std::uint64_t recent_from_{0};
    std::size_t recent_bytes_{0};
    std::unordered_set<std::string> seen_;
    std::optional<timer_id> timer_;
    // Answers that come after the follower's end find this empty.
    std::shared_ptr<topic_follower*> self_;
};

} // namespace agatespar
