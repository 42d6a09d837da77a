// Admission control: refuses requests that would wait in the queue for longer than their deadline allows.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/clock.h>

#include <array>

namespace agatespar {

/// Whether a request may enter the queue, and its estimated waiting time.
struct admission_verdict {
    bool admitted{false};
    duration expected_wait{0};
    /// For a refused request: the estimated time until the queue is short enough.
    std::chrono::milliseconds retry_after{0};
};

/// Estimates the waiting time of each request class on this VM by Little's law: the queue length divided by the rate at
/// which requests start, whether they queued before or not.
class admission {
public:
    /// @param time_constant the time constant of the average of the start rate, for requests that can wait only
    /// briefly.
    /// @param long_time_constant the same for requests that can wait for minutes, whose classes start rarely.
    explicit admission(duration time_constant = std::chrono::seconds{10},
                       duration long_time_constant = std::chrono::minutes{2});

    /// Records that a request was dispatched without having queued.
    void on_started(class_index request_class, steady_time now);
    /// Records that a request entered the queue.
    void on_queued(class_index request_class);
    /// Records that a request was removed from the queue. @param started whether it was dispatched; false if it was,
    /// e.g., cancelled.
    void on_dequeued(class_index request_class, bool started, steady_time now);

    /// Decides whether a request for which no server is free may enter the queue. The request has not been dispatched,
    /// so a refused one is safely reported as not run.
    /// @param service the predicted time from dispatch to the end of the answer. @return the verdict.
    admission_verdict evaluate(class_index request_class, duration service, steady_time deadline,
                               steady_time now) const;
    /// @return the number of queued requests of the class.
    std::size_t queued(class_index request_class) const { return queues_[request_class.value()].queued; }

private:
    /// An exponentially decaying count of starts. In a steady state it equals the start rate times the time constant.
    struct decaying_count {
        double starts{0};
        steady_time updated;
    };
    /// The queue length and the start counts of one class.
    struct class_queue {
        std::size_t queued{0};
        decaying_count short_term;
        decaying_count long_term;
    };

    /// @return the average starts per second.
    static double rate(const decaying_count& count, duration time_constant, steady_time now);
    static void count_start(decaying_count& count, duration time_constant, steady_time now);

    duration time_constant_;
    duration long_time_constant_;
    std::array<class_queue, max_classes> queues_{};
};

} // namespace agatespar
