// What is learned of each version's share of good answers in each class.
#include <agatespar/cascade/quality.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

quality_estimates::quality_estimates(std::size_t versions, std::size_t classes, const rating_errors& errors,
                                     double memory)
    : classes_(classes), errors_(errors), memory_(memory), estimates_(versions * classes)
{
}

void quality_estimates::update(const answer_counts& counts)
{
    for (std::size_t i = 0; i < estimates_.size(); ++i) {
        const version_index version{static_cast<std::uint8_t>(i / classes_)};
        const class_index request_class{static_cast<std::uint8_t>(i % classes_)};
        const answer_tally now = counts.total(version, request_class);
        estimate& each = estimates_[i];
        const double good = static_cast<double>(now.good - each.seen.good);
        const double bad = static_cast<double>(now.bad - each.seen.bad);
        const double kept = std::exp2(-(good + bad) / memory_);
        each.good = each.good * kept + good;
        each.bad = each.bad * kept + bad;
        each.seen = now;
    }
}

double quality_estimates::samples(version_index version, class_index request_class) const
{
    const estimate& each = estimates_[place(version, request_class)];
    return each.good + each.bad;
}

double quality_estimates::rated_good(version_index version, class_index request_class) const
{
    const estimate& each = estimates_[place(version, request_class)];
    return (each.good + 0.5) / (each.good + each.bad + 1);
}

double quality_estimates::truly_good(version_index version, class_index request_class) const
{
    // rated = true * (1 - false_bad) + (1 - true) * false_good, solved for true.
    const double informative = 1 - errors_.false_bad - errors_.false_good;
    if (informative <= 0)
        return rated_good(version, request_class);
    return std::clamp((rated_good(version, request_class) - errors_.false_good) / informative, 0.0, 1.0);
}

double cascade_good(double first_good, double then_good, const rating_errors& errors)
{
    const double accepted_good = first_good * (1 - errors.false_bad);
    const double accepted_bad = (1 - first_good) * errors.false_good;
    return accepted_good + (1 - accepted_good - accepted_bad) * then_good;
}

} // namespace agatespar
