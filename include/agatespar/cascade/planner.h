// Chooses how each request is served: by one model, or by a cascade of a cheap model and a stronger fallback.
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

/// A fleet's settings for the choice of models, set by operators.
struct cascade_settings {
    /// Required share of good answers, relative to the strong model's share.
    double quality_target{0.95};
    /// Added to the target, because the estimated quality of the models is uncertain.
    double quality_margin{0.0045};
    /// Share of a class's requests that go to a model with fewer than `min_planning_samples` rated answers in the
    /// class.
    double initial_exploration{0.2};
    /// Share of a class's requests that go to a model with enough samples for planning, but too few to end exploration.
    /// It also applies to the strong model.
    double exploration{0.01};
    /// Minimum number of rated answers of a model in a class before the planner uses the model for the class.
    double min_planning_samples{30};
    /// Number of rated answers of a model in a class at which exploration ends.
    double enough_samples{150};
    /// Number of rated answers of the strong model in a class at which exploration ends. It is higher because the
    /// quality target is relative to the strong model.
    double enough_reference_samples{2000};
};

/// Properties of a request class that the planner uses besides the estimated quality.
struct class_traits {
    /// The answer can be withheld from the client until it is rated, as a cascade requires.
    bool can_be_withheld{false};
    /// Mean number of tokens of a request, prompt and answer together.
    double mean_tokens{0};
    /// Weight of the class: its number of requests so far. Only the proportions between classes matter.
    double traffic{0};
};

/// The versions that serve one request.
struct serving_plan {
    /// Versions that may give the first answer.
    version_set first;
    /// Versions that answer instead if the first answer is rated bad; empty without a cascade.
    version_set then;
    /// The model was chosen to collect ratings of it, not because it is the cheapest choice.
    bool exploring{false};
    bool cascade() const { return then.any(); }
};

/// The properties of a request on which its plan depends.
struct plan_request {
    class_index request_class;
    std::uint64_t session_hash{0};
    /// Time remaining until the request's deadline.
    duration left{0};
    /// Predicted duration of a cascade: both models' answers and the rating between them.
    duration both_steps{0};
    /// The answer can be withheld from the client until it is rated.
    bool can_be_withheld{false};
};

/// Chooses the models of each request according to the cheapest mix over all classes, which `refresh` recomputes.
/// Within a mix, the session's hash determines the option, so that all VMs choose alike and a session keeps its model
/// while the mix does not change.
class cascade_planner {
public:
    cascade_planner(const cascade_settings& settings, std::size_t classes);

    /// Recomputes the mix. To be called every few seconds, not for each request.
    /// @param versions of one fleet; other versions in the view are ignored.
    /// @param classes indexed by `class_index`.
    void refresh(const routing_view& view, const version_set& versions, const quality_estimates& quality,
                 const std::vector<class_traits>& classes);

    /// @param rating_available whether the rating service is available. Without it, the plan is the strong model alone,
    /// because no other choice can guarantee the quality target.
    /// @param random decides whether the request explores a model.
    serving_plan plan(const plan_request& request, bool rating_available, std::mt19937_64& random) const;

    /// @return the current mix of a class, for status output and explanations.
    const class_mix& mix(class_index request_class) const { return mixes_[request_class.value()]; }
    /// @return all versions of the strong model, which is the quality reference.
    const version_set& strong_versions() const { return model_versions_[strong_.value()]; }

private:
    /// A model's estimated quality in a class: the mean over its versions, weighted by their roll-out shares.
    struct model_quality {
        double truly_good{0};
        double rated_good{0};
        double samples{0};
    };

    std::optional<model_index> draw_unexplored(class_index request_class, std::mt19937_64& random) const;
    void add_unexplored(class_index request_class, model_index model, double samples);
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
    /// A model that needs more samples in a class, and the share of the class's requests to send to it.
    struct unexplored_model {
        model_index model;
        double share{0};
    };
    std::vector<std::vector<unexplored_model>> unexplored_;
};

} // namespace agatespar
