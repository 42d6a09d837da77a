// Event loop whose time advances only by explicit calls, for tests and benchmarks.
#pragma once

#include <agatespar/kernel/event_loop.h>

#include <map>
#include <utility>

namespace agatespar {

/// Fires timers in the order of their due times; those due at the same time in the order in which they were scheduled.
class manual_event_loop final : public event_loop {
public:
    const clock& time() const override { return clock_; }
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id timer) override;

    /// Advances the time by a step and fires all timers that become due within it.
    void advance(duration step);
    /// Fires all timers that are due now.
    void run_pending() { advance(duration::zero()); }

private:
    using due_key = std::pair<steady_time, std::uint64_t>;

    manual_clock clock_;
    std::uint64_t last_timer_{0};
    std::map<due_key, std::function<void()>> timers_;
};

} // namespace agatespar
