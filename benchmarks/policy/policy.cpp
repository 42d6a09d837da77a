// The policies that the benchmark compares.
#include "policy.h"

namespace agatespar::bench {

const std::vector<policy>& all_policies()
{
    static const std::vector<policy> policies{
        {.name = "agatespar"},
        {.name = "always-strong", .models = model_choice_rule::strong},
        {.name = "always-cheap", .models = model_choice_rule::cheap},
        {.name = "round-robin", .balancing = load_balancing::round_robin, .guard = false},
        {.name = "round-robin-cheap",
         .balancing = load_balancing::round_robin,
         .guard = false,
         .cheap_servers_only = true},
        {.name = "least-loaded", .balancing = load_balancing::least_loaded, .guard = false},
        {.name = "fixed-canary", .guard = false},
    };
    return policies;
}

std::optional<policy> policy_named(const std::string& name)
{
    for (const policy& each : all_policies()) {
        if (each.name == name)
            return each;
    }
    return std::nullopt;
}

} // namespace agatespar::bench
