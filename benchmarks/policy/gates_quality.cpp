// Gates on the cost and the quality of answers, on the version guard, and on quality while the rating service is down.
#include "gate_runs.h"
#include "gates.h"

#include <agatespar/routing/version_guard.h>

namespace agatespar::bench {

static constexpr std::size_t simulated_rollouts = 400;
static constexpr int answers_per_rollout = 3000;

/// Compares the cost and the share of good answers with those of the reference policies.
static std::vector<gated_figure> measure_cost(const base_scenarios& base)
{
    std::vector<gated_figure> figures;
    for (const scenario* each : {&base.counter, &base.ceremonies}) {
        scenario s = *each;
        s.duration_s = 3600;
        s.warmup_s = 600;
        const auto runs = reports(s, "agatespar", 9);
        figures.push_back({s.name + ": cost over the oracle's", values_of(runs, "cost_over_oracle_ratio"), 1.1});
        figures.push_back({s.name + ": good answers over always-strong's",
                           values_of(runs, "good_over_always_strong_ratio"), 0.95, true});
    }
    return figures;
}

/// Counts the answers of a version that becomes worse during its roll-out until the guard stops it, as a ratio to its
/// answers under a policy with a fixed share and no guard.
static std::vector<gated_figure> measure_guard(const base_scenarios& base)
{
    std::vector<gated_figure> figures;
    for (const scenario* each : {&base.counter, &base.ceremonies}) {
        scenario s = *each;
        s.duration_s = s.warmup_s + 3600;
        scenario_event bad = event_at(s.warmup_s + 300, event_kind::version_turns_bad);
        bad.version = s.versions.back().share < 0.5 ? s.versions.size() - 1 : 1;
        bad.value = 0.4;
        s.events = {bad};
        const auto guarded = values_of(reports(s, "agatespar"), "answers_by_bad_version_until_stopped");
        const auto fixed = values_of(reports(s, "fixed-canary"), "answers_by_bad_version");
        std::vector<double> ratios;
        for (std::size_t i = 0; i < guarded.size(); ++i)
            ratios.push_back(guarded[i] / std::max(fixed[i], 1.0));
        figures.push_back({s.name + ": answers by a bad version over fixed share's in 55 min", ratios, 0.1});
    }
    return figures;
}

/// Simulates the ratings of a roll-out of a version that is as good as the incumbent.
/// @return whether the guard stops the version.
static bool false_alarm(const scenario& s, std::mt19937_64& random)
{
    answer_counts counts{boot_id{1}, 2, s.classes.size()};
    version_guard guard{{}, version_index{1}, version_index{0}};
    const double rated_good_gain = 1 - s.rating_false_good - s.rating_false_bad;
    for (int i = 0; i < answers_per_rollout; ++i) {
        const std::size_t c = random() % s.classes.size();
        const double rated_good = s.versions[0].good[c] * rated_good_gain + s.rating_false_good;
        const version_index version{static_cast<std::uint8_t>(random() % 10 == 0 ? 1 : 0)};
        counts.record(version, class_index{static_cast<std::uint8_t>(c)},
                      std::bernoulli_distribution{rated_good}(random));
        if (i % 10 == 0 && guard.update(counts).stop)
            return true;
    }
    return false;
}

/// Counts how often the guard stops a good version, in simulated ratings and in whole runs.
static std::vector<gated_figure> measure_false_alarms(const base_scenarios& base)
{
    std::vector<double> shares;
    for (std::uint64_t seed = 1; seed <= gate_seeds; ++seed) {
        std::mt19937_64 random{seed};
        double alarms = 0;
        for (std::size_t i = 0; i < simulated_rollouts; ++i)
            alarms += false_alarm(base.counter, random) ? 1 : 0;
        shares.push_back(alarms / simulated_rollouts);
    }
    scenario s = base.counter;
    s.duration_s = 1800;
    const auto runs = reports(s, "agatespar", 9);
    return {{"share of roll-outs of a good version that were stopped", shares, 0.01, false, true},
            {"guard stops of a good version in a whole run", values_of(runs, "guard_stops"), 0, false, true}};
}

/// Estimates, for requests planned while the rating service is down, how many more answers are bad than with the policy
/// always-strong.
static std::vector<gated_figure> measure_rating_out(const base_scenarios& base)
{
    std::vector<gated_figure> figures;
    for (const scenario* each : {&base.counter, &base.ceremonies}) {
        scenario s = *each;
        s.burst_factor = 1;
        s.rate_per_s = rate_for_load(s, 0.3);
        s.duration_s = 900;
        s.events = {event_at(400, event_kind::rating_down), event_at(700, event_kind::rating_up)};
        const auto runs = reports(s, "agatespar");
        // The figure is an expected number of answers; less than 0.5 counts as none.
        figures.push_back({s.name + ": expected extra bad answers while ratings are away",
                           values_of(runs, "expected_extra_bad_answers_without_rating"), 0.5, false, true});
    }
    return figures;
}

std::vector<gate> quality_gates(const base_scenarios& base)
{
    return {
        {"cost", [base] { return measure_cost(base); }},
        {"guard", [base] { return measure_guard(base); }},
        {"guard-false-alarms", [base] { return measure_false_alarms(base); }},
        {"rating-out", [base] { return measure_rating_out(base); }},
    };
}

} // namespace agatespar::bench
