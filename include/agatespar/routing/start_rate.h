// Rate of events such as starts of requests, and the waiting time that follows from it by Little's law.
#pragma once

#include <agatespar/support/clock.h>

#include <chrono>
#include <cstddef>

namespace agatespar {

/// An exponentially decaying average of the rate of events. In a steady state it equals their rate.
class start_rate {
public:
    /// @param time_constant of the average.
    explicit start_rate(duration time_constant) : time_constant_(time_constant) {}

    void count(steady_time now);
    /// @return the average events per second.
    double per_second(steady_time now) const;

private:
    duration time_constant_;
    /// In a steady state, the rate times the time constant.
    double events_{0};
    steady_time updated_;
};

/// Whether a request may enter a queue, and its estimated waiting time.
struct admission_verdict {
    bool admitted{false};
    /// The rate is known, and the estimated waiting time fits into the time that the request has. A request may be
    /// admitted without that while the queue is so short that the estimate says little.
    bool in_time{false};
    duration expected_wait{0};
    /// For a refused request: the estimated time until the queue is short enough.
    std::chrono::milliseconds retry_after{0};
};

/// Decides by Little's law whether a request may wait: the queue length divided by the rate at which requests start.
/// @param queued number of requests that start before this one.
/// @param starts_per_second the rate; 0 if it is not known.
/// @param slack how long the request can wait at most and still be answered in time.
admission_verdict evaluate_wait(std::size_t queued, double starts_per_second, duration slack);

} // namespace agatespar
