// Chooses how each request is served: by one model, or by a cascade of a cheap model and a stronger fallback.
#include <agatespar/cascade/planner.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// Prior of the strong model's share of good answers in a class, and its weight in rated answers. An overestimated
// reference raises the cost, an underestimated one lowers the quality.
static constexpr double strong_prior = 0.98;
static constexpr double strong_prior_weight = 1000;

cascade_planner::cascade_planner(const cascade_settings& settings, std::size_t classes)
    : settings_(settings), mixes_(classes), unexplored_(classes)
{
}

void cascade_planner::group_models(const routing_view& view, const version_set& versions)
{
    models_.clear();
    model_versions_ = {};
    model_cost_ = {};
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        const version_view& version = view.versions[i];
        if (!versions[i] || version.withdrawn)
            continue;
        const std::uint8_t model = version.model.value();
        if (model_versions_[model].none())
            models_.push_back(model);
        model_versions_[model].set(i);
        model_cost_[model] = std::max(model_cost_[model], version.cost_per_1k_tokens);
    }
    // The most expensive model is the strong model, which is the quality reference.
    const auto most_expensive = std::max_element(models_.begin(), models_.end(),
                                                 [&](auto a, auto b) { return model_cost_[a] < model_cost_[b]; });
    strong_ = model_index{most_expensive == models_.end() ? std::uint8_t{0} : *most_expensive};
}

cascade_planner::model_quality cascade_planner::quality_of(const routing_view& view, const quality_estimates& quality,
                                                           std::size_t model, class_index request_class) const
{
    model_quality sum;
    double weights = 0;
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        const version_index version{static_cast<std::uint8_t>(i)};
        const double samples = quality.samples(version, request_class);
        if (!model_versions_[model][i] || samples <= 0)
            continue;
        // Weight by roll-out share, reduced for a version with few samples so that its uncertain estimate has little
        // influence on the model's.
        const double share = view.versions[i].stopped_by_guard ? 0 : view.versions[i].share;
        const double weight = share * std::min(1.0, samples / settings_.min_planning_samples);
        sum.samples += samples;
        sum.truly_good += weight * quality.truly_good(version, request_class);
        sum.rated_good += weight * quality.rated_good(version, request_class);
        weights += weight;
    }
    if (weights > 0) {
        sum.truly_good /= weights;
        sum.rated_good /= weights;
    }
    if (model == strong_.value()) {
        const double sample_weight = sum.samples / (sum.samples + strong_prior_weight);
        sum.truly_good = sample_weight * sum.truly_good + (1 - sample_weight) * strong_prior;
    }
    return sum;
}

void cascade_planner::add_unexplored(class_index request_class, model_index model, double samples)
{
    const bool is_strong = model == strong_;
    if (samples >= (is_strong ? settings_.enough_reference_samples : settings_.enough_samples))
        return;
    const bool first = samples < settings_.min_planning_samples && !is_strong;
    const double share = first ? settings_.initial_exploration : settings_.exploration;
    unexplored_[request_class.value()].push_back({model, share});
}

class_options cascade_planner::options_for(const routing_view& view, const quality_estimates& quality,
                                           class_index request_class, const class_traits& traits)
{
    class_options result;
    result.traffic = traits.traffic;
    const model_quality strong = quality_of(view, quality, strong_.value(), request_class);
    const double strong_cost = model_cost_[strong_.value()] * traits.mean_tokens / 1000;
    result.strong_good = strong.truly_good;
    result.options.push({strong_, std::nullopt, strong.truly_good, strong_cost});
    for (const std::uint8_t model : models_) {
        if (model == strong_.value())
            continue;
        const model_quality each = quality_of(view, quality, model, request_class);
        add_unexplored(request_class, model_index{model}, each.samples);
        if (each.samples < settings_.min_planning_samples)
            continue;
        const double cost = model_cost_[model] * traits.mean_tokens / 1000;
        result.options.push({model_index{model}, std::nullopt, each.truly_good, cost});
        if (!traits.can_be_withheld || !is_cascade_cheaper(cost, 1 - each.rated_good, strong_cost))
            continue;
        result.options.push({model_index{model}, strong_,
                             cascade_good_probability(each.truly_good, strong.truly_good, quality.errors()),
                             cost + (1 - each.rated_good) * strong_cost});
    }
    add_unexplored(request_class, strong_, strong.samples);
    return result;
}

void cascade_planner::refresh(const routing_view& view, const version_set& versions, const quality_estimates& quality,
                              const std::vector<class_traits>& classes)
{
    group_models(view, versions);
    if (models_.empty())
        return;
    std::vector<class_options> options;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        unexplored_[i].clear();
        options.push_back(options_for(view, quality, class_index{static_cast<std::uint8_t>(i)}, classes[i]));
    }
    mixes_ = cheapest_mix(options, settings_.quality_target + settings_.quality_margin);
}

/// @return a number in [0, 1) that is constant for a session and class, uniformly distributed over sessions.
static double session_fraction(std::uint64_t session_hash, class_index request_class)
{
    // Makes the number independent of other uses of the session's hash.
    constexpr std::uint64_t hash_salt = 0x6d69'7865'64ULL;
    return std::ldexp(static_cast<double>(combine_hashes(session_hash, hash_salt + request_class.value()) >> 11U), -53);
}

std::optional<model_index> cascade_planner::draw_unexplored(class_index request_class, std::mt19937_64& random) const
{
    for (const unexplored_model& each : unexplored_[request_class.value()]) {
        if (std::bernoulli_distribution{each.share}(random))
            return each.model;
    }
    return std::nullopt;
}

serving_plan cascade_planner::plan(const plan_request& request, bool rating_available, std::mt19937_64& random) const
{
    serving_plan result;
    result.first = strong_versions();
    if (!rating_available || models_.empty())
        return result;
    const std::size_t at = request.request_class.value();
    const class_mix& mix = mixes_[at];
    const bool better = session_fraction(request.session_hash, request.request_class) < mix.better_share;
    const serving_option& option = better ? mix.better : mix.cheaper;
    const bool cascade_fits = request.can_be_withheld && request.both_steps < request.left;
    if (const auto model = draw_unexplored(request.request_class, random)) {
        result.exploring = true;
        result.first = model_versions_[model->value()];
        if (*model != strong_ && cascade_fits)
            result.then = strong_versions();
        return result;
    }
    if (option.then && !cascade_fits)
        return result;
    result.first = model_versions_[option.first.value()];
    if (option.then)
        result.then = model_versions_[option.then->value()];
    return result;
}

} // namespace agatespar
