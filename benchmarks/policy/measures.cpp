// Quantiles, the report of a run, and the oracle that costs are compared with.
#include "measures.h"

#include <agatespar/cascade/mix.h>
#include <agatespar/cascade/quality.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace agatespar::bench {

// Share of good answers that the oracle's mix has to reach, relative to the most expensive model alone.
static constexpr double quality_target = 0.95;

double quantile(std::vector<double> samples, double q, std::uint64_t missing)
{
    const std::size_t total = samples.size() + missing;
    if (total == 0)
        return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(total)));
    const std::size_t at = rank == 0 ? 0 : rank - 1;
    if (at >= samples.size())
        return std::numeric_limits<double>::infinity();
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(at), samples.end());
    return samples[at];
}

/// The cost of a model, and its quality as the mean over its versions weighted by their shares.
struct true_model {
    double cost_per_1k_tokens{0};
    std::vector<double> good;
};

static std::vector<true_model> true_models(const scenario& s)
{
    std::vector<true_model> models;
    std::vector<double> shares;
    for (std::size_t i = 0; i < s.versions.size(); ++i) {
        const std::size_t model = s.model_of(i);
        if (model == models.size()) {
            models.push_back({s.versions[i].cost_per_1k_tokens, std::vector<double>(s.classes.size())});
            shares.push_back(0);
        }
        shares[model] += s.versions[i].share;
        for (std::size_t c = 0; c < s.classes.size(); ++c)
            models[model].good[c] += s.versions[i].share * s.versions[i].good[c];
    }
    for (std::size_t model = 0; model < models.size(); ++model) {
        for (double& good : models[model].good)
            good /= std::max(shares[model], 1e-9);
    }
    return models;
}

/// @return the options for serving one class: each model alone, and each cheaper model in a cascade with the strong
///     one. A streamed class has no cascades, because its answers can't be withheld for a rating.
static class_options true_options(const scenario& s, const std::vector<true_model>& models, std::size_t strong,
                                  std::size_t request_class, double tokens)
{
    const rating_errors errors{s.rating_false_good, s.rating_false_bad};
    class_options result;
    result.strong_good = models[strong].good[request_class];
    const double strong_cost = models[strong].cost_per_1k_tokens * tokens / 1000;
    const model_index strong_index{static_cast<std::uint8_t>(strong)};
    result.options.push({strong_index, std::nullopt, result.strong_good, strong_cost});
    for (std::size_t i = 0; i < models.size(); ++i) {
        if (i == strong)
            continue;
        const model_index index{static_cast<std::uint8_t>(i)};
        const double good = models[i].good[request_class];
        const double cost = models[i].cost_per_1k_tokens * tokens / 1000;
        result.options.push({index, std::nullopt, good, cost});
        if (s.classes[request_class].streamed)
            continue;
        const double rated_good = good * (1 - errors.false_bad) + (1 - good) * errors.false_good;
        result.options.push({index, strong_index, cascade_good_probability(good, result.strong_good, errors),
                             cost + (1 - rated_good) * strong_cost});
    }
    return result;
}

/// @param traffic share of the requests, by class.
/// @param tokens mean tokens of a request, by class.
/// @return the serving options of each class, computed from the probabilities in the
///     scenario instead of estimates.
static std::vector<class_options> true_classes(const scenario& s, const std::vector<double>& traffic,
                                               const std::vector<double>& tokens)
{
    const std::vector<true_model> models = true_models(s);
    const auto most_expensive =
        std::max_element(models.begin(), models.end(), [](const true_model& a, const true_model& b) {
            return a.cost_per_1k_tokens < b.cost_per_1k_tokens;
        });
    const auto strong = static_cast<std::size_t>(most_expensive - models.begin());
    std::vector<class_options> options;
    for (std::size_t c = 0; c < s.classes.size(); ++c) {
        options.push_back(true_options(s, models, strong, c, tokens[c]));
        options.back().traffic = traffic[c];
    }
    return options;
}

oracle_result oracle_for(const measures& m, const scenario& s, double target)
{
    std::vector<double> traffic;
    std::vector<double> tokens;
    for (const class_measures& each : m.classes) {
        const double answered = static_cast<double>(each.answered);
        traffic.push_back(answered / std::max<double>(static_cast<double>(m.answered), 1));
        tokens.push_back(answered > 0 ? each.tokens / answered : 0);
    }
    const std::vector<class_options> options = true_classes(s, traffic, tokens);
    const std::vector<class_mix> mixes = cheapest_mix(options, target);
    oracle_result result;
    for (std::size_t c = 0; c < mixes.size(); ++c) {
        const class_mix& mix = mixes[c];
        const double better = mix.better_share;
        result.cost +=
            static_cast<double>(m.classes[c].answered) * (mix.better.cost * better + mix.cheaper.cost * (1 - better));
        result.good_share += traffic[c] * (mix.better.good * better + mix.cheaper.good * (1 - better));
        result.strong_good_share += traffic[c] * options[c].strong_good;
    }
    return result;
}

std::vector<class_mix> oracle_mixes(const scenario& s, double target)
{
    std::vector<double> traffic;
    std::vector<double> tokens;
    for (const class_spec& each : s.classes) {
        traffic.push_back(each.share);
        tokens.push_back(each.prompt_tokens + each.output_tokens);
    }
    return cheapest_mix(true_classes(s, traffic, tokens), target);
}

