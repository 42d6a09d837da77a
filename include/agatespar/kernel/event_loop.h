// Interface of the single-threaded event loop: timers and deferred calls.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/strong_type.h>

#include <cstdint>
#include <functional>
#include <utility>

namespace agatespar {

using timer_id = strong<struct timer_id_tag, std::uint64_t>;

/// Runs callbacks at a later time, all on one thread.
class event_loop {
public:
    event_loop() = default;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    virtual ~event_loop() = default;

    /// @return the clock that the loop's timers use.
    virtual const clock& time() const = 0;
    /// Calls a function once after a delay. @return a handle for cancel().
    virtual timer_id schedule(duration delay, std::function<void()> callback) = 0;
    /// Cancels a timer. Has no effect if the timer has fired or was cancelled already.
    virtual void cancel(timer_id timer) = 0;

    /// Calls a function in the next iteration of the loop. @return a handle for cancel().
    timer_id post(std::function<void()> callback) { return schedule(duration::zero(), std::move(callback)); }
};

} // namespace agatespar
