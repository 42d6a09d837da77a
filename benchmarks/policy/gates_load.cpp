// Gates on latency, overload and server outages.
#include "gate_runs.h"
#include "gates.h"

#include <algorithm>
#include <array>

namespace agatespar::bench {

static std::vector<gated_figure> measure_cold_again(const base_scenarios& base)
{
    scenario s = base.counter;
    s.duration_s = 500;
    s.burst_factor = 1;
    s.rate_per_s = rate_for_load(s, 0.8);
    scenario_event cold = event_at(200, event_kind::server_turns_cold);
    cold.server = 0;
    s.events = {cold};
    const auto runs = reports(s, "agatespar");
    return {{"lookup p95, server turned cold at 80% load, over round robin",
             ratios_of(runs, reports(s, "round-robin"), "lookup_latency_p95_s"), 0.5}};
}

static std::vector<gated_figure> measure_streamed(const base_scenarios& base)
{
    std::vector<gated_figure> figures;
    for (const scenario* each : {&base.counter, &base.ceremonies}) {
        scenario s = *each;
        s.duration_s = 700;
        s.burst_factor = 1;
        s.rate_per_s = rate_for_load(s, 0.7);
        const auto runs = reports(s, "agatespar");
        figures.push_back(
            {s.name + ": first token p95 of streamed answers, s", values_of(runs, "streamed_first_token_p95_s"), 0.31});
        figures.push_back({s.name + ": gap between tokens p95 of streamed answers, ms",
                           values_of(runs, "streamed_token_gap_p95_ms"), 38});
    }
    return figures;
}

static std::vector<gated_figure> measure_overload(const base_scenarios& base)
{
    scenario s = base.counter;
    s.duration_s = 500;
    s.burst_factor = 1;
    const double capacity = rate_for_load(s, 1.0);
    std::vector<double> peak(gate_seeds, 0.0);
    for (const double load : {0.7, 0.8, 0.9, 1.0, 1.1}) {
        s.rate_per_s = capacity * load;
        const auto goodput = values_of(reports(s, "agatespar"), "goodput_per_s");
        for (std::size_t i = 0; i < peak.size(); ++i)
            peak[i] = std::max(peak[i], goodput[i]);
    }
    s.rate_per_s = capacity * 2;
    const auto twice = reports(s, "agatespar");
    std::vector<double> ratios = values_of(twice, "goodput_per_s");
    for (std::size_t i = 0; i < ratios.size(); ++i)
        ratios[i] /= peak[i];
    return {{"goodput at twice the capacity over its peak", ratios, 0.9, true},
            {"lookup p95 at twice the capacity, s (deadline)", values_of(twice, "lookup_latency_p95_s"),
             s.classes[0].deadline_s},
            {"refusals 'not run' that had run", values_of(twice, "not_run_untrue"), 0, false, true}};
}

static std::vector<gated_figure> measure_outage(const base_scenarios& base)
{
    scenario s = base.counter;
    s.duration_s = 400;
    s.burst_factor = 1;
    s.warmup_s = 200;
    s.rate_per_s = rate_for_load(s, 0.7);
    scenario_event outage = event_at(210, event_kind::backend_outage);
    outage.value = 0.5;
    outage.for_s = 60;
    s.events = {outage};
    const auto runs = reports(s, "agatespar");
    return {{"attempts per fresh request, half of the servers out", values_of(runs, "attempts_per_fresh_request"), 1.1,
             false, true},
            {"refusals 'not run' that had run", values_of(runs, "not_run_untrue"), 0, false, true}};
}

std::vector<gate> load_gates(const base_scenarios& base)
{
    return {
        {"cold-again", [base] { return measure_cold_again(base); }},
        {"streamed-latency", [base] { return measure_streamed(base); }},
        {"overload", [base] { return measure_overload(base); }},
        {"outage", [base] { return measure_outage(base); }},
    };
}

} // namespace agatespar::bench
