// Chooses the models that serve each request class of a fleet at the least cost that meets a quality target.
#include <agatespar/cascade/mix.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

namespace {

/// A step from one option of a class's hull to the next better one.
struct hull_step {
    std::size_t class_position{0};
    std::size_t from{0};
    /// Gain in the fleet's share of good answers if the whole class takes the step.
    double gain{0};
    double cost_per_gain{0};
};

using hull = std::vector<serving_option>;

} // namespace

bool is_cascade_cheaper(double cheap_cost, double fail_probability, double strong_cost)
{
    return cheap_cost + fail_probability * strong_cost < strong_cost;
}

static double slope(const serving_option& from, const serving_option& to)
{
    return (to.cost - from.cost) / (to.good - from.good);
}

/// @return the options on the lower convex hull of cost over quality, from the cheapest to the best. Any other option
/// is no better than a mix of two of these.
static hull lower_hull(const class_options& each)
{
    hull sorted(each.options.begin(), each.options.end());
    std::sort(sorted.begin(), sorted.end(), [](const serving_option& a, const serving_option& b) {
        return a.cost != b.cost ? a.cost < b.cost : a.good > b.good;
    });
    hull result;
    for (const serving_option& option : sorted) {
        if (!result.empty() && option.good <= result.back().good)
            continue;
        while (result.size() >= 2 && slope(result[result.size() - 2], result.back()) >= slope(result.back(), option))
            result.pop_back();
        result.push_back(option);
    }
    return result;
}

/// @return the steps of all hulls, by increasing cost per gain.
static std::vector<hull_step> sort_steps_by_cost(std::span<const class_options> classes, const std::vector<hull>& hulls)
{
    std::vector<hull_step> steps;
    for (std::size_t i = 0; i < hulls.size(); ++i) {
        for (std::size_t from = 0; from + 1 < hulls[i].size(); ++from) {
            const double gain = classes[i].traffic * (hulls[i][from + 1].good - hulls[i][from].good);
            steps.push_back({i, from, gain, slope(hulls[i][from], hulls[i][from + 1])});
        }
    }
    // The cost per gain increases within a hull, so the stable sort keeps the order of each hull's steps.
    std::stable_sort(steps.begin(), steps.end(),
                     [](const hull_step& a, const hull_step& b) { return a.cost_per_gain < b.cost_per_gain; });
    return steps;
}

std::vector<class_mix> cheapest_mix(std::span<const class_options> classes, double target)
{
    std::vector<hull> hulls;
    std::vector<class_mix> mixes;
    double quality_deficit = 0;
    for (const class_options& each : classes) {
        hulls.push_back(lower_hull(each));
        assert(!hulls.back().empty() && "each class needs at least one serving option");
        const serving_option& cheapest = hulls.back().front();
        mixes.push_back({cheapest, cheapest, 0});
        quality_deficit += each.traffic * (target * each.strong_good - cheapest.good);
    }
    for (const hull_step& step : sort_steps_by_cost(classes, hulls)) {
        if (quality_deficit <= 0)
            break;
        const hull& class_hull = hulls[step.class_position];
        const double share = step.gain > quality_deficit ? quality_deficit / step.gain : 1;
        mixes[step.class_position] = {class_hull[step.from], class_hull[step.from + 1], share};
        quality_deficit -= step.gain;
    }
    return mixes;
}

} // namespace agatespar
