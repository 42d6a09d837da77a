// One simulated entry VM: dispatches attempts, handles their results and updates its view from them.
#include "entry_vm.h"

#include <agatespar/routing/prediction.h>

#include <algorithm>

namespace agatespar::bench {

static constexpr int max_baseline_attempts = 3;
// The weight of the newest observation in a server's slowdown and failure rate.
static constexpr float observation_weight = 0.2F;
static constexpr int ticks_per_plan = 2;
static constexpr double assumed_mean_tokens = 500;

static duration milliseconds(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

std::optional<std::size_t> entry_vm::baseline_server(const live_request& request)
{
    const policy& rules = sim_.chosen();
    const std::size_t count = view_.servers.size();
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t at = rules.balancing == load_balancing::round_robin ? (next_server_ + i) % count : i;
        const server_view& server = view_.servers[at];
        const bool strong = planner_.strong_versions()[server.version.value()];
        if (!server.healthy || server.leaving || !request.route.allowed[server.version.value()] ||
            view_.versions[server.version.value()].withdrawn || (rules.cheap_servers_only && strong))
            continue;
        if (rules.balancing == load_balancing::round_robin) {
            next_server_ = at + 1;
            return at;
        }
        if (!best || server.reported_running + server.reported_queued <
                         view_.servers[*best].reported_running + view_.servers[*best].reported_queued)
            best = at;
    }
    return best;
}

void entry_vm::route_baseline(const request_pointer& request)
{
    fill_route(*request);
    request->planned_unrated = !sim_.rating_available();
    const bool in_service = view_.zones[zone_].in_service;
    const std::optional<std::size_t> server = in_service ? baseline_server(*request) : std::nullopt;
    if (server) {
        dispatch(request, *server, 0);
        return;
    }
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < view_.zones.size(); ++i) {
        if (i != zone_ && view_.zones[i].in_service && view_.zones[i].reachable)
            others.push_back(i);
    }
    if (request->zone_changes > 0 || others.empty() ||
        !sim_.forward(zone_, others[sim_.random()() % others.size()], request))
        sim_.refused(request, request->started ? run_state::ran : run_state::not_run);
}

void entry_vm::dispatch(const request_pointer& request, std::size_t local, double predicted_ms)
{
    server_view& server = view_.servers[local];
    ++server.own_sent_since_report;
    ++request->attempts;
    sim_.counts().attempts += request->measured ? 1 : 0;
    if (request->shared_prefix > 0 || request->session->prefix_tokens == 0) {
        view_.prefixes.insert_prefix(request->session->hash, server_index{static_cast<std::uint16_t>(local)},
                                     static_cast<std::uint32_t>(request->prompt_tokens), sim_.now());
    }
    pin(*request->session, server.version);

    auto job = std::make_shared<engine_job>();
    job->prompt_tokens = request->prompt_tokens + request->resumed_tokens;
    job->output_tokens = request->output_tokens - request->resumed_tokens;
    job->session = request->session->hash;
    job->shared_prefix = request->shared_prefix;
    auto sent = std::make_shared<attempt>(attempt{local, report_round_, predicted_ms, 1, sim_.now()});
    const bool routing_decision = sim_.chosen().balancing == load_balancing::routing_decision;
    job->on_first_token = [this, request, sent, routing_decision](double slowdown) {
        sent->slowdown = slowdown;
        if (request->first_token == steady_time{})
            request->first_token = sim_.now();
        float& known = view_.servers[sent->local].slowdown;
        known += observation_weight * (static_cast<float>(slowdown) - known);
        if (routing_decision)
            sim_.owner(global(sent->local)).on_first_token(slowdown);
    };
    if (sim_.simulated_scenario().classes[request->request_class].streamed && request->measured)
        job->on_gap = [this](double gap_ms) { sim_.counts().streamed_gap_ms.push_back(gap_ms); };
    else
        job->on_gap = [](double) {};
    job->on_end = [this, request, sent, routing_decision](job_end end, double tokens_done) {
        if (routing_decision)
            sim_.owner(global(sent->local)).release(end, sent->slowdown);
        on_end(request, *sent, end, tokens_done);
    };
    sim_.submit(global(local), request, std::move(job));
}

