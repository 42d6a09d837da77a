// One simulated entry VM: receives, plans, routes and queues requests.
#include "entry_vm.h"

#include <agatespar/routing/prediction.h>
#include <agatespar/routing/rollout.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agatespar::bench {

// How often a request tries another server at once after an owner has refused it a permit.
static constexpr int max_permit_denials = 3;
// The share of a server's slots that is reserved for the class with the shortest deadline.
static constexpr double reserved_share = 0.125;
// A zone summary may be outdated, so a request may be forwarded more than once; the limit prevents endless forwarding.
static constexpr int max_zone_changes = 3;
static constexpr std::chrono::milliseconds queue_poll{100};
static constexpr std::chrono::milliseconds rating_probe{200};
static constexpr int max_failures_per_class = 8;
// A queued request with less than this share of its time remaining may run on a fallback version.
static constexpr double last_resort_share = 0.5;
// The assumed length of the answers of a class before any of its answers was recorded.
static constexpr double assumed_output_tokens = 200;

static cascade_settings settings_of(const scenario&)
{
    return {};
}

entry_vm::entry_vm(simulation& sim, std::size_t zone, std::size_t boot)
    : sim_(sim), zone_(zone), boot_(boot_id{boot}), class_priority_(sim.simulated_scenario().classes.size()),
      counts_(boot_, sim.simulated_scenario().versions.size(), sim.simulated_scenario().classes.size()),
      quality_(sim.simulated_scenario().versions.size(), sim.simulated_scenario().classes.size(),
               {sim.simulated_scenario().rating_false_good, sim.simulated_scenario().rating_false_bad}),
      planner_(settings_of(sim.simulated_scenario()), sim.simulated_scenario().classes.size()),
      traffic_(boot_, sim.simulated_scenario().classes.size())
{
    build_view();
    make_guards();
    probe_rating();
    const auto& classes = sim_.simulated_scenario().classes;
    std::vector<std::size_t> order(classes.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](auto a, auto b) { return classes[a].deadline_s < classes[b].deadline_s; });
    for (std::size_t i = 0; i < order.size(); ++i)
        class_priority_[order[i]] = i;
    tick();
}

void entry_vm::build_view()
{
    const scenario& s = sim_.simulated_scenario();
    for (std::size_t i = 0; i < s.versions.size(); ++i) {
        const version_spec& spec = s.versions[i];
        version_view version;
        version.model = model_index{static_cast<std::uint8_t>(s.model_of(i))};
        version.share = spec.share;
        version.cost_per_1k_tokens = spec.cost_per_1k_tokens;
        version.prefill_tokens_per_s = spec.prefill_tokens_per_s;
        version.decode_ms_per_token = spec.decode_ms_per_token;
        version.decode_slope = spec.decode_slope;
        view_.versions.push_back(version);
    }
    for (std::size_t i = 0; i < s.servers.size(); ++i) {
        if (s.servers[i].zone != zone_)
            continue;
        locals_[i] = globals_.size();
        globals_.push_back(i);
        server_view server;
        server.version = version_index{static_cast<std::uint8_t>(s.servers[i].version)};
        server.slots = static_cast<std::uint16_t>(s.servers[i].slots);
        server.limit = server.slots;
        view_.servers.push_back(server);
    }
    for (const zone_spec& zone : s.zones)
        view_.zones.push_back({.one_way_ms = (zone.one_way_ms + s.zones[zone_].one_way_ms) / 2, .free_slots = {}});
    view_.own_zone = zone_index{static_cast<std::uint8_t>(zone_)};
    view_.weights.push_back(s.weights);
    index_servers(view_);
}

/// Probes the rating service, so that an outage is detected before an answer waits for its rating.
void entry_vm::probe_rating()
{
    rating_seen_ = sim_.rating_available();
    sim_.loop().schedule(rating_probe, [this] { probe_rating(); });
}

/// Makes a guard for each version that compares it with the version of its model that has the largest share.
void entry_vm::make_guards()
{
    guards_.clear();
    if (!sim_.chosen().guard)
        return;
    for (std::size_t i = 0; i < view_.versions.size(); ++i) {
        std::size_t incumbent = i;
        for (std::size_t k = 0; k < view_.versions.size(); ++k) {
            const version_view& other = view_.versions[k];
            if (other.model == view_.versions[i].model && !other.withdrawn &&
                other.share > view_.versions[incumbent].share)
                incumbent = k;
        }
        if (incumbent != i)
            guards_.emplace_back(guard_settings{}, version_index{static_cast<std::uint8_t>(i)},
                                 version_index{static_cast<std::uint8_t>(incumbent)});
    }
}

