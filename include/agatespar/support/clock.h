// Clock interface, the clock of the operating system, and a clock that tests set.
#pragma once

#include <chrono>

namespace agatespar {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using duration = std::chrono::nanoseconds;

/// Source of the current time. Code that makes decisions takes time points as arguments instead of a clock.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// @return monotonic time, for intervals on this VM. It continues while the process is paused.
    virtual steady_time now() const = 0;
    /// @return calendar time, for time stamps that other VMs read.
    virtual wall_time wall_now() const = 0;
};

/// Reads the operating system's clocks.
class system_clock final : public clock {
public:
    steady_time now() const override { return std::chrono::steady_clock::now(); }
    wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// A clock that changes only by calls to advance() and set().
class manual_clock final : public clock {
public:
    steady_time now() const override { return now_; }
    wall_time wall_now() const override { return wall_epoch + (now_ - steady_time{}); }

    /// Advances the time.
    void advance(duration step) { now_ += step; }
    /// Sets the time. @param now must not be earlier than the current time of this clock.
    void set(steady_time now) { now_ = now; }

private:
    // An arbitrary fixed date, so that calendar times are the same in every run.
    static constexpr wall_time wall_epoch{std::chrono::seconds{1'700'000'000}};
    steady_time now_{std::chrono::hours{1}};
};

} // namespace agatespar