/// Pins a session to the version of each model that served it first. A withdrawn version is replaced.
void entry_vm::pin(session_state& session, version_index version)
{
    for (version_index& known : session.pins) {
        const version_view& pinned = view_.versions[known.value()];
        if (pinned.model != view_.versions[version.value()].model)
            continue;
        if (known != version && !pinned.withdrawn)
            ++sim_.counts().moved_off_live_version;
        known = version;
        return;
    }
    session.pins.push_back(version);
}

void entry_vm::on_end(const request_pointer& request, const attempt& sent, job_end end, double tokens_done)
{
    server_view& server = view_.servers[sent.local];
    if (sent.report_round == report_round_)
        ++server.own_ended_since_report;
    else if (server.reported_running > 0)
        --server.reported_running;
    server.failure_rate += observation_weight * ((end == job_end::complete ? 0.0F : 1.0F) - server.failure_rate);
    request->started = request->started || end != job_end::refused;
    const version_view& version = view_.versions[server.version.value()];
    if (end != job_end::refused) {
        const double tokens = request->prompt_tokens + request->resumed_tokens + tokens_done;
        request->cost += version.cost_per_1k_tokens * tokens / 1000;
    }
    if (end == job_end::complete)
        on_complete(request, server.version);
    else
        on_failure(request, sent.local, end, tokens_done);
    if (!queue_.empty())
        drain_queue();
}

void entry_vm::on_complete(const request_pointer& request, version_index version)
{
    const double probability = sim_.good_probability(version, request->request_class);
    const bool truly_good = std::bernoulli_distribution{probability}(sim_.random());
    const bool cascade = request->plan.cascade() && !request->second_step;
    if (!cascade) {
        schedule_rating(version, request->request_class, truly_good);
        deliver(request, version, truly_good);
        return;
    }
    sim_.loop().schedule(milliseconds(sim_.simulated_scenario().rating_delay_ms), [this, request, version, truly_good] {
        rating_seen_ = sim_.rating_available();
        const bool rated_good = rating_seen_ && sim_.rate(truly_good);
        if (rating_seen_)
            counts_.record(version, request->route.request_class, rated_good);
        if (rated_good) {
            deliver(request, version, truly_good);
            return;
        }
        request->second_step = true;
        request->resumed_tokens = 0;
        request->withheld_version = version;
        route(request);
    });
}

void entry_vm::schedule_rating(version_index version, std::size_t request_class, bool truly_good)
{
    sim_.loop().schedule(
        milliseconds(sim_.simulated_scenario().rating_delay_ms), [this, version, request_class, truly_good] {
            rating_seen_ = sim_.rating_available();
            if (rating_seen_)
                counts_.record(version, class_index{static_cast<std::uint8_t>(request_class)}, sim_.rate(truly_good));
        });
}

void entry_vm::deliver(const request_pointer& request, version_index version, bool truly_good)
{
    // An answer that is not streamed may have been withheld for its rating and reaches the caller only now.
    if (!sim_.simulated_scenario().classes[request->request_class].streamed)
        request->first_token = sim_.now();
    traffic_.record(request->route.request_class, static_cast<std::uint64_t>(request->prompt_tokens),
                    static_cast<std::uint64_t>(request->output_tokens));
    sim_.answered(request, version, truly_good);
}

void entry_vm::on_failure(const request_pointer& request, std::size_t local, job_end end, double tokens_done)
{
    const class_spec& spec = sim_.simulated_scenario().classes[request->request_class];
    server_view& server = view_.servers[local];
    server.healthy = false;
    view_.prefixes.erase_server(server_index{static_cast<std::uint16_t>(local)});
    if (end == job_end::broken) {
        ++crash_counts_[request->fingerprint];
        if (!request->plan.cascade() && spec.streamed)
            request->resumed_tokens += tokens_done;
        if (!spec.idempotent) {
            sim_.refused(request, run_state::outcome_unknown);
            return;
        }
    }
    request->route.excluded.push(server_index{static_cast<std::uint16_t>(local)});
    retry(request, request->started ? run_state::ran : run_state::not_run);
}