double entry_vm::expected_output(std::size_t request_class) const
{
    return traffic_.mean_output_tokens(class_index{static_cast<std::uint8_t>(request_class)}, assumed_output_tokens);
}

double entry_vm::service_ms(const live_request& request, version_index version) const
{
    const version_view& v = view_.versions[version.value()];
    const double decode_ms = v.decode_ms_per_token * (1 + v.decode_slope);
    return request.prompt_tokens * 1000 / v.prefill_tokens_per_s + request.route.expected_output_tokens * decode_ms;
}

void entry_vm::fill_route(live_request& request)
{
    const scenario& s = sim_.simulated_scenario();
    const class_spec& spec = s.classes[request.request_class];
    route_request& route = request.route;
    route = {};
    route.request_class = class_index{static_cast<std::uint8_t>(request.request_class)};
    for (std::size_t i = 0; i < s.versions.size(); ++i) {
        const bool restricted = request.session->account >= s.first_restricted_account && s.versions[i].share < 0.5;
        route.allowed.set(i, !restricted);
    }
    route.session_hash = request.session->hash;
    for (const version_index pin : request.session->pins)
        route.pins.push(pin);
    if (request.shared_prefix > 0)
        route.prefixes.push({request.session->hash, static_cast<std::uint32_t>(request.shared_prefix)});
    route.prompt_tokens = static_cast<std::uint32_t>(request.prompt_tokens + request.resumed_tokens);
    route.expected_output_tokens = static_cast<std::uint32_t>(expected_output(request.request_class));
    route.deadline = request.deadline;
    route.streamed = spec.streamed;
}

/// Decides which models serve the request; called once for each request.
void entry_vm::plan(live_request& request)
{
    const scenario& s = sim_.simulated_scenario();
    const class_spec& spec = s.classes[request.request_class];
    request.planned = true;
    request.planned_unrated = !sim_.rating_available();
    version_set cheap;
    version_set strong = planner_.strong_versions();
    for (std::size_t i = 0; i < view_.versions.size(); ++i)
        cheap.set(i, !strong[i]);
    if (sim_.chosen().models != model_choice_rule::planned) {
        request.plan.first = sim_.chosen().models == model_choice_rule::strong ? strong : cheap;
        return;
    }
    double both_ms = s.rating_delay_ms;
    for (const bool of_strong : {false, true}) {
        double slowest_ms = 0;
        for (std::size_t i = 0; i < view_.versions.size(); ++i) {
            if (strong[i] == of_strong)
                slowest_ms = std::max(slowest_ms, service_ms(request, version_index{static_cast<std::uint8_t>(i)}));
        }
        both_ms += slowest_ms;
    }
    plan_request inputs;
    inputs.request_class = request.route.request_class;
    inputs.session_hash = request.session->hash;
    inputs.left = request.deadline - sim_.now();
    inputs.both_steps = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{both_ms});
    inputs.can_be_withheld = !spec.streamed;
    request.plan = planner_.plan(inputs, rating_seen_, sim_.random());
}

void entry_vm::receive(const request_pointer& request)
{
    retries_.on_new_request();
    route(request);
}

void entry_vm::receive_forwarded(const request_pointer& request)
{
    ++request->zone_changes;
    route(request);
}

void entry_vm::route(const request_pointer& request)
{
    if (sim_.chosen().balancing != load_balancing::routing_decision) {
        route_baseline(request);
        return;
    }
    // Excluded servers are stored by their index in the zone's view, which is not valid in another zone.
    const auto excluded =
        request->excluded_in_zone == zone_ ? request->route.excluded : decltype(request->route.excluded){};
    fill_route(*request);
    request->route.excluded = excluded;
    request->excluded_in_zone = zone_;
    request->route.forwarded = request->zone_changes >= max_zone_changes;
    const int crashed = crash_counts_.count(request->fingerprint) > 0 ? crash_counts_[request->fingerprint] : 0;
    request->route.quarantined = crashed >= 2;
    if (!sim_.simulated_scenario().classes[request->request_class].idempotent && !sim_.log_available()) {
        sim_.refused(request, request->started ? run_state::outcome_unknown : run_state::not_run);
        return;
    }
    if (!request->planned)
        plan(*request);
    request->route.preferred = request->second_step ? request->plan.then : request->plan.first;
    if (sim_.chosen().models == model_choice_rule::planned)
        request->route.fallback = planner_.strong_versions();
    if (request->last_resort)
        request->route.preferred |= request->route.fallback;
    outcome<decision> last;
    if (try_route(request, last))
        admission_.on_started(request->route.request_class, sim_.now());
    else
        wait_or_shed(request, last.error());
}

