// The mean of observations whose weights decay exponentially with their age.
#pragma once

#include <agatespar/support/clock.h>

namespace agatespar {

/// Observations, added up with their present weights.
struct decaying_average {
    /// The age at which an observation has half of its initial weight.
    std::chrono::milliseconds half_life{0};
    double sum{0};
    double weight{0};
    steady_time updated_at;
};

/// Adds an observation of weight one.
void note_value(decaying_average& average, double value, steady_time now);

/// @return the total weight of all observations at this time.
double weight_at(const decaying_average& average, steady_time now);

/// @param prior value that counts as one more observation, of constant weight `prior_weight`.
/// @return the mean; the prior while there are no observations.
double mean_at(const decaying_average& average, double prior, double prior_weight, steady_time now);

} // namespace agatespar
