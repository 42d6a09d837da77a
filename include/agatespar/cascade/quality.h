// What is learned of each version's share of good answers in each class.
#pragma once

#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/indices.h>

#include <vector>

namespace agatespar {

/// How often the rating service errs, as the operators set it for a fleet.
struct rating_errors {
    /// A bad answer is rated good with this probability.
    double false_good{0};
    /// A good answer is rated bad with this probability.
    double false_bad{0};
};

/// Learned shares of good answers, which forget slowly so that they follow a version that changes.
class quality_estimates {
public:
    /// @param memory the number of answers of a version and class after which older ones weigh half.
    quality_estimates(std::size_t versions, std::size_t classes, const rating_errors& errors, double memory = 4000);

    /// Takes in the ratings since the last call.
    void update(const answer_counts& counts);

    /// @return how many recent answers the estimate rests on.
    double samples(version_index version, class_index request_class) const;
    /// @return the probability that an answer is rated good; one half where nothing is known.
    double rated_good(version_index version, class_index request_class) const;
    /// @return the probability that an answer is truly good: the share of good ratings less the service's errors.
    double truly_good(version_index version, class_index request_class) const;

    const rating_errors& errors() const { return errors_; }

private:
    /// Decayed counts, and the totals up to which they were taken in.
    struct estimate {
        double good{0};
        double bad{0};
        answer_tally seen;
    };

    std::size_t place(version_index version, class_index request_class) const
    {
        return version.value() * classes_ + request_class.value();
    }

    std::size_t classes_;
    rating_errors errors_;
    double memory_;
    std::vector<estimate> estimates_;
};

/// @return the probability that an answer is good that the first version gives, unless it is rated bad and the second
/// version answers instead.
double cascade_good(double first_good, double then_good, const rating_errors& errors);

} // namespace agatespar
