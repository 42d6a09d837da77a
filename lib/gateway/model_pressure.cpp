// Averages times to the first event with exponentially decaying weights, and lowers the required confidence of small
// models accordingly.
#include <agatespar/gateway/model_pressure.h>

#include <algorithm>

namespace agatespar {

// Weight of a prior observation without any delay, so that a single late answer after a pause changes little.
static constexpr double prior_weight = 1;

void model_pressure::note(duration first_event, duration goal, steady_time now)
{
    if (goal <= duration::zero()) {
        return;
    }
    note_value(goal_fractions_, std::chrono::duration<double>(first_event) / std::chrono::duration<double>(goal), now);
}

double model_pressure::mean_goal_fraction(steady_time now) const
{
    return mean_at(goal_fractions_, 0, prior_weight, now);
}

double model_pressure::required_confidence(steady_time now) const
{
    const double range = settings_.full_pressure_fraction - settings_.no_pressure_fraction;
    const double pressure = std::clamp((mean_goal_fraction(now) - settings_.no_pressure_fraction) / range, 0.0, 1.0);
    return settings_.required_confidence * (1 - pressure);
}

} // namespace agatespar
