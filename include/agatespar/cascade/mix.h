// The cheapest way to serve the classes of a fleet at a quality target.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/request.h>

#include <optional>
#include <span>
#include <vector>

namespace agatespar {

inline constexpr std::size_t max_serving_options = 12;

/// One way to serve a class: by one model, or by one and, if its answer is rated bad, by another.
struct serving_option {
    model_index first;
    std::optional<model_index> then;
    /// Probability of a good answer.
    double good{0};
    /// Expected cost of a request, over both steps.
    double cost{0};
};

/// A class and the ways to serve it.
struct class_options {
    /// Its share of the fleet's requests.
    double traffic{0};
    /// The share of good answers that the strong model gives, to which the target relates.
    double strong_good{0};
    inline_list<serving_option, max_serving_options> options;
};

/// How a class is served: a share of its sessions by the better option, the others by the cheaper one.
struct class_mix {
    serving_option cheaper;
    serving_option better;
    double better_share{0};
};

/// Finds the mix of least expected cost whose share of good answers, over all classes, reaches
/// `target` times the strong model's. It is a linear program with one constraint besides each class's shares, so
/// moving along the classes' lower convex hulls by the least cost per gained quality is exact (Sinha and Zoltners,
/// "The multiple-choice knapsack problem", 1979).
/// @return a mix per class; where the target is out of reach, the best quality that there is.
std::vector<class_mix> cheapest_mix(std::span<const class_options> classes, double target);

/// @return whether a cascade costs less than the strong model alone: `cheap + P(fail) * strong < strong`.
bool cascade_pays(double cheap_cost, double fail_probability, double strong_cost);

} // namespace agatespar