void entry_vm::retry(const request_pointer& request, run_state ran)
{
    const steady_time now = sim_.now();
    std::optional<duration> delay;
    if (sim_.chosen().balancing != load_balancing::routing_decision) {
        if (request->attempts < max_baseline_attempts)
            delay = duration::zero();
    }
    else {
        const double needed_ms = service_ms(*request, version_index{0});
        delay = retries_.plan_retry(request->attempts, milliseconds(std::min(needed_ms, 1e9)) / 2, request->deadline,
                                    now, sim_.random());
    }
    if (!delay || request->killer) {
        if (request->withheld_version)
            deliver(request, *request->withheld_version, false);
        else
            sim_.refused(request, ran);
        return;
    }
    sim_.counts().retries += request->measured ? 1 : 0;
    sim_.loop().schedule(*delay, [this, request] { route(request); });
}

void entry_vm::on_load_reports()
{
    ++report_round_;
    for (std::size_t i = 0; i < view_.servers.size(); ++i) {
        const engine_report report = sim_.engine_at(global(i)).report();
        server_view& server = view_.servers[i];
        server.healthy = report.up;
        server.leaving = report.leaving;
        server.reported_running = static_cast<std::uint16_t>(report.running);
        server.reported_queued = static_cast<std::uint16_t>(report.queued);
        server.own_sent_since_report = 0;
        server.own_ended_since_report = 0;
        server.limit = static_cast<std::uint16_t>(sim_.owner(global(i)).limit());
    }
}

void entry_vm::on_zone_summaries(const std::vector<zone_view>& zones)
{
    for (std::size_t i = 0; i < zones.size(); ++i)
        view_.zones[i].free_slots = zones[i].free_slots;
}

void entry_vm::on_cache_event(std::size_t server, std::uint64_t session, double tokens)
{
    const server_index local{static_cast<std::uint16_t>(locals_.at(server))};
    if (tokens > 0)
        view_.prefixes.insert_prefix(session, local, static_cast<std::uint32_t>(tokens), sim_.now());
    else
        view_.prefixes.erase_prefix(session, local);
}

void entry_vm::set_zone_partitioned(std::size_t zone, bool partitioned)
{
    for (std::size_t i = 0; i < view_.zones.size(); ++i) {
        if (i != zone_ && (i == zone || zone == zone_))
            view_.zones[i].reachable = !partitioned;
    }
}

void entry_vm::set_share(version_index version, double share)
{
    view_.versions[version.value()].share = share;
    view_.versions[version.value()].stopped_by_guard = false;
    make_guards();
}

void entry_vm::withdraw(version_index version)
{
    version_view& withdrawn_version = view_.versions[version.value()];
    withdrawn_version.withdrawn = true;
    for (std::size_t i = 0; i < view_.versions.size(); ++i) {
        const version_view& other = view_.versions[i];
        if (!other.withdrawn && other.model == withdrawn_version.model)
            withdrawn_version.successor = version_index{static_cast<std::uint8_t>(i)};
    }
    make_guards();
}

void entry_vm::merge_from(const entry_vm& other)
{
    counts_.merge(other.boot_, other.counts_.own_row());
    traffic_.merge(other.boot_, other.traffic_.own_row());
    for (const auto& [fingerprint, crashes] : other.crash_counts_) {
        int& known = crash_counts_[fingerprint];
        known = std::max(known, crashes);
    }
}

void entry_vm::tick()
{
    for (version_guard& guard : guards_) {
        bool& stopped = view_.versions[guard.candidate().value()].stopped_by_guard;
        if (!stopped && guard.update(counts_).stop) {
            stopped = true;
            ++sim_.counts().guard_stops;
        }
    }
    if (ticks_++ % ticks_per_plan != 0)
        return;
    quality_.update(counts_);
    std::vector<class_traits> traits(sim_.simulated_scenario().classes.size());
    for (std::size_t i = 0; i < traits.size(); ++i) {
        const class_index request_class{static_cast<std::uint8_t>(i)};
        traits[i].can_be_withheld = !sim_.simulated_scenario().classes[i].streamed;
        traits[i].mean_tokens = traffic_.mean_tokens(request_class, assumed_mean_tokens);
        traits[i].traffic = static_cast<double>(traffic_.total(request_class).answers) + 1;
    }
    version_set all;
    for (std::size_t i = 0; i < view_.versions.size(); ++i)
        all.set(i);
    planner_.refresh(view_, all, quality_, traits);
}

} // namespace agatespar::bench
