// Accounting of the memory budget, and the choice of who gives way.
#include <agatespar/support/memory_budget.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <tuple>
#include <utility>

namespace agatespar {

// What the process itself needs: the program, the fleet's state, and records and messages of other VMs. On small VMs it
// is limited to a share of the memory.
static constexpr double own_needs_mb = 48;
static constexpr double max_own_share = 0.45;
// Part of the rest that buffers may take. The others are the allocator's overhead and the copy while a buffer grows.
static constexpr double usable_share = 0.75;
static constexpr double bytes_per_mb = 1024.0 * 1024.0;
// A buffer of unknown size grows by its capacity divided by this, so that little of it is unused.
static constexpr std::size_t growth_divisor = 2;
// The capacity of a small buffer grows to this at least, so that it is not moved for each packet.
static constexpr std::size_t min_growth_bytes = 1024;

std::string_view to_string(memory_holder holder)
{
    static constexpr std::array<std::string_view, memory_holder_count> names{"input", "request_body", "answer",
                                                                             "client_output", "server_output"};
    return names[static_cast<std::size_t>(holder)];
}

std::string_view to_string(memory_refusal reason)
{
    static constexpr std::array<std::string_view, memory_refusal_count> names{"stalled_request", "unread_answer",
                                                                              "most_unread", "request", "answer"};
    return names[static_cast<std::size_t>(reason)];
}

/// @return the bytes of a reservation that count as large.
static std::size_t large_part(std::size_t bytes)
{
    return bytes > small_reservation_bytes ? bytes : 0;
}

bool fits(const budget_state& state, std::size_t before, std::size_t after)
{
    if (after <= before || state.limit == std::numeric_limits<std::size_t>::max()) {
        return true;
    }
    if (state.reserved - before + after > state.limit) {
        return false;
    }
    const auto large_limit = static_cast<std::size_t>(static_cast<double>(state.limit) * large_share);
    return large_part(after) == 0 || state.reserved_large - large_part(before) + after <= large_limit;
}

bool fits_if_kept(const budget_state& state, std::size_t more)
{
    return static_cast<double>(state.reserved + more) <= static_cast<double>(state.limit) / usable_share;
}

std::size_t budget_bytes(double memory_mb)
{
    if (memory_mb <= 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    const double own = std::min(own_needs_mb, memory_mb * max_own_share);
    return static_cast<std::size_t>((memory_mb - own) * usable_share * bytes_per_mb);
}

std::optional<std::size_t> choose_stalled(std::span<const memory_candidate> requests, steady_time now)
{
    const auto has_stalled = [now](const memory_candidate& each) {
        return each.bytes > 0 && now - each.last_progress >= max_stall_time;
    };
    std::map<std::uint64_t, std::size_t> held;
    for (const memory_candidate& each : requests) {
        held[each.client] += has_stalled(each) ? each.bytes : 0;
    }
    const auto rank = [&held](const memory_candidate& each) {
        return std::tuple{held[each.client], each.bytes, -each.started.time_since_epoch().count()};
    };
    std::optional<std::size_t> chosen;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        if (has_stalled(requests[index]) && (!chosen || rank(requests[index]) > rank(requests[*chosen]))) {
            chosen = index;
        }
    }
    return chosen;
}

std::optional<std::size_t> choose_unread(std::span<const memory_candidate> connections, steady_time now,
                                         duration min_time)
{
    std::optional<std::size_t> chosen;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const memory_candidate& each = connections[index];
        if (each.bytes > 0 && now - each.last_progress >= min_time &&
            (!chosen || each.bytes > connections[*chosen].bytes)) {
            chosen = index;
        }
    }
    return chosen;
}

std::size_t next_capacity(std::size_t capacity, std::size_t needed, std::size_t expected)
{
    if (expected >= needed) {
        return std::min(expected, std::max(needed, 2 * capacity));
    }
    return std::max({needed, capacity + capacity / growth_divisor, min_growth_bytes});
}

bool update_pressure(pressure_state& state, std::uint64_t failures, steady_time now)
{
    const bool before = state.active;
    if (failures != state.seen_failures) {
        state.seen_failures = failures;
        state.last_failure = now;
        state.active = true;
    }
    else if (now - state.last_failure >= pressure_hold_time) {
        state.active = false;
    }
    return state.active != before;
}

void memory_budget::change(memory_holder holder, std::size_t before, std::size_t after)
{
    std::size_t& held = held_[static_cast<std::size_t>(holder)];
    assert(held >= before && "no more is released than was reserved");
    held = held - before + after;
    state_.reserved = state_.reserved - before + after;
    state_.reserved_large = state_.reserved_large - large_part(before) + large_part(after);
}

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> budget, memory_holder holder)
    : budget_(std::move(budget)), holder_(holder)
{
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : budget_(std::move(other.budget_)), holder_(other.holder_), bytes_(std::exchange(other.bytes_, 0))
{
}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this != &other) {
        resize(0);
        budget_ = std::move(other.budget_);
        holder_ = other.holder_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

memory_reservation::~memory_reservation()
{
    resize(0);
}

bool memory_reservation::can_resize(std::size_t bytes) const
{
    return budget_ == nullptr || fits(budget_->state_, bytes_, bytes);
}

bool memory_reservation::try_resize(std::size_t bytes)
{
    if (!can_resize(bytes)) {
        ++budget_->failures_;
        return false;
    }
    resize(bytes);
    return true;
}

void memory_reservation::resize(std::size_t bytes)
{
    if (budget_ != nullptr && bytes != bytes_) {
        budget_->change(holder_, bytes_, bytes);
    }
    bytes_ = bytes;
}

void memory_reservation::move_to(memory_holder holder)
{
    const std::size_t bytes = bytes_;
    resize(0);
    holder_ = holder;
    resize(bytes);
}

budgeted_string::budgeted_string(std::shared_ptr<memory_budget> budget, memory_holder holder)
    : held_(std::move(budget), holder)
{
}

bool budgeted_string::can_reserve(std::size_t more) const
{
    const std::size_t needed = bytes_.size() + more;
    return needed <= held_.bytes() || held_.can_resize(next_capacity(held_.bytes(), needed, expected_));
}

bool budgeted_string::try_reserve(std::size_t more)
{
    const std::size_t needed = bytes_.size() + more;
    if (needed <= held_.bytes()) {
        return true;
    }
    const std::size_t capacity = next_capacity(held_.bytes(), needed, expected_);
    if (!held_.try_resize(capacity)) {
        return false;
    }
    bytes_.reserve(capacity);
    return true;
}

void budgeted_string::reserve(std::size_t more)
{
    const std::size_t needed = bytes_.size() + more;
    if (needed > held_.bytes()) {
        held_.resize(next_capacity(held_.bytes(), needed, expected_));
        bytes_.reserve(held_.bytes());
    }
}

void budgeted_string::append(std::string_view bytes)
{
    const std::size_t needed = bytes_.size() + bytes.size();
    if (needed > held_.bytes()) {
        held_.resize(needed);
        bytes_.reserve(needed);
    }
    bytes_.append(bytes);
}

std::shared_ptr<const std::string> share(budgeted_string&& buffer)
{
    const auto owner = std::make_shared<const budgeted_string>(std::move(buffer));
    return {owner, &owner->bytes()};
}

} // namespace agatespar
