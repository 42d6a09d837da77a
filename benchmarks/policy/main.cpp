// The policy benchmark: runs one scenario under one policy, or the gates, on a manual clock.
#include "gates.h"
#include "simulation.h"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>
#include <iostream>

using namespace agatespar;
using namespace agatespar::bench;

static const char usage[] =
    R"(Runs the routing decisions against queueing models of engines, on a manual clock.

Usage:
  agatespar-policy-bench policy --scenario FILE [--policy NAME] [--seed N] [--json]
  agatespar-policy-bench gates --scenarios DIR [--only NAME]
  agatespar-policy-bench (-h | --help)

Options:
  --scenario FILE  The scenario to run.
  --policy NAME    agatespar, always-strong, always-cheap, round-robin, round-robin-cheap, least-loaded or
                   fixed-canary [default: agatespar].
  --seed N         Seed of arrivals, sizes, ratings and random choices [default: 1].
  --scenarios DIR  The folder with the repository's scenarios.
  --only NAME      Runs one gate only.
  --json           Prints one JSON object.
)";

static int print_error(const std::string& text)
{
    std::cerr << text << '\n';
    return 2;
}

static void print(const std::map<std::string, double>& values, const std::string& policy_name, bool as_json)
{
    if (!as_json) {
        for (const auto& [name, value] : values)
            std::printf("%-48s %.6g\n", name.c_str(), value);
        return;
    }
    nlohmann::json out;
    out["policy"] = policy_name;
    for (const auto& [name, value] : values) {
        // JSON has no infinity. A quantile is infinite if it falls among unanswered requests.
        if (std::isfinite(value))
            out[name] = value;
        else
            out[name] = nullptr;
    }
    std::cout << out.dump(1) << '\n';
}

static int run_policy(std::map<std::string, docopt::value>& arguments)
{
    const outcome<scenario> s = read_scenario(arguments["--scenario"].asString());
    if (!s)
        return print_error(s.error().message);
    const std::string name = arguments["--policy"].asString();
    const std::optional<policy> chosen = policy_named(name);
    if (!chosen)
        return print_error("unknown policy '" + name + "'");
    simulation sim{*s, *chosen, static_cast<std::uint64_t>(arguments["--seed"].asLong())};
    print(report(sim.run(), *s), name, arguments["--json"].asBool());
    return 0;
}

int main(int count, char** values)
{
    auto arguments = docopt::docopt(usage, {values + 1, values + count});
    if (arguments["gates"].asBool()) {
        const docopt::value& only = arguments["--only"];
        return run_gates(arguments["--scenarios"].asString(), only ? only.asString() : "");
    }
    return run_policy(arguments);
}
