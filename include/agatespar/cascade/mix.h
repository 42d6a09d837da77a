// Chooses the models that serve each request class of a fleet at the least cost that meets a quality target.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/request.h>

#include <optional>
#include <span>
#include <vector>

namespace agatespar {

inline constexpr std::size_t max_serving_options = 12;

/// One way to serve a request class: by a single model, or by a cascade of two models, where the second one answers if
/// the first one's answer is rated bad.
struct serving_option {
    model_index first;
    /// Second model of a cascade; empty for a single model.
    std::optional<model_index> then;
    /// Probability that the final answer is good.
    double good{0};
    /// Expected cost of a request, including the second model's answer where there is one.
    double cost{0};
};

/// A request class and the options for serving it.
struct class_options {
    /// Weight of the class: its share of the fleet's requests.
    double traffic{0};
    /// Share of good answers of the strong model alone. The quality target is relative to it.
    double strong_good{0};
    inline_list<serving_option, max_serving_options> options;
};

/// How a request class is served: a share of its sessions by the better option, the others by the cheaper one.
struct class_mix {
    serving_option cheaper;
    serving_option better;
    /// Share of the sessions that use the better option, from 0 to 1.
    double better_share{0};
};

/// Computes the mix of least expected cost whose share of good answers, over all classes, is at least `target` times
/// the strong model's share. This is a linear program whose only constraint besides the shares within each class is the
/// target, so a greedy algorithm is exact: it follows the classes' lower convex hulls of cost over quality and always
/// takes the step of least cost per gained quality (Sinha and Zoltners, "The multiple-choice knapsack problem", 1979).
/// @param classes each with at least one option.
/// @param target relative to the strong model; 1 is the strong model's quality.
/// @return one mix per class, in the order of `classes`. If the target cannot be met, each mix has the best quality
/// that its options allow.
std::vector<class_mix> cheapest_mix(std::span<const class_options> classes, double target);

/// @param fail_probability that the cheap model's answer is rated bad, so that the strong model answers as well.
/// @return whether a cascade costs less than the strong model alone: `cheap + P(fail) * strong < strong`.
bool is_cascade_cheaper(double cheap_cost, double fail_probability, double strong_cost);

} // namespace agatespar
