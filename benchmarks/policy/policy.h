// The policies that the benchmark compares.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace agatespar::bench {

/// How requests are distributed over servers.
enum class load_balancing {
    /// The routing decision, with permits, admission and the retry budget.
    routing_decision,
    round_robin,
    least_loaded,
};

/// Which models serve the requests.
enum class model_choice_rule {
    /// The models that the cascade planner chooses.
    planned,
    /// Only the most expensive model, which is the quality reference.
    strong,
    /// All models but the most expensive one.
    cheap
};

/// A policy. The defaults are those of the production policy.
struct policy {
    std::string name;
    load_balancing balancing{load_balancing::routing_decision};
    model_choice_rule models{model_choice_rule::planned};
    /// Whether the version guard may stop new sessions on a bad version.
    bool guard{true};
    /// For round robin: use only the servers of the cheap model.
    bool cheap_servers_only{false};
};

/// @return the policy of that name, if there is one.
std::optional<policy> policy_named(const std::string& name);
const std::vector<policy>& all_policies();

} // namespace agatespar::bench
