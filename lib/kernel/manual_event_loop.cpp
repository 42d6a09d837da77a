// Fires timers in due order on a manual clock.
#include <agatespar/kernel/manual_event_loop.h>

#include <algorithm>

namespace agatespar {

timer_id manual_event_loop::schedule(duration delay, std::function<void()> callback)
{
    const std::uint64_t id = ++last_timer_;
    timers_.emplace(due_key{clock_.now() + std::max(delay, duration::zero()), id}, std::move(callback));
    return timer_id{id};
}

void manual_event_loop::cancel(timer_id timer)
{
    const auto found = std::find_if(timers_.begin(), timers_.end(),
                                    [timer](const auto& entry) { return entry.first.second == timer.value(); });
    if (found != timers_.end()) {
        timers_.erase(found);
    }
}

void manual_event_loop::advance(duration step)
{
    const steady_time end = clock_.now() + step;
    while (!timers_.empty() && timers_.begin()->first.first <= end) {
        auto due = timers_.extract(timers_.begin());
        clock_.set(std::max(clock_.now(), due.key().first));
        due.mapped()();
    }
    clock_.set(end);
}

} // namespace agatespar
