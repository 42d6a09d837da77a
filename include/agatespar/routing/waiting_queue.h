// Decides which requests of one service may wait on this VM until a server has room, and which of them is sent next.
#pragma once

#include <agatespar/routing/start_rate.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/strong_type.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace agatespar {

using queue_ticket = strong<struct queue_ticket_tag, std::uint64_t>;

/// Limits of a queue of waiting requests.
struct waiting_queue_settings {
    /// Requests that wait at a time. At 2,500 requests/s on 340 VMs, this is what one VM receives in half a minute.
    std::size_t max_waiting{256};
    /// After this many starts in a row for the most urgent priority that waits, another priority gets one. The urgent
    /// ones lose at most a tenth of the places.
    int starts_per_aged_start{10};
    /// Time constant of the averages of rates and of the accounts' starts: a few seconds, so that a lost server shows
    /// soon.
    std::chrono::milliseconds rate_time{2000};
};

/// What is known of a request that found no server with room.
struct queued_request {
    queue_ticket ticket;
    /// Zero is the most urgent.
    int priority{0};
    /// Hash of the client account.
    std::uint64_t account{0};
    /// Hash of what the request requires of a server. Where one request finds no room, others with this value find none
    /// either.
    std::uint64_t need{0};
    steady_time arrived_at;
    /// When the answer has to begin to be within the goal of the route, and when it has to be complete.
    steady_time goal_at;
    steady_time deadline;
    /// The route's goal, which limits the wait of a request without prospect.
    duration goal{0};
    /// Typical times from a start until the answer begins, and until it is complete.
    duration first_byte_time{0};
    duration run_time{0};
    /// The request is not sent before this time.
    steady_time not_before;
    /// When the request is refused if it still waits. Set by admit().
    steady_time wait_until;
};

/// @return the time until which the start of a request is useful: with the start at this time, the answer begins within
/// the goal; if even a start now could not achieve that, the answer is complete at the deadline.
steady_time latest_useful_start(const queued_request& request, steady_time now);

/// Why a request was refused.
enum class queue_refusal {
    /// The estimated waiting time is too long.
    no_prospect,
    /// It would be late even if it were started now.
    too_late,
    /// The queue is full, and other requests are more urgent or of accounts that have less than their share.
    full,
};

/// @return the name of a reason, a metric label.
std::string_view name_of(queue_refusal reason);

struct queue_verdict {
    /// Why the request may not wait; nothing if it was added to the queue.
    std::optional<queue_refusal> refused;
    /// The request that had to make room for it. It is no longer in the queue.
    std::optional<queue_ticket> displaced;
    duration expected_wait{0};
    /// For a refused request: the time after which there will probably be room.
    std::chrono::milliseconds retry_after{0};
};

/// @param time after which there will probably be room. @param draw uniform in [0, 1).
/// @return a later time, random, so that clients refused together do not return together.
std::chrono::milliseconds spread_retry_after(std::chrono::milliseconds time, double draw);

/// The requests of one service that wait on this VM. Order: priority, then time left less expected work, so that the
/// one that would first become late is first. Two rules limit the order: one start in starts_per_aged_start + 1 is for
/// other priorities than the most urgent, and accounts with more than their share of the recent starts come after
/// others of the same priority while these wait.
class waiting_queue {
public:
    explicit waiting_queue(const waiting_queue_settings& settings = {}) : settings_(settings) {}

    /// Adds a request, if it can probably be started in time or so few wait that the estimate says little. If the queue
    /// is full, the least urgent request of an account beyond its share is displaced, or else the least urgent of all.
    /// @param places_per_second rate at which places for this VM's requests become free; 0 if unknown.
    queue_verdict admit(const queued_request& request, double places_per_second, steady_time now);
    /// @param full_needs values of `need` for which no server has room now.
    /// @return the request to be started next, or nothing if none may be. It stays in the queue.
    std::optional<queue_ticket> next(std::span<const std::uint64_t> full_needs, steady_time now) const;
    /// Removes a request. @return what was known of it, or nothing if it is not in the queue.
    std::optional<queued_request> remove(queue_ticket ticket);
    /// Records a start of the service, whether the request had waited or not.
    void on_started(int priority, std::uint64_t account, steady_time now);
    /// @return the requests whose time to wait is over. They stay in the queue.
    std::vector<queue_ticket> expired(steady_time now) const;
    /// @return the time until all that wait now have started; nothing if the rate is not known.
    std::optional<std::chrono::milliseconds> time_to_empty(double places_per_second) const;
    const std::vector<queued_request>& waiting() const { return waiting_; }

private:
    std::size_t count_ahead(const queued_request& request) const;
    std::optional<std::size_t> choose_victim(const queued_request& request) const;
    bool may_wait_first(const queued_request& request) const;
    int choose_priority(const std::vector<const queued_request*>& ready) const;
    double recent_starts(std::uint64_t account, steady_time now) const;
    void forget_idle_accounts(steady_time now);

    waiting_queue_settings settings_;
    /// Unordered.
    std::vector<queued_request> waiting_;
    std::map<std::uint64_t, start_rate> account_starts_;
    /// Number of the last start of each priority.
    std::map<int, std::uint64_t> last_starts_;
    std::uint64_t starts_{0};
    /// Starts in a row of the most urgent priority that waited.
    int urgent_starts_{0};
};

} // namespace agatespar
