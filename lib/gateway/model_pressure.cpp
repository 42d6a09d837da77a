// Averages first events with weights that decay, and relaxes what is asked of small models.
#include <agatespar/gateway/model_pressure.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// Counts as one calm answer, so that a single late one after a pause changes little.
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
    const double kept = decay(now - noted_, settings_.half_life);
    sum_ = sum_ * kept + std::chrono::duration<double>(first_event) / std::chrono::duration<double>(goal);
    weight_ = weight_ * kept + 1;
    noted_ = now;
}

double model_pressure::part(steady_time now) const
{
    const double kept = decay(now - noted_, settings_.half_life);
    return sum_ * kept / (weight_ * kept + prior_weight);
}

double model_pressure::kept_confidence(steady_time now) const
{
    const double range = settings_.full_part - settings_.calm_part;
    const double pressed = std::clamp((part(now) - settings_.calm_part) / range, 0.0, 1.0);
    return settings_.kept_confidence * (1 - pressed);
}

} // namespace agatespar
