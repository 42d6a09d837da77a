// A sequential test that stops new exposure to a version that answers worse than the incumbent.
#include <agatespar/routing/version_guard.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace agatespar {

// The alternatives against which answers are weighed: the share of the good answers that turned bad.
static constexpr std::array<double, 4> lost_shares{0.08, 0.2, 0.45, 0.8};
// Older starting points are dropped, which only lowers the evidence.
static constexpr std::size_t most_starts = 64;
// The incumbent's share of bad answers is taken this many standard errors above its mean.
static constexpr double standard_errors = 2;
// Without this many answers of the incumbent in a class there is nothing to compare with.
static constexpr std::uint64_t fewest_incumbent_answers = 20;

version_guard::version_guard(const guard_settings& settings, version_index candidate, version_index incumbent)
    : settings_(settings), candidate_(candidate), incumbent_(incumbent)
{
}

static class_index class_at(std::size_t index)
{
    return class_index{static_cast<std::uint8_t>(index)};
}

static answer_tally sum_of(const answer_counts& counts, version_index version)
{
    answer_tally sum;
    for (std::size_t i = 0; i < counts.classes(); ++i) {
        const answer_tally each = counts.total(version, class_at(i));
        sum.good += each.good;
        sum.bad += each.bad;
    }
    return sum;
}

/// The share of bad answers that a version as good as the incumbent may have, cautiously high.
static double tolerated_bad_share(const answer_tally& incumbent, double tolerance)
{
    const double total = static_cast<double>(incumbent.total()) + 2;
    const double mean = (static_cast<double>(incumbent.bad) + 1) / total;
    const double error = std::sqrt(mean * (1 - mean) / total);
    return std::min(0.95, mean + standard_errors * error + tolerance);
}

double version_guard::evidence_since(const test_start& start, const answer_counts& counts,
                                     const answer_tally& beside) const
{
    std::array<double, lost_shares.size()> log_ratios{};
    const answer_tally since{beside.good - start.beside.good, beside.bad - start.beside.bad};
    const bool says_enough = since.total() >= fewest_incumbent_answers;
    const double tolerated_beside = says_enough ? tolerated_bad_share(since, settings_.tolerance) : 0;
    for (std::size_t i = 0; i < counts.classes(); ++i) {
        const answer_tally now = counts.total(candidate_, class_at(i));
        const answer_tally incumbent = counts.total(incumbent_, class_at(i));
        if (incumbent.total() < fewest_incumbent_answers)
            continue;
        const double good = static_cast<double>(now.good - start.tallies[i].good);
        const double bad = static_cast<double>(now.bad - start.tallies[i].bad);
        const double tolerated = std::max(tolerated_beside, tolerated_bad_share(incumbent, settings_.tolerance));
        for (std::size_t k = 0; k < lost_shares.size(); ++k) {
            const double alternative = tolerated + lost_shares[k] * (1 - tolerated);
            log_ratios[k] +=
                bad * std::log(alternative / tolerated) + good * std::log((1 - alternative) / (1 - tolerated));
        }
    }
    double sum = 0;
    for (const double log_ratio : log_ratios)
        sum += std::exp(std::min(log_ratio, 600.0));
    return sum / static_cast<double>(lost_shares.size());
}

/// Starts a test after each `answers_per_start` answers. The k-th has the weight 1/(k(k+1)); these sum to one.
void version_guard::start_tests(const answer_counts& counts, const answer_tally& beside)
{
    if (sum_of(counts, candidate_).total() < started_ * settings_.answers_per_start)
        return;
    ++started_;
    test_start start;
    start.beside = beside;
    start.weight = 1.0 / (static_cast<double>(started_) * static_cast<double>(started_ + 1));
    for (std::size_t i = 0; i < counts.classes(); ++i)
        start.tallies.push_back(counts.total(candidate_, class_at(i)));
    starts_.push_back(std::move(start));
    if (starts_.size() > most_starts)
        starts_.erase(starts_.begin());
}

const guard_verdict& version_guard::update(const answer_counts& counts, const answer_tally& beside)
{
    if (verdict_.stop && settings_.holds)
        return verdict_;
    verdict_.candidate = sum_of(counts, candidate_);
    verdict_.incumbent = sum_of(counts, incumbent_);
    verdict_.evidence = 0;
    for (const test_start& start : starts_)
        verdict_.evidence += start.weight * evidence_since(start, counts, beside);
    verdict_.stop = verdict_.evidence >= 1 / settings_.false_alarm;
    start_tests(counts, beside);
    return verdict_;
}

std::string explain_as_sentence(const version_guard& guard, const std::function<std::string(version_index)>& name)
{
    const guard_verdict& verdict = guard.verdict();
    std::array<char, 32> evidence{};
    std::snprintf(evidence.data(), evidence.size(), "%.3g", verdict.evidence);
    std::string text = "Version " + name(guard.candidate());
    text += verdict.stop ? " gets no new sessions: " : " goes on: ";
    text += std::to_string(verdict.candidate.bad) + " of its " + std::to_string(verdict.candidate.total()) +
            " answers were bad, against " + std::to_string(verdict.incumbent.bad) + " of " +
            std::to_string(verdict.incumbent.total()) + " of version " + name(guard.incumbent()) + "; that is " +
            evidence.data() + " times likelier if it is worse than if it is as good.";
    return text;
}

} // namespace agatespar
