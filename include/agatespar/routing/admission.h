// Sheds requests before they queue for longer than their deadline bears.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/clock.h>

#include <array>

namespace agatespar {

/// Whether a request may wait, and for how long it probably will.
struct admission_verdict {
    bool admitted{false};
    duration expected_wait{0};
    /// For a refused one: when the queue will probably be short enough.
    std::chrono::milliseconds retry_after{0};
};

/// Estimates by Little's law how long each class waits on this VM: its queue over the rate at which it starts,
/// with or without having queued.
class admission {
public:
    /// @param memory the time over which the start rate is averaged, for classes with little time to wait.
    /// @param patient_memory the same for classes that may wait for minutes, whose starts are rare.
    explicit admission(duration memory = std::chrono::seconds{10}, duration patient_memory = std::chrono::minutes{2});

    /// A request was dispatched without having queued.
    void on_started(class_index request_class, steady_time now);
    void on_queued(class_index request_class);
    /// A queued request left the queue; `started` tells whether to be dispatched.
    void on_dequeued(class_index request_class, bool started, steady_time now);

    /// Judges a request that finds no free server. Nothing of it has run, so a refusal is truly "not run".
    /// @param service the predicted time from dispatch to the end of the answer.
    admission_verdict judge(class_index request_class, duration service, steady_time deadline, steady_time now) const;
    std::size_t queued(class_index request_class) const { return lines_[request_class.value()].queued; }

private:
    /// Starts that decay over a memory, so in a steady state they are the rate times the memory.
    struct decaying_count {
        double starts{0};
        steady_time updated;
    };
    struct line {
        std::size_t queued{0};
        decaying_count recent;
        decaying_count lasting;
    };

    static double rate(const decaying_count& count, duration memory, steady_time now);
    static void count_start(decaying_count& count, duration memory, steady_time now);

    duration memory_;
    duration patient_memory_;
    std::array<line, max_classes> lines_{};
};

} // namespace agatespar
