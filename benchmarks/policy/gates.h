// Gates check that measured figures of the policy stay within bounds. A gate defines its figures, its scenarios and its
// bounds.
#pragma once

#include "scenario.h"

#include <functional>
#include <string>
#include <vector>

namespace agatespar::bench {

/// One measured figure of a gate, with a value for each seed, and its bound.
struct gated_figure {
    /// Description for the printed table.
    std::string what;
    /// One value per seed.
    std::vector<double> values;
    double bound{0};
    /// Whether the bound is a lower bound instead of an upper bound.
    bool at_least{false};
    /// Whether every value must satisfy the bound, as for counts that must be zero, instead of the median.
    bool every_seed{false};
};

/// @return whether the figure satisfies its bound.
bool holds(const gated_figure& figure);

/// A requirement on the policy, and how its figures are measured.
struct gate {
    std::string name;
    std::function<std::vector<gated_figure>()> measure;
};

/// The scenarios that the gates modify and run, read from counter.json and ceremonies.json.
struct base_scenarios {
    scenario counter;
    scenario ceremonies;
};

std::vector<gate> safety_gates(const base_scenarios& base);
std::vector<gate> quality_gates(const base_scenarios& base);
std::vector<gate> load_gates(const base_scenarios& base);
std::vector<gate> cold_gates();

/// @return the request rate per second at which the slots of the busiest version are used to the share `load`, if the
///     oracle's mix serves the requests.
double rate_for_load(const scenario& s, double load);

/// Runs all gates, or the one named `only` if it is not empty, and prints a table of the figures.
/// @param scenario_folder the folder that contains the files of base_scenarios.
/// @return 0 if all bounds hold, 1 otherwise, 2 if a scenario can't be read or there is no such gate.
int run_gates(const std::string& scenario_folder, const std::string& only);

} // namespace agatespar::bench
