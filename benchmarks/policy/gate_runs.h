// Helpers for gates: run a scenario with several seeds and extract measures.
#pragma once

#include "measures.h"
#include "simulation.h"

#include <functional>
#include <string>
#include <vector>

namespace agatespar::bench {

inline constexpr std::uint64_t gate_seeds = 5;

/// @return the reports of one policy, one per seed.
inline std::vector<std::map<std::string, double>> reports(const scenario& s, const std::string& policy_name,
                                                          std::uint64_t seeds = gate_seeds)
{
    std::vector<std::map<std::string, double>> result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation sim{s, *policy_named(policy_name), seed};
        result.push_back(report(sim.run(), s));
    }
    return result;
}

/// @return one measure of each report.
inline std::vector<double> values_of(const std::vector<std::map<std::string, double>>& runs, const std::string& name)
{
    std::vector<double> values;
    for (const auto& run : runs)
        values.push_back(run.at(name));
    return values;
}

/// @return the quotient of one measure of two policies, seed by seed.
inline std::vector<double> ratios_of(const std::vector<std::map<std::string, double>>& runs,
                                     const std::vector<std::map<std::string, double>>& baseline,
                                     const std::string& name)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < runs.size(); ++i)
        values.push_back(runs[i].at(name) / std::max(baseline[i].at(name), 1e-9));
    return values;
}

/// @return a scenario event of that kind at that time.
inline scenario_event event_at(double at_s, event_kind what)
{
    scenario_event event;
    event.at_s = at_s;
    event.what = what;
    return event;
}

} // namespace agatespar::bench