bool entry_vm::try_route(const request_pointer& request, outcome<decision>& last)
{
    const auto excluded = request->route.excluded;
    for (int denials = 0; denials <= max_permit_denials; ++denials) {
        last = decide(view_, request->route, sim_.now(), sim_.random());
        if (!last)
            break;
        if (execute_decision(request, *last)) {
            return true;
        }
        ++sim_.counts().permits_denied;
        request->route.excluded.push(last->server);
    }
    request->route.excluded = excluded;
    if (last)
        last = tl::unexpected<error>{error{error_code::overloaded, "all full", run_state::not_run, std::nullopt}};
    return false;
}

bool entry_vm::execute_decision(const request_pointer& request, const decision& chosen)
{
    const bool alone = request->route.must_run_alone;
    if (chosen.forward) {
        if (sim_.forward(zone_, chosen.zone.value(), request))
            return true;
        view_.zones[chosen.zone.value()].reachable = false;
        return false;
    }
    if (!sim_.owner(global(chosen.server.value())).acquire(alone, reserved_slots(request->request_class)))
        return false;
    dispatch(request, chosen.server.value(), std::chrono::duration<double, std::milli>(chosen.predicted_total).count());
    return true;
}

int entry_vm::reserved_slots(std::size_t request_class) const
{
    if (class_priority_[request_class] == 0)
        return 0;
    return static_cast<int>(std::lround(reserved_share * sim_.simulated_scenario().servers.front().slots));
}

/// @return whether the request may succeed after waiting.
static bool is_for_lack_of_capacity(const error& reason)
{
    return reason.code == error_code::overloaded || reason.code == error_code::unavailable ||
           reason.code == error_code::deadline_exceeded;
}

/// Tries a fallback version before the request is refused, even if a long answer may miss the deadline.
bool entry_vm::route_to_fallback(const request_pointer& request)
{
    if (request->route.fallback.none())
        return false;
    request->route.preferred = request->route.fallback;
    request->last_resort = true;
    outcome<decision> last;
    return try_route(request, last);
}

void entry_vm::wait_or_shed(const request_pointer& request, const error& reason)
{
    const version_set wanted = request->route.preferred.any() ? request->route.preferred : request->route.allowed;
    double shortest_ms = 1e12;
    for (std::size_t i = 0; i < view_.versions.size(); ++i) {
        if (wanted[i])
            shortest_ms = std::min(shortest_ms, service_ms(*request, version_index{static_cast<std::uint8_t>(i)}));
    }
    const auto service = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{shortest_ms});
    const bool may_wait = is_for_lack_of_capacity(reason);
    const admission_verdict verdict =
        admission_.evaluate(request->route.request_class, service, request->deadline, sim_.now());
    if (!may_wait || !verdict.admitted) {
        if (may_wait && route_to_fallback(request))
            return;
        if (request->withheld_version)
            deliver(request, *request->withheld_version, false);
        else
            sim_.refused(request, request->started ? run_state::ran : run_state::not_run);
        return;
    }
    admission_.on_queued(request->route.request_class);
    queue_.emplace(std::pair{class_priority_[request->request_class], ++last_queued_}, request);
    poll_queue();
}

/// Tries the queued requests again after an interval, because work of other VMs frees slots without a notification.
void entry_vm::poll_queue()
{
    if (polling_ || queue_.empty())
        return;
    polling_ = true;
    sim_.loop().schedule(queue_poll, [this] {
        polling_ = false;
        drain_queue();
    });
}

/// Tries the queued requests, classes with shorter deadlines first. A request that waits for the version of its session
/// does not block the requests behind it.
void entry_vm::drain_queue()
{
    std::size_t failing_class = SIZE_MAX;
    int failures = 0;
    for (auto item = queue_.begin(); item != queue_.end();) {
        const request_pointer request = item->second;
        if (item->first.first != failing_class)
            failures = 0;
        if (failures >= max_failures_per_class) {
            ++item;
            continue;
        }
        outcome<decision> last;
        bool routed = try_route(request, last);
        const bool unrecoverable = !routed && !is_for_lack_of_capacity(last.error());
        const duration left = request->deadline - sim_.now();
        if (!routed && !unrecoverable && left < last_resort_share * (request->deadline - request->arrived))
            routed = route_to_fallback(request);
        if (!routed && !unrecoverable && sim_.now() < request->deadline) {
            failing_class = item->first.first;
            ++failures;
            ++item;
            continue;
        }
        admission_.on_dequeued(request->route.request_class, routed, sim_.now());
        item = queue_.erase(item);
        if (routed)
            continue;
        if (request->withheld_version)
            deliver(request, *request->withheld_version, false);
        else
            sim_.refused(request, request->started ? run_state::ran : run_state::not_run);
    }
    poll_queue();
}

} // namespace agatespar::bench
