// The events of a scenario, and the results that callers receive.
#include "entry_vm.h"
#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace agatespar::bench {

// Delay until a change of the configuration is in force on every VM.
static constexpr std::chrono::milliseconds config_propagation_time{1500};
// Delay until the VMs detect that a network partition began or ended.
static constexpr std::chrono::milliseconds partition_detection_time{2000};
// Delay until a caller sends a killer request again after it was refused.
static constexpr std::chrono::seconds resend_delay{1};

void simulation::publish_zone_status(std::size_t zone)
{
    const bool out = zone_out_since_[zone] != steady_time::max();
    loop_.schedule(config_propagation_time, [this, zone, out] {
        for (const auto& vm : vms_)
            vm->set_zone_in_service(zone, !out);
    });
}

void simulation::send_killer_request(int resends)
{
    const request_pointer request = next_request();
    request->killer = true;
    request->resends = resends;
    request->measured = false;
    send_through_any_vm(request);
}

void simulation::apply(const scenario_event& event)
{
    const auto schedule_on_all_vms = [this](duration delay, std::function<void(entry_vm&)> change) {
        loop_.schedule(delay, [this, change = std::move(change)] {
            for (const auto& vm : vms_)
                change(*vm);
        });
    };
    const version_index version{static_cast<std::uint8_t>(event.version)};
    switch (event.what) {
    case event_kind::server_turns_cold:
        engines_[event.server]->turn_cold();
        break;
    case event_kind::server_dies:
        engines_[event.server]->die(scenario_.duration_s);
        break;
    case event_kind::server_leaves:
        engines_[event.server]->start_leaving();
        leaving_since_[event.server] = now();
        break;
    case event_kind::zone_out:
    case event_kind::zone_back:
        zone_out_since_[event.zone] = event.what == event_kind::zone_out ? now() : steady_time::max();
        publish_zone_status(event.zone);
        break;
    case event_kind::zone_cut:
    case event_kind::zone_healed: {
        const bool partitioned = event.what == event_kind::zone_cut;
        zone_partitioned_[event.zone] = partitioned;
        schedule_on_all_vms(partition_detection_time, [zone = event.zone, partitioned](entry_vm& vm) {
            vm.set_zone_partitioned(zone, partitioned);
        });
        break;
    }
    case event_kind::version_turns_bad:
        good_factor_[event.version] = event.value;
        break;
    case event_kind::share:
        schedule_on_all_vms(config_propagation_time,
                            [version, share = event.value](entry_vm& vm) { vm.set_share(version, share); });
        break;
    case event_kind::withdraw:
        withdrawn_since_[event.version] = now();
        schedule_on_all_vms(config_propagation_time, [version](entry_vm& vm) { vm.withdraw(version); });
        break;
    case event_kind::backend_outage:
        // Selects the given fraction of the servers, spread evenly over the list.
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            const double before = std::floor(static_cast<double>(i) * event.value);
            if (std::floor(static_cast<double>(i + 1) * event.value) > before)
                engines_[i]->die(event.for_s);
        }
        break;
    case event_kind::rating_down:
    case event_kind::rating_up:
        rating_up_ = event.what == event_kind::rating_up;
        break;
    case event_kind::log_down:
    case event_kind::log_up:
        log_up_ = event.what == event_kind::log_up;
        break;
    case event_kind::killer_request:
        send_killer_request(event.resends);
        break;
    case event_kind::rate_factor:
        rate_factor_ = event.value;
        break;
    }
}

/// @return the number of VMs that still send new sessions to a version.
std::size_t simulation::open_to_new_sessions(version_index version) const
{
    std::size_t open = 0;
    for (const auto& vm : vms_)
        open += vm->stopped_by_guard(version) ? 0 : 1;
    return open;
}

/// @return the probability that a delivered answer is good. It is higher for an answer that was withheld and rated good
///     than for one that was not rated.
double simulation::delivered_good_probability(const live_request& request, version_index version) const
{
    const double good = good_probability(version, request.request_class);
    if (!request.plan.cascade() || request.second_step)
        return good;
    const double accepted_good = good * (1 - scenario_.rating_false_bad);
    const double accepted_bad = (1 - good) * scenario_.rating_false_good;
    return accepted_good / std::max(accepted_good + accepted_bad, 1e-9);
}

void simulation::answered(const request_pointer& request, version_index version, bool truly_good)
{
    session_state& session = *request->session;
    session.prefix_tokens = request->prompt_tokens + request->output_tokens;
    if (!std::bernoulli_distribution{1 / std::max(1.0, scenario_.mean_turns)}(random_)) {
        const double think_s = std::exponential_distribution<double>{1 / std::max(0.01, scenario_.think_s)}(random_);
        idle_sessions_[session.request_class].emplace(
            now() + std::chrono::duration_cast<duration>(std::chrono::duration<double>{think_s}), request->session);
    }
    measures_.cost += request->measured ? request->cost : 0;
    if (!request->measured)
        return;
    ++measures_.answered;
    class_measures& each = measures_.classes[request->request_class];
    ++each.answered;
    each.tokens += request->prompt_tokens + request->output_tokens;
    each.latency_s.push_back(std::chrono::duration<double>(now() - request->arrived).count());
    each.first_token_s.push_back(std::chrono::duration<double>(request->first_token - request->arrived).count());
    each.in_deadline += now() <= request->deadline ? 1 : 0;
    measures_.bad_version_answers += is_bad(version) ? 1 : 0;
    const bool stopped = is_bad(version) && open_to_new_sessions(version) == 0;
    measures_.bad_version_answers_until_stopped += is_bad(version) && !stopped ? 1 : 0;
    measures_.good += truly_good ? 1 : 0;
    const double expected = delivered_good_probability(*request, version);
    const double strong = strong_probability(request->request_class);
    measures_.expected_good += expected;
    measures_.expected_good_strong += strong;
    if (request->planned_unrated) {
        // The policy always-strong would have given the same answer if the strong model answered, even if its version
        // turned bad.
        measures_.expected_bad_unrated += 1 - expected;
        measures_.expected_bad_unrated_strong += 1 - (is_strong(version) ? expected : strong);
    }
}

void simulation::refused(const request_pointer& request, run_state ran)
{
    if (request->killer && request->resends > 0) {
        --request->resends;
        const request_pointer resent = std::make_shared<live_request>();
        resent->session = request->session;
        resent->request_class = request->request_class;
        resent->prompt_tokens = request->prompt_tokens;
        resent->output_tokens = request->output_tokens;
        resent->fingerprint = request->fingerprint;
        resent->killer = true;
        resent->resends = request->resends;
        resent->arrived = now() + resend_delay;
        resent->deadline = resent->arrived + (request->deadline - request->arrived);
        loop_.schedule(resend_delay, [this, resent] { send_through_any_vm(resent); });
    }
    if (!request->measured)
        return;
    measures_.cost += request->cost;
    if (ran == run_state::not_run) {
        ++measures_.not_run;
        measures_.not_run_untrue += request->started ? 1 : 0;
    }
    else if (ran == run_state::ran)
        ++measures_.failed;
    else
        ++measures_.outcome_unknown;
}

} // namespace agatespar::bench