/// @return the time in seconds for which a request of a class occupies a slot of a model's server.
static double slot_seconds(const scenario& s, std::size_t model, const class_spec& spec, double load)
{
    for (std::size_t i = 0; i < s.versions.size(); ++i) {
        const version_spec& version = s.versions[i];
        if (s.model_of(i) == model) {
            return spec.prompt_tokens / version.prefill_tokens_per_s +
                   spec.output_tokens * version.decode_ms_per_token * (1 + version.decode_slope * load) / 1000;
        }
    }
    return 0;
}

void add_busy_seconds(const scenario& s, const serving_option& option, const class_spec& spec, double share,
                      double load, std::vector<double>& busy_s)
{
    const std::size_t first = option.first.value();
    busy_s[first] += share * slot_seconds(s, first, spec, load);
    if (!option.then)
        return;
    // The second step runs if the first answer is rated bad. Its frequency follows from the cost of the option.
    const double tokens = spec.prompt_tokens + spec.output_tokens;
    const std::size_t then = option.then->value();
    std::array<double, max_models> price{};
    for (std::size_t i = 0; i < s.versions.size(); ++i)
        price[s.model_of(i)] = s.versions[i].cost_per_1k_tokens * tokens / 1000;
    busy_s[then] += share * (option.cost - price[first]) / price[then] * slot_seconds(s, then, spec, load);
}

static void report_classes(const measures& m, const scenario& s, std::map<std::string, double>& out)
{
    std::vector<double> streamed_first;
    std::uint64_t streamed_missing = 0;
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const class_measures& each = m.classes[i];
        const std::uint64_t missing = each.fresh - std::min(each.fresh, each.answered);
        for (const auto& [label, q] : {std::pair{"p50", 0.50}, std::pair{"p95", 0.95}, std::pair{"p99", 0.99}}) {
            out[s.classes[i].name + "_latency_" + label + "_s"] = quantile(each.latency_s, q, missing);
            out[s.classes[i].name + "_first_token_" + label + "_s"] = quantile(each.first_token_s, q, missing);
        }
        out[s.classes[i].name + "_in_deadline_share"] =
            static_cast<double>(each.in_deadline) / std::max<double>(static_cast<double>(each.fresh), 1);
        out[s.classes[i].name + "_answered_share"] =
            static_cast<double>(each.answered) / std::max<double>(static_cast<double>(each.fresh), 1);
        if (s.classes[i].streamed) {
            streamed_first.insert(streamed_first.end(), each.first_token_s.begin(), each.first_token_s.end());
            streamed_missing += missing;
        }
    }
    out["streamed_first_token_p95_s"] = quantile(streamed_first, 0.95, streamed_missing);
    out["streamed_token_gap_p95_ms"] = quantile(m.streamed_gap_ms, 0.95);
}

std::map<std::string, double> report(const measures& m, const scenario& s)
{
    std::map<std::string, double> out;
    const auto count = [&](const char* name, std::uint64_t value) { out[name] = static_cast<double>(value); };
    const double answered = std::max<double>(static_cast<double>(m.answered), 1);
    const oracle_result oracle = oracle_for(m, s, quality_target);
    count("fresh", m.fresh);
    count("answered", m.answered);
    count("good", m.good);
    count("not_run", m.not_run);
    count("failed", m.failed);
    count("outcome_unknown", m.outcome_unknown);
    count("unanswered_at_end", m.unanswered_at_end);
    count("crashes", m.crashes);
    count("attempts", m.attempts);
    count("permits_denied", m.permits_denied);
    count("not_run_untrue", m.not_run_untrue);
    count("requests_on_disallowed_version", m.disallowed);
    count("requests_on_withdrawn_version", m.withdrawn);
    count("sessions_moved_off_live_version", m.moved_off_live_version);
    count("requests_into_drained_zone_after_5s", m.drained_zone_late);
    count("requests_to_leaving_server_after_5s", m.leaving_server_late);
    count("submissions_above_cold_limit", m.cold_overloads);
    count("answers_by_bad_version", m.bad_version_answers);
    count("answers_by_bad_version_until_stopped", m.bad_version_answers_until_stopped);
    count("guard_stops", m.guard_stops);
    count("killer_crashes", m.killer_crashes);
    out["cost"] = m.cost;
    out["cost_per_answer"] = m.cost / answered;
    out["oracle_cost_per_answer"] = oracle.cost / answered;
    out["cost_over_oracle_ratio"] = oracle.cost > 0 ? m.cost / oracle.cost : 0;
    out["good_share"] = static_cast<double>(m.good) / answered;
    out["expected_good_share"] = m.expected_good / answered;
    out["good_over_always_strong_ratio"] = static_cast<double>(m.good) / std::max(m.expected_good_strong, 1.0);
    out["expected_good_over_always_strong_ratio"] = m.expected_good / std::max(m.expected_good_strong, 1.0);
    out["expected_extra_bad_answers_without_rating"] = m.expected_bad_unrated - m.expected_bad_unrated_strong;
    out["attempts_per_fresh_request"] =
        static_cast<double>(m.fresh + m.retries) / std::max<double>(static_cast<double>(m.fresh), 1);
    std::uint64_t in_deadline = 0;
    for (const class_measures& each : m.classes)
        in_deadline += each.in_deadline;
    out["goodput_per_s"] = static_cast<double>(in_deadline) / std::max(m.measured_s, 1e-9);
    report_classes(m, s, out);
    return out;
}

} // namespace agatespar::bench
