// Averages times to the first event with exponentially decaying weights, and lowers the required confidence of small
// models accordingly.
#include <agatespar/gateway/model_pressure.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// Weight of a prior observation without any delay, so that a single late answer after a pause changes little.
static constexpr double prior_weight = 1;

static double decay(duration age, std::chrono::milliseconds half_life)
{
    return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(half_life));
}

void model_pressure::note(duration first_event, duration goal, steady_time now)
{
    if (goal <= duration::zero()) {
        return;
    }
    const double remaining = decay(now - updated_at_, settings_.half_life);
    sum_ = sum_ * remaining + std::chrono::duration<double>(first_event) / std::chrono::duration<double>(goal);
    weight_ = weight_ * remaining + 1;
    updated_at_ = now;
}

double model_pressure::mean_goal_fraction(steady_time now) const
{
    const double remaining = decay(now - updated_at_, settings_.half_life);
    return sum_ * remaining / (weight_ * remaining + prior_weight);
}

double model_pressure::required_confidence(steady_time now) const
{
    const double range = settings_.full_pressure_fraction - settings_.no_pressure_fraction;
    const double pressure = std::clamp((mean_goal_fraction(now) - settings_.no_pressure_fraction) / range, 0.0, 1.0);
    return settings_.required_confidence * (1 - pressure);
}

} // namespace agatespar
