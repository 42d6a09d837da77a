// Estimates each version's share of good answers per request class from the ratings.
#pragma once

#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/indices.h>

#include <vector>

namespace agatespar {

/// Error rates of the rating service, set by operators for a fleet.
struct rating_errors {
    /// Probability that a bad answer is rated good.
    double false_good{0};
    /// Probability that a good answer is rated bad.
    double false_bad{0};
};

/// Estimated shares of good answers. Older ratings decay exponentially, so that an estimate follows a version whose
/// quality changes.
class quality_estimates {
public:
    /// @param half_life half-life of a rating, in rated answers of the same version and class.
    quality_estimates(std::size_t versions, std::size_t classes, const rating_errors& errors, double half_life = 4000);

    /// Adds the ratings since the last call.
    /// @param counts totals since the start.
    void update(const answer_counts& counts);

    /// @return the decayed number of ratings behind the estimate.
    double samples(version_index version, class_index request_class) const;
    /// @return the probability that an answer is rated good; 0.5 without any ratings.
    double rated_good(version_index version, class_index request_class) const;
    /// @return the probability that an answer is good, from 0 to 1: the share of good ratings, corrected for the rating
    /// service's error rates.
    double truly_good(version_index version, class_index request_class) const;

    const rating_errors& errors() const { return errors_; }

private:
    /// Decayed counts of ratings, and the totals that were already added to them.
    struct estimate {
        double good{0};
        double bad{0};
        answer_tally added_totals;
    };

    std::size_t index_of(version_index version, class_index request_class) const
    {
        return version.value() * classes_ + request_class.value();
    }

    std::size_t classes_;
    rating_errors errors_;
    double half_life_;
    std::vector<estimate> estimates_;
};

/// @param first_good probability that the first model's answer is good.
/// @param second_good probability that the second model's answer is good; it answers if the first answer is rated bad.
/// @return the probability that a cascade's final answer is good.
double cascade_good_probability(double first_good, double second_good, const rating_errors& errors);

} // namespace agatespar
