// Budget of the memory that peers can make this process hold, and the decisions about who gives way under pressure.
#pragma once

#include <agatespar/support/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace agatespar {

/// What a reservation is for.
enum class memory_holder {
    /// Unparsed input of clients.
    input,
    /// Bodies of requests, from their first byte to their last attempt.
    request_body,
    /// Plain answers of servers that are being buffered.
    answer,
    /// What clients have not read.
    client_output,
    /// What servers have not read, without the bodies of requests.
    server_output,
};
inline constexpr std::size_t memory_holder_count = 5;

/// Why a request was refused or a connection closed for lack of memory.
enum class memory_refusal {
    /// An unfinished request made no progress.
    stalled_request,
    /// A client read nothing of its answer for max_unread_time.
    unread_answer,
    /// A client held the most unread bytes while the answer of a server had to wait.
    most_unread,
    /// A request asked for more memory.
    request,
    /// The answer of a server to a request that may be repeated did not fit in time.
    answer,
};
inline constexpr std::size_t memory_refusal_count = 5;

/// @return the name in metrics.
std::string_view to_string(memory_holder holder);
std::string_view to_string(memory_refusal reason);

/// A reservation up to this size may use the whole budget, a larger one only large_share of it, so that small requests
/// continue while large ones compete. Usual requests and answers have some kilobytes.
inline constexpr std::size_t small_reservation_bytes = std::size_t{64} * 1024;
inline constexpr double large_share = 0.75;
/// An unfinished request may be evicted after this time without a byte: a few retransmissions of a lost packet.
inline constexpr std::chrono::milliseconds max_stall_time{1000};
/// A client may be closed after this time in which it read nothing: longer than a slow link needs for a packet.
inline constexpr std::chrono::milliseconds max_unread_time{10'000};
/// The pressure ends after this time without a failed reservation, so that the log is not flooded.
inline constexpr std::chrono::milliseconds pressure_hold_time{5000};
/// When a refused client may come again: within this time, stalled requests have been evicted.
inline constexpr std::chrono::milliseconds memory_retry_after{1000};

/// The state of a budget, in bytes.
struct budget_state {
    std::size_t limit{std::numeric_limits<std::size_t>::max()};
    std::size_t reserved{0};
    /// The part of it in reservations of more than small_reservation_bytes.
    std::size_t reserved_large{0};
};

/// @return whether a reservation may grow. @param before, after its size in bytes. Shrinking always fits.
bool fits(const budget_state& state, std::size_t before, std::size_t after);
/// @return whether what must be kept may grow beyond the limit: it may use the part for the allocator's overhead too.
bool fits_if_kept(const budget_state& state, std::size_t more);
/// @return the size of the budget in bytes on a VM. @param memory_mb the memory of the VM in MB; 0: no limit.
std::size_t budget_bytes(double memory_mb);

/// A request or connection that could give way.
struct memory_candidate {
    /// The client's address, or anything else that is the same for all connections of one client.
    std::uint64_t client{0};
    /// Bytes that are released if it gives way.
    std::size_t bytes{0};
    steady_time started;
    steady_time last_progress;
};

/// @return the index of the unfinished request to evict, or nothing if none has stalled for max_stall_time: of the
/// client whose stalled requests hold most, the largest one, then the oldest.
std::optional<std::size_t> choose_stalled(std::span<const memory_candidate> requests, steady_time now);
/// @return the index of the client to close that holds most, of those that have read nothing for `min_time`, or
/// nothing.
std::optional<std::size_t> choose_unread(std::span<const memory_candidate> connections, steady_time now,
                                         duration min_time);

/// @return the capacity to grow a buffer to. @param needed bytes, more than the capacity now.
/// @param expected the final size if it is known, 0 otherwise. A known size is reserved in steps, as a peer may
/// announce it and send nothing.
std::size_t next_capacity(std::size_t capacity, std::size_t needed, std::size_t expected);

/// Whether reservations fail.
struct pressure_state {
    bool active{false};
    std::uint64_t seen_failures{0};
    steady_time last_failure;
};

/// Updates the state. @param failures the number of failed reservations so far. @return whether `active` has changed.
bool update_pressure(pressure_state& state, std::uint64_t failures, steady_time now);

/// The memory budget of the process. Owned by shared pointer, as reservations may outlive the components that made
/// them.
class memory_budget {
public:
    memory_budget() = default;
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    ~memory_budget() = default;

    /// Changes the limit in bytes. What is reserved stays reserved.
    void set_limit(std::size_t bytes) { state_.limit = bytes; }
    const budget_state& state() const { return state_; }
    /// @return the bytes that are reserved for a kind of holder.
    std::size_t held_by(memory_holder holder) const { return held_[static_cast<std::size_t>(holder)]; }
    /// @return the number of reservations that did not fit.
    std::uint64_t failures() const { return failures_; }
    std::uint64_t refusals(memory_refusal reason) const { return refusals_[static_cast<std::size_t>(reason)]; }
    void count_refusal(memory_refusal reason) { ++refusals_[static_cast<std::size_t>(reason)]; }

private:
    friend class memory_reservation;
    void change(memory_holder holder, std::size_t before, std::size_t after);

    budget_state state_;
    std::array<std::size_t, memory_holder_count> held_{};
    std::array<std::uint64_t, memory_refusal_count> refusals_{};
    std::uint64_t failures_{0};
};

/// The bytes of one buffer. Its destructor releases them.
class memory_reservation {
public:
    /// A reservation that counts nowhere and always fits.
    memory_reservation() = default;
    /// @param budget may be null; then the reservation always fits.
    memory_reservation(std::shared_ptr<memory_budget> budget, memory_holder holder);
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;
    ~memory_reservation();

    std::size_t bytes() const { return bytes_; }
    /// @return whether the reservation could be changed to a size.
    bool can_resize(std::size_t bytes) const;
    /// Changes the size if it fits; counts a failure otherwise. @return whether it fits.
    bool try_resize(std::size_t bytes);
    /// Changes the size whether it fits or not.
    void resize(std::size_t bytes);
    /// Counts the bytes for another kind of holder from now on.
    void move_to(memory_holder holder);

private:
    std::shared_ptr<memory_budget> budget_;
    memory_holder holder_{memory_holder::input};
    std::size_t bytes_{0};
};

/// A growing string whose capacity is reserved.
class budgeted_string {
public:
    budgeted_string() = default;
    budgeted_string(std::shared_ptr<memory_budget> budget, memory_holder holder);

    /// Declares the final size in bytes, if it is known.
    void expect(std::size_t bytes) { expected_ = bytes; }
    /// Reserves the next step of growth if `more` bytes don't fit into the capacity. @return whether there is room for
    /// them.
    bool try_reserve(std::size_t more);
    /// @return whether try_reserve() would succeed, without counting a failure.
    bool can_reserve(std::size_t more) const;
    /// Reserves the next step of growth whether it fits or not.
    void reserve(std::size_t more);
    /// Appends bytes. Without an earlier reservation, the capacity grows by these bytes only, whether it fits or not.
    void append(std::string_view bytes);
    const std::string& bytes() const { return bytes_; }
    std::size_t reserved() const { return held_.bytes(); }
    void move_to(memory_holder holder) { held_.move_to(holder); }

private:
    std::string bytes_;
    std::size_t expected_{0};
    memory_reservation held_;
};

/// @return the string of a buffer, which is reserved until the last owner drops it.
std::shared_ptr<const std::string> share(budgeted_string&& buffer);

} // namespace agatespar
