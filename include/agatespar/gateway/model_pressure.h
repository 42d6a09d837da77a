// How hard pressed a service's largest model is, and what that means for the choice between models.
#pragma once

#include <agatespar/support/clock.h>

namespace agatespar {

struct pressure_settings {
    /// Time in which what was seen counts half: some seconds, as bursts and cuts last.
    std::chrono::milliseconds half_life{3000};
    /// A small model's answer is kept from this opinion of its own on while there is no pressure. An answer is right
    /// about as often as not at 50, and opinions are off by some ten points.
    double kept_confidence{60};
    /// First events of the largest model at this part of the goal mean no pressure, and at the other one so much that
    /// every answer of the small model is kept: the large one would be late anyway.
    double calm_part{0.5};
    double full_part{1.2};
};

/// Follows the time to the first event of the largest model, as a part of what clients bear.
class model_pressure {
public:
    explicit model_pressure(const pressure_settings& settings = {}) : settings_(settings) {}

    /// @param first_event of one answer, or how long it was waited for in vain.
    void note(duration first_event, duration goal, steady_time now);
    /// @return the opinion from which on a small model's answer is kept now.
    double kept_confidence(steady_time now) const;

private:
    double part(steady_time now) const;

    pressure_settings settings_;
    double sum_{0};
    double weight_{0};
    steady_time noted_;
};

} // namespace agatespar
