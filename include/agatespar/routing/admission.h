// Admission control: refuses requests that would wait in the queue for longer than their deadline allows.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/start_rate.h>
#include <agatespar/support/clock.h>

#include <vector>

namespace agatespar {

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
    /// The queue length and the start rates of one class.
    struct class_queue {
        std::size_t queued{0};
        start_rate short_term;
        start_rate long_term;
    };

    std::vector<class_queue> queues_;
};

} // namespace agatespar
