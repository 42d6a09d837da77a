// Estimates each version's share of good answers per request class from the ratings.
#include <agatespar/cascade/quality.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

quality_estimates::quality_estimates(std::size_t versions, std::size_t classes, const rating_errors& errors,
                                     double half_life)
    : classes_(classes), errors_(errors), half_life_(half_life), estimates_(versions * classes)
{
}

void quality_estimates::update(const answer_counts& counts)
{
    for (std::size_t i = 0; i < estimates_.size(); ++i) {
        const version_index version{static_cast<std::uint8_t>(i / classes_)};
        const class_index request_class{static_cast<std::uint8_t>(i % classes_)};
        const answer_tally now = counts.total(version, request_class);
        estimate& each = estimates_[i];
        const double good = static_cast<double>(now.good - each.added_totals.good);
        const double bad = static_cast<double>(now.bad - each.added_totals.bad);
        const double decay_factor = std::exp2(-(good + bad) / half_life_);
        each.good = each.good * decay_factor + good;
        each.bad = each.bad * decay_factor + bad;
        each.added_totals = now;
    }
}

double quality_estimates::samples(version_index version, class_index request_class) const
{
    const estimate& each = estimates_[index_of(version, request_class)];
    return each.good + each.bad;
}

double quality_estimates::rated_good(version_index version, class_index request_class) const
{
    const estimate& each = estimates_[index_of(version, request_class)];
    return (each.good + 0.5) / (each.good + each.bad + 1);
}

double quality_estimates::truly_good(version_index version, class_index request_class) const
{
    // Solves rated_good = truly_good * (1 - false_bad) + (1 - truly_good) * false_good for truly_good.
    const double youden_index = 1 - errors_.false_bad - errors_.false_good;
    // With error rates that add up to 1 or more, the equation gives no usable correction.
    if (youden_index <= 0)
        return rated_good(version, request_class);
    return std::clamp((rated_good(version, request_class) - errors_.false_good) / youden_index, 0.0, 1.0);
}

double cascade_good_probability(double first_good, double second_good, const rating_errors& errors)
{
    const double accepted_good = first_good * (1 - errors.false_bad);
    const double accepted_bad = (1 - first_good) * errors.false_good;
    return accepted_good + (1 - accepted_good - accepted_bad) * second_good;
}

} // namespace agatespar
