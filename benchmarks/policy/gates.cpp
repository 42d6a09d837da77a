// Runs the gates and prints a table of their figures.
#include "gates.h"

#include "measures.h"

#include <agatespar/cascade/mix.h>

#include <algorithm>
#include <cstdio>
#include <iterator>

namespace agatespar::bench {

static constexpr double quality_target = 0.95;

double rate_for_load(const scenario& s, double load)
{
    // The slot time of one average request: the classes weighted by their shares, served with the oracle's mix.
    const std::vector<class_mix> mixes = oracle_mixes(s, quality_target);
    std::vector<double> busy_s(max_models);
    for (std::size_t c = 0; c < mixes.size(); ++c) {
        const class_spec& spec = s.classes[c];
        for (const bool better : {false, true}) {
            const serving_option& option = better ? mixes[c].better : mixes[c].cheaper;
            const double share = spec.share * (better ? mixes[c].better_share : 1 - mixes[c].better_share);
            add_busy_seconds(s, option, spec, share, load, busy_s);
        }
    }
    std::vector<double> slots(s.versions.size());
    for (const server_spec& server : s.servers)
        slots[server.version] += server.slots;
    std::vector<double> shares(max_models);
    for (std::size_t i = 0; i < s.versions.size(); ++i)
        shares[s.model_of(i)] += s.versions[i].share;
    double rate = 1e9;
    for (std::size_t i = 0; i < s.versions.size(); ++i) {
        const std::size_t model = s.model_of(i);
        const double needed = busy_s[model] * s.versions[i].share / std::max(shares[model], 1e-9);
        if (needed > 0)
            rate = std::min(rate, load * slots[i] / needed);
    }
    return rate;
}

static double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

bool holds(const gated_figure& figure)
{
    const auto satisfies_bound = [&](double value) {
        return figure.at_least ? value >= figure.bound : value <= figure.bound;
    };
    if (figure.every_seed)
        return !figure.values.empty() && std::all_of(figure.values.begin(), figure.values.end(), satisfies_bound);
    return !figure.values.empty() && satisfies_bound(median(figure.values));
}

static void print(const gate& each, const gated_figure& figure)
{
    const auto [least, most] = std::minmax_element(figure.values.begin(), figure.values.end());
    std::printf("%-22s %-58s %9.4g  %8.4g .. %-8.4g %s %-7.4g %s\n", each.name.c_str(), figure.what.c_str(),
                median(figure.values), *least, *most, figure.at_least ? ">=" : "<=", figure.bound,
                holds(figure) ? "ok" : "MISSED");
    std::fflush(stdout);
}

int run_gates(const std::string& scenario_folder, const std::string& only)
{
    const outcome<scenario> counter = read_scenario(scenario_folder + "/counter.json");
    const outcome<scenario> ceremonies = read_scenario(scenario_folder + "/ceremonies.json");
    if (!counter || !ceremonies) {
        std::fprintf(stderr, "%s\n", (counter ? ceremonies : counter).error().message.c_str());
        return 2;
    }
    const base_scenarios base{*counter, *ceremonies};
    std::vector<gate> gates;
    for (auto group : {safety_gates(base), cold_gates(), quality_gates(base), load_gates(base)})
        std::move(group.begin(), group.end(), std::back_inserter(gates));
    int missed = 0;
    int ran = 0;
    std::printf("%-22s %-58s %9s  %20s    %s\n", "gate", "figure", "median", "least .. most", "bound");
    for (const gate& each : gates) {
        if (!only.empty() && each.name != only)
            continue;
        ++ran;
        for (const gated_figure& figure : each.measure()) {
            print(each, figure);
            missed += holds(figure) ? 0 : 1;
        }
    }
    if (ran == 0) {
        std::fprintf(stderr, "there is no gate '%s'\n", only.c_str());
        return 2;
    }
    return missed == 0 ? 0 : 1;
}

} // namespace agatespar::bench
