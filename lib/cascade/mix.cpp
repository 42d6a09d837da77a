// The cheapest way to serve the classes of a fleet at a quality target.
#include <agatespar/cascade/mix.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

namespace {

/// One step up a class's hull.
struct hull_step {
    std::size_t class_at{0};
    std::size_t from{0};
    double gain{0};
    double cost_per_gain{0};
};

using hull = std::vector<serving_option>;

} // namespace

bool cascade_pays(double cheap_cost, double fail_probability, double strong_cost)
{
    return cheap_cost + fail_probability * strong_cost < strong_cost;
}

static double slope(const serving_option& from, const serving_option& to)
{
    return (to.cost - from.cost) / (to.good - from.good);
}

/// @return the options from the cheapest to the best that no mix of two others beats.
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

static std::vector<hull_step> steps_by_price(std::span<const class_options> classes, const std::vector<hull>& hulls)
{
    std::vector<hull_step> steps;
    for (std::size_t i = 0; i < hulls.size(); ++i) {
        for (std::size_t from = 0; from + 1 < hulls[i].size(); ++from) {
            const double gain = classes[i].traffic * (hulls[i][from + 1].good - hulls[i][from].good);
            steps.push_back({i, from, gain, slope(hulls[i][from], hulls[i][from + 1])});
        }
    }
    // A hull's steps grow dearer along it, so a stable order keeps them in their order.
    std::stable_sort(steps.begin(), steps.end(),
                     [](const hull_step& a, const hull_step& b) { return a.cost_per_gain < b.cost_per_gain; });
    return steps;
}

std::vector<class_mix> cheapest_mix(std::span<const class_options> classes, double target)
{
    std::vector<hull> hulls;
    std::vector<class_mix> mixes;
    double missing = 0;
    for (const class_options& each : classes) {
        hulls.push_back(lower_hull(each));
        assert(!hulls.back().empty() && "each class has a way to be served");
        const serving_option& cheapest = hulls.back().front();
        mixes.push_back({cheapest, cheapest, 0});
        missing += each.traffic * (target * each.strong_good - cheapest.good);
    }
    for (const hull_step& step : steps_by_price(classes, hulls)) {
        if (missing <= 0)
            break;
        const hull& along = hulls[step.class_at];
        const double share = step.gain > missing ? missing / step.gain : 1;
        mixes[step.class_at] = {along[step.from], along[step.from + 1], share};
        missing -= step.gain;
    }
    return mixes;
}

} // namespace agatespar
