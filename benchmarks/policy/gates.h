// The gated bounds of the policy: what each measures, on which scenario, and the bound.
#pragma once

#include "scenario.h"

#include <functional>
#include <string>
#include <vector>

namespace agatespar::bench {

/// One measured figure of a gate, over its seeds, against its bound.
struct gated_figure {
    std::string what;
    std::vector<double> values;
    double bound{0};
    /// Whether the figure must not be less than the bound, rather than not more.
    bool at_least{false};
    /// Judged by the worst value instead of the median, as for counts that must be zero.
    bool every_seed{false};
};

/// @return whether the figure keeps its bound.
bool holds(const gated_figure& figure);

/// A bound from the stated targets, and how it is measured.
struct gate {
    std::string name;
    std::function<std::vector<gated_figure>()> measure;
};

/// The scenarios that gates start from.
struct base_scenarios {
    scenario counter;
    scenario ceremonies;
};

std::vector<gate> safety_gates(const base_scenarios& base);
std::vector<gate> quality_gates(const base_scenarios& base);
std::vector<gate> load_gates(const base_scenarios& base);
std::vector<gate> cold_gates();

/// @return the request rate at which the busiest version's slots are busy by this share, if the oracle's mix serves.
double rate_for_load(const scenario& s, double load);

/// Runs the gates, or one. Prints the table. @return 0 if all bounds hold, 1 otherwise, 2 if there is no such gate.
int run_gates(const std::string& scenario_folder, const std::string& only);

} // namespace agatespar::bench
