// Gates on invariants: allowed versions, sessions, zones, draining servers, refusals, and requests that crash servers.
#include "gate_runs.h"
#include "gates.h"

namespace agatespar::bench {

static std::size_t version_numbered(const scenario& s, const std::string& version)
{
    for (std::size_t i = 0; i < s.versions.size(); ++i) {
        if (s.versions[i].version == version)
            return i;
    }
    return 0;
}

/// @return the scenario with a version whose share changes and that is withdrawn under load. Some accounts may not use
///     versions of a small share.
static scenario roll_out_under_load(scenario s)
{
    s.duration_s = 600;
    s.rate_per_s = rate_for_load(s, 0.6);
    s.first_restricted_account = 5;
    scenario_event grow = event_at(150, event_kind::share);
    grow.version = version_numbered(s, "12");
    grow.value = 0.4;
    scenario_event shrink = event_at(250, event_kind::share);
    shrink.version = grow.version;
    shrink.value = 0.05;
    scenario_event withdraw = event_at(350, event_kind::withdraw);
    withdraw.version = grow.version;
    s.events = {grow, shrink, withdraw};
    return s;
}

static scenario zone_leaves_and_returns(scenario s, double load)
{
    s.duration_s = 700;
    s.burst_factor = 1;
    s.rate_per_s = rate_for_load(s, load);
    scenario_event out = event_at(250, event_kind::zone_out);
    out.zone = 2;
    scenario_event back = event_at(450, event_kind::zone_back);
    back.zone = 2;
    s.events = {out, back};
    return s;
}

static gated_figure must_be_zero(const std::string& what, std::vector<double> values)
{
    return {what, std::move(values), 0, false, true};
}

static std::vector<double> answered_shares(const std::vector<std::map<std::string, double>>& runs)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const auto& run : runs)
        values.push_back(run.at("answered") / run.at("fresh"));
    return values;
}

static std::vector<gated_figure> measure_zone(const base_scenarios& base)
{
    std::vector<gated_figure> figures;
    for (const scenario* s : {&base.counter, &base.ceremonies}) {
        const auto runs = reports(zone_leaves_and_returns(*s, 0.7), "agatespar");
        figures.push_back(
            {s->name + ": answered share, zone out and back at 70% load", answered_shares(runs), 1, true, true});
        figures.push_back(
            must_be_zero(s->name + ": refusals 'not run' that had run", values_of(runs, "not_run_untrue")));
    }
    return figures;
}

static std::vector<gated_figure> measure_drain(const base_scenarios& base)
{
    scenario s = zone_leaves_and_returns(base.counter, 0.5);
    scenario_event leaves = event_at(200, event_kind::server_leaves);
    leaves.server = 1;
    s.events.push_back(leaves);
    const auto runs = reports(s, "agatespar");
    return {
        must_be_zero("requests into a drained zone after 5 s", values_of(runs, "requests_into_drained_zone_after_5s")),
        must_be_zero("requests to a leaving server after 5 s", values_of(runs, "requests_to_leaving_server_after_5s"))};
}

static std::vector<gated_figure> measure_killer(const base_scenarios& base)
{
    scenario s = base.counter;
    s.duration_s = 400;
    s.rate_per_s = rate_for_load(s, 0.5);
    scenario_event killer = event_at(200, event_kind::killer_request);
    killer.resends = 20;
    s.events = {killer};
    const auto runs = reports(s, "agatespar");
    return {{"servers crashed by a killer request sent 21 times", values_of(runs, "crashes"), 2, false, true}};
}

std::vector<gate> safety_gates(const base_scenarios& base)
{
    return {
        {"allowed-versions",
         [base] {
             const auto runs = reports(roll_out_under_load(base.counter), "agatespar");
             return std::vector<gated_figure>{
                 must_be_zero("requests on a disallowed version", values_of(runs, "requests_on_disallowed_version")),
                 must_be_zero("requests on a withdrawn version", values_of(runs, "requests_on_withdrawn_version"))};
         }},
        {"sessions",
         [base] {
             const auto runs = reports(roll_out_under_load(base.counter), "agatespar");
             return std::vector<gated_figure>{
                 must_be_zero("sessions moved off a live version", values_of(runs, "sessions_moved_off_live_version"))};
         }},
        {"drain", [base] { return measure_drain(base); }},
        {"zone-return", [base] { return measure_zone(base); }},
        {"killer", [base] { return measure_killer(base); }},
    };
}

} // namespace agatespar::bench
