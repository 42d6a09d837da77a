// A sequential test that stops new exposure to a version that answers worse than the incumbent.
#pragma once

#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/indices.h>

#include <functional>
#include <string>
#include <vector>

namespace agatespar {

/// How sure the guard must be.
struct guard_settings {
    /// A version may be worse than the incumbent by this share of answers before it counts as bad.
    double tolerance{0.02};
    /// Bound on the probability that a good version is ever stopped during its roll-out.
    double false_alarm{0.005};
    /// A new test starts after this many answers, as a version may turn bad late.
    std::uint64_t answers_per_start{8};
    /// Whether a stop holds though later answers speak against it.
    bool holds{true};
};

/// What the guard concludes.
struct guard_verdict {
    bool stop{false};
    /// How many times likelier the answers are if the version is bad; the guard stops at 1/false_alarm.
    double evidence{0};
    answer_tally candidate;
    answer_tally incumbent;
};

/// Watches one version of a roll-out. The evidence is a mixture of likelihood ratios against the incumbent's share
/// of bad answers, over several alternatives and starting points whose weights sum to at most one, so that by
/// Ville's inequality (J. Ville, 1939) a good version is stopped with probability at most `false_alarm`.
/// A stop that holds does so until the guard is made anew, e.g. when operators change the roll-out.
class version_guard {
public:
    version_guard(const guard_settings& settings, version_index candidate, version_index incumbent);

    /// Looks at the merged counts. Cheap enough for every tick.
    /// @param beside the incumbent's answers that were given beside the candidate's, since the roll-out's start. What
    /// went wrong with them just as often since a test began, like a failure of half of the servers, does not speak
    /// against the candidate. Too few are left out.
    /// @return the verdict so far.
    const guard_verdict& update(const answer_counts& counts, const answer_tally& beside = {});
    const guard_verdict& verdict() const { return verdict_; }
    version_index candidate() const { return candidate_; }
    version_index incumbent() const { return incumbent_; }

private:
    /// The candidate's tallies by class where one of the tests started.
    struct test_start {
        std::vector<answer_tally> tallies;
        /// The incumbent's answers beside them until then.
        answer_tally beside;
        double weight{0};
    };

    void start_tests(const answer_counts& counts, const answer_tally& beside);
    double evidence_since(const test_start& start, const answer_counts& counts, const answer_tally& beside) const;

    guard_settings settings_;
    version_index candidate_;
    version_index incumbent_;
    std::vector<test_start> starts_;
    std::uint64_t started_{0};
    guard_verdict verdict_;
};

/// @return why the guard stopped the version or lets it go on, as a sentence for operators.
std::string explain_as_sentence(const version_guard& guard, const std::function<std::string(version_index)>& name);

} // namespace agatespar
