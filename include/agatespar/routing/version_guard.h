// A sequential test that stops assigning new sessions to a version whose answers are worse than the incumbent's.
#pragma once

#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/indices.h>

#include <functional>
#include <string>
#include <vector>

namespace agatespar {

/// The error bounds and the schedule of the guard's tests.
struct guard_settings {
    /// A version counts as bad if its share of bad answers exceeds the incumbent's by more than this.
    double tolerance{0.02};
    /// Upper bound of the probability that a good version is ever stopped during its roll-out.
    double false_alarm_probability{0.005};
    /// A new test starts each time the version has this many more answers, as it may become bad late in its roll-out.
    std::uint64_t answers_per_test{8};
    /// Whether a stop is permanent. If false, it is lifted when later answers reduce the evidence below the threshold.
    bool stop_is_permanent{true};
};

/// The guard's current conclusion.
struct guard_verdict {
    /// Whether the version must get no new sessions.
    bool stop{false};
    /// Likelihood ratio of the observed answers: the hypothesis that the version is bad against the hypothesis that it
    /// is good. The guard stops the version when the ratio reaches 1/false_alarm_probability.
    double evidence{0};
    /// All answers of the two versions so far, over all classes.
    answer_tally candidate;
    answer_tally incumbent;
};

/// Tests one version (the candidate) of a roll-out against the version that it replaces (the incumbent). The evidence
/// is a mixture of likelihood ratios against the incumbent's share of bad answers, over several alternatives and
/// starting points whose weights sum to at most one. By Ville's inequality (J. Ville, 1939), a good version is
/// therefore stopped with probability at most `false_alarm_probability`. A permanent stop lasts until the guard is
/// constructed again, e.g. when operators change the roll-out.
class version_guard {
public:
    version_guard(const guard_settings& settings, version_index candidate, version_index incumbent);

    /// Updates the verdict. Cheap enough to be called on every timer tick.
    /// @param counts the answers of all versions, merged from all VMs.
    /// @param concurrent_incumbent the incumbent's answers given concurrently with the candidate's, since the start of
    /// the roll-out. A share of bad answers that the incumbent has in the same period too, e.g. because half of the
    /// servers failed, is not counted as evidence against the candidate. Ignored while there are too few of them.
    /// @return the current verdict.
    const guard_verdict& update(const answer_counts& counts, const answer_tally& concurrent_incumbent = {});
    const guard_verdict& verdict() const { return verdict_; }
    version_index candidate() const { return candidate_; }
    version_index incumbent() const { return incumbent_; }

private:
    /// The counts at the start of one test.
    struct test_start {
        /// The candidate's answers until then, by class.
        std::vector<answer_tally> tallies;
        /// The incumbent's answers concurrent with the candidate's, until then.
        answer_tally concurrent_incumbent;
        /// The weight of the test in the mixture.
        double weight{0};
    };

    void start_test_if_due(const answer_counts& counts, const answer_tally& concurrent_incumbent);
    double evidence_since(const test_start& start, const answer_counts& counts,
                          const answer_tally& concurrent_incumbent) const;

    guard_settings settings_;
    version_index candidate_;
    version_index incumbent_;
    std::vector<test_start> tests_;
    std::uint64_t tests_started_{0};
    guard_verdict verdict_;
};

/// @param name returns the name of a version for operators.
/// @return a sentence for operators that says whether the guard stopped the version, and why.
std::string explain_as_sentence(const version_guard& guard, const std::function<std::string(version_index)>& name);

} // namespace agatespar
