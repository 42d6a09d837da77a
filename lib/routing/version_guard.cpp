// A sequential test that stops assigning new sessions to a version whose answers are worse than the incumbent's.
#include <agatespar/routing/version_guard.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace agatespar {

// The alternative hypotheses of the test: the fraction of the good answers that a bad version turns into bad ones.
static constexpr std::array<double, 4> degradation_shares{0.08, 0.2, 0.45, 0.8};
// Limits the likelihood ratio of one hypothesis, so that it remains finite.
static constexpr double max_log_ratio = 600;
// Beyond this number, the oldest test is dropped. That can only lower the evidence, so the error bound remains valid.
static constexpr std::size_t max_tests = 64;
// The upper bound of the incumbent's share of bad answers lies this many standard errors above the mean.
static constexpr double standard_errors = 2;
// Below this many answers of the incumbent in a class, the class is not compared. The bound on the incumbent's share
// allows for their small number.
static constexpr std::uint64_t min_incumbent_answers = 5;
// Below this many concurrent answers of the incumbent, a fault that affects both versions is not looked for.
static constexpr std::uint64_t min_concurrent_answers = 20;

version_guard::version_guard(const guard_settings& settings, version_index candidate, version_index incumbent)
    : settings_(settings), candidate_(candidate), incumbent_(incumbent)
{
}

/// @return an upper bound of the share of bad answers of a version that is as good as the incumbent.
static double tolerated_bad_share(const answer_tally& incumbent, double tolerance)
{
    const double total = static_cast<double>(incumbent.total()) + 2;
    const double mean = (static_cast<double>(incumbent.bad) + 1) / total;
    const double error = std::sqrt(mean * (1 - mean) / total);
    return std::min(0.95, mean + standard_errors * error + tolerance);
}

/// @return whether the incumbent's recent answers are significantly worse than all of its answers, as during a fault
/// that affects both versions.
static bool is_unusually_bad(const answer_tally& recent, const answer_tally& all)
{
    if (recent.total() < min_concurrent_answers) {
        return false;
    }
    const double usual_share = (static_cast<double>(all.bad) + 1) / (static_cast<double>(all.total()) + 2);
    const double expected = usual_share * static_cast<double>(recent.total());
    const double error = std::sqrt(expected * (1 - usual_share));
    return static_cast<double>(recent.bad) > expected + standard_errors * error;
}

/// @return the likelihood ratio of the candidate's answers since the start of the test, averaged over the alternatives.
double version_guard::evidence_since(const test_start& start, const answer_counts& counts,
                                     const answer_tally& concurrent_incumbent) const
{
    // A bad version may degrade all classes alike, or a single one: the good answers of the others are then no evidence
    // for it. The sum of the weights of all hypotheses is one.
    std::array<double, degradation_shares.size()> log_ratios{};
    double single_class_sum = 0;
    const answer_tally since{concurrent_incumbent.good - start.concurrent_incumbent.good,
                             concurrent_incumbent.bad - start.concurrent_incumbent.bad};
    const bool fault_affects_both = is_unusually_bad(since, verdict_.incumbent);
    const double tolerated_concurrent = fault_affects_both ? tolerated_bad_share(since, settings_.tolerance) : 0;
    for (std::size_t i = 0; i < counts.classes(); ++i) {
        const answer_tally now = counts.total(candidate_, class_at(i));
        const answer_tally incumbent = counts.total(incumbent_, class_at(i));
        if (incumbent.total() < min_incumbent_answers)
            continue;
        const double good = static_cast<double>(now.good - start.tallies[i].good);
        const double bad = static_cast<double>(now.bad - start.tallies[i].bad);
        const double tolerated = std::max(tolerated_concurrent, tolerated_bad_share(incumbent, settings_.tolerance));
        for (std::size_t k = 0; k < degradation_shares.size(); ++k) {
            const double alternative = tolerated + degradation_shares[k] * (1 - tolerated);
            const double log_ratio =
                bad * std::log(alternative / tolerated) + good * std::log((1 - alternative) / (1 - tolerated));
            log_ratios[k] += log_ratio;
            single_class_sum += std::exp(std::min(log_ratio, max_log_ratio));
        }
    }
    double all_classes_sum = 0;
    for (const double log_ratio : log_ratios)
        all_classes_sum += std::exp(std::min(log_ratio, max_log_ratio));
    const double shares = static_cast<double>(degradation_shares.size());
    if (counts.classes() == 1)
        return all_classes_sum / shares;
    return (all_classes_sum + single_class_sum / static_cast<double>(counts.classes())) / (2 * shares);
}

/// Starts a test after every `answers_per_test` answers. The k-th test has the weight 1/(k(k+1)); the weights sum to
/// one.
void version_guard::start_test_if_due(const answer_counts& counts, const answer_tally& concurrent_incumbent)
{
    if (verdict_.candidate.total() < tests_started_ * settings_.answers_per_test)
        return;
    ++tests_started_;
    test_start start;
    start.concurrent_incumbent = concurrent_incumbent;
    start.weight = 1.0 / (static_cast<double>(tests_started_) * static_cast<double>(tests_started_ + 1));
    for (std::size_t i = 0; i < counts.classes(); ++i)
        start.tallies.push_back(counts.total(candidate_, class_at(i)));
    tests_.push_back(std::move(start));
    if (tests_.size() > max_tests)
        tests_.erase(tests_.begin());
}

const guard_verdict& version_guard::update(const answer_counts& counts, const answer_tally& concurrent_incumbent)
{
    if (verdict_.stop && settings_.stop_is_permanent)
        return verdict_;
    verdict_.candidate = counts.total(candidate_);
    verdict_.incumbent = counts.total(incumbent_);
    verdict_.evidence = 0;
    for (const test_start& start : tests_)
        verdict_.evidence += start.weight * evidence_since(start, counts, concurrent_incumbent);
    verdict_.stop = verdict_.evidence >= 1 / settings_.false_alarm_probability;
    start_test_if_due(counts, concurrent_incumbent);
    return verdict_;
}

std::string explain_as_sentence(const version_guard& guard, const std::function<std::string(version_index)>& name)
{
    const guard_verdict& verdict = guard.verdict();
    std::array<char, 32> evidence{};
    std::snprintf(evidence.data(), evidence.size(), "%.3g", verdict.evidence);
    std::string text = "Version " + name(guard.candidate());
    text += verdict.stop ? " gets no new sessions: " : " is not stopped: ";
    text += std::to_string(verdict.candidate.bad) + " of its " + std::to_string(verdict.candidate.total()) +
            " answers were bad, against " + std::to_string(verdict.incumbent.bad) + " of " +
            std::to_string(verdict.incumbent.total()) + " of version " + name(guard.incumbent()) + "; that is " +
            evidence.data() + " times more likely if it is worse than if it is as good.";
    return text;
}

} // namespace agatespar
