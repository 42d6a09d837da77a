// The one loop on one thread: timers and deferred calls, over GLib or driven by hand.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/strong_type.h>

#include <cstdint>
#include <functional>
#include <utility>

namespace agatespar {

using timer_id = strong<struct timer_id_tag, std::uint64_t>;

/// Runs callbacks later, all on one thread.
class event_loop {
public:
    event_loop() = default;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    virtual ~event_loop() = default;

    /// @return the clock that the loop's timers follow.
    virtual const clock& time() const = 0;
    /// Calls back once after a delay. @return a handle for cancel().
    virtual timer_id schedule(duration delay, std::function<void()> callback) = 0;
    /// Cancels a timer; a timer that fired or was cancelled already is ignored.
    virtual void cancel(timer_id timer) = 0;

    /// Calls back in the next turn of the loop.
    timer_id post(std::function<void()> callback) { return schedule(duration::zero(), std::move(callback)); }
};

} // namespace agatespar
