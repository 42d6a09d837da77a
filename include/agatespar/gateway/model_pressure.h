// Measures how overloaded a service's largest model is, and derives how confident a smaller model's answer has to be.
#pragma once

#include <agatespar/gateway/decaying_average.h>

namespace agatespar {

struct pressure_settings {
    /// Half-life of an observation's weight: some seconds, as long as bursts and network partitions last.
    std::chrono::milliseconds half_life{3000};
    /// Without pressure, a small model's answer is kept if its confidence score is at least this. At a score of 50
    /// about half of the answers are right, and scores are off by some ten points.
    double required_confidence{60};
    /// Mean time to the first event of the largest model, as a fraction of the goal: up to no_pressure_fraction there
    /// is no pressure; from full_pressure_fraction on every answer of the small model is kept, as the large model's
    /// would be late anyway.
    double no_pressure_fraction{0.5};
    double full_pressure_fraction{1.2};
};

/// Tracks the largest model's time to the first event, as a fraction of the goal, in a decaying average.
class model_pressure {
public:
    explicit model_pressure(const pressure_settings& settings = {}) : settings_(settings)
    {
        goal_fractions_.half_life = settings.half_life;
    }

    /// Records one answer.
    /// @param first_event time to the first event, or how long the request waited if there was none.
    /// @param goal the route's goal for that time; observations without a goal are ignored.
    void note(duration first_event, duration goal, steady_time now);
    /// @return the confidence score from which on a small model's answer is kept at this time.
    double required_confidence(steady_time now) const;

private:
    double mean_goal_fraction(steady_time now) const;

    pressure_settings settings_;
    decaying_average goal_fractions_;
};

} // namespace agatespar
