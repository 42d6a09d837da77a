// Plans how each request is served: up front by one model, or by a cheap one with a stronger one behind it.
#pragma once

#include <agatespar/cascade/mix.h>
#include <agatespar/cascade/quality.h>
#include <agatespar/routing/indices.h>
#include <agatespar/routing/view.h>

#include <array>
#include <optional>
#include <random>
#include <vector>

namespace agatespar {

/// What operators set for a fleet.
struct cascade_settings {
    /// Share of good answers to reach, relative to the strong model's.
    double quality_target{0.95};
    /// Aimed above the target by this, as the learned rates are uncertain.
    double quality_margin{0.0045};
    /// Share of requests that try a model of which nothing is known yet in their class.
    double first_exploration{0.2};
    /// Share of requests that try a model of which little is known in their class.
    double exploration{0.01};
    /// Answers of a model in a class before it is planned with.
    double fewest_samples{30};
    /// Answers of a model in a class after which it needs no more exploration.
    double enough_samples{150};
    /// The same for the strong model, as the target relates to it.
    double enough_reference_samples{2000};
};

/// What the planner knows of a class besides the learned quality.
struct class_traits {
    /// The answer can be held back until it is rated.
    bool may_be_held{false};
    double mean_tokens{0};
    /// Requests of the class so far, decayed; only the proportions matter.
    double traffic{0};
};

/// How one request is served.
struct serving_plan {
    version_set first;
    /// Versions that answer instead if the first answer is rated bad; empty without a cascade.
    version_set then;
    /// Taken to learn of a model, not because it is the cheapest choice.
    bool exploring{false};
    bool cascade() const { return then.any(); }
};

/// One request, as far as the plan depends on it.
struct plan_request {
    class_index request_class;
    std::uint64_t session_hash{0};
    /// Time left to the deadline.
    duration left{0};
    /// Predicted time of a cascade's two steps and the rating between them.
    duration both_steps{0};
    bool may_be_held{false};
};

/// Chooses by the cheapest mix over the classes, which it solves anew whenever it is refreshed. The choice follows the
/// session's hash, so that all VMs agree and a session stays with its model while the mix is steady.
class cascade_planner {
public:
    cascade_planner(const cascade_settings& settings, std::size_t classes);

    /// Solves the mix. To be called every few seconds, not for each request.
    /// @param versions of the one fleet only; others in the view are not planned with.
    void refresh(const routing_view& view, const version_set& versions, const quality_estimates& quality,
                 const std::vector<class_traits>& classes);

    /// @param rating_available without ratings only the strong model, whose quality is the reference, is safe.
    serving_plan plan(const plan_request& request, bool rating_available, std::mt19937_64& random) const;

    /// @return how a class is served at present, for status and explanations.
    const class_mix& mix(class_index request_class) const { return mixes_[request_class.value()]; }
    /// @return all versions of the model that is the reference.
    const version_set& strong_versions() const { return model_versions_[strong_.value()]; }

private:
    /// A model's learned quality in a class, over its versions by their shares.
    struct model_quality {
        double truly_good{0};
        double rated_good{0};
        double samples{0};
    };

    std::optional<model_index> draw_unexplored(class_index request_class, std::mt19937_64& random) const;
    void note_unexplored(class_index request_class, model_index model, double samples);
    void group_models(const routing_view& view, const version_set& versions);
    model_quality quality_of(const routing_view& view, const quality_estimates& quality, std::size_t model,
                             class_index request_class) const;
    class_options options_for(const routing_view& view, const quality_estimates& quality, class_index request_class,
                              const class_traits& traits);

    cascade_settings settings_;
    std::vector<class_mix> mixes_;
    std::vector<std::uint8_t> models_;
    std::array<version_set, max_models> model_versions_{};
    std::array<double, max_models> model_cost_{};
    model_index strong_;
    /// A model that is to be tried in a class.
    struct unexplored_model {
        model_index model;
        double share{0};
    };
    std::vector<std::vector<unexplored_model>> unexplored_;
};

} // namespace agatespar
