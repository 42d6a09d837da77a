// Keeps weighted sums and scales them down as time passes.
#include <agatespar/gateway/decaying_average.h>

#include <cmath>

namespace agatespar {

static double remaining_fraction(const decaying_average& average, steady_time now)
{
    const std::chrono::duration<double> age = now - average.updated_at;
    return std::exp2(-age / std::chrono::duration<double>(average.half_life));
}

void note_value(decaying_average& average, double value, steady_time now)
{
    const double remaining = remaining_fraction(average, now);
    average.sum = average.sum * remaining + value;
    average.weight = average.weight * remaining + 1;
    average.updated_at = now;
}

double weight_at(const decaying_average& average, steady_time now)
{
    return average.weight * remaining_fraction(average, now);
}

double mean_at(const decaying_average& average, double prior, double prior_weight, steady_time now)
{
    const double remaining = remaining_fraction(average, now);
    const double weight = average.weight * remaining + prior_weight;
    return weight > 0 ? (average.sum * remaining + prior * prior_weight) / weight : prior;
}

} // namespace agatespar
