// Simulates the environment of the entry VMs.
#include "simulation.h"

#include "entry_vm.h"

#include <agatespar/support/hash.h>

#include <algorithm>
#include <cmath>

namespace agatespar::bench {

// Requests that use a drained zone, leaving server or withdrawn version count as errors after this time.
static constexpr std::chrono::seconds allowed_reaction_time{5};
static constexpr std::chrono::seconds gossip_interval{1};
static constexpr std::chrono::milliseconds summary_interval{500};
static constexpr std::chrono::seconds drain_step{10};
static constexpr int max_drain_steps = 400;
static constexpr double token_sigma = 0.6;

static duration seconds(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{s});
}

/// Calls the callback periodically, the first time after one interval.
static void repeat(event_loop& loop, duration interval, std::function<void()> callback)
{
    loop.schedule(interval, [&loop, interval, callback = std::move(callback)] {
        callback();
        repeat(loop, interval, callback);
    });
}

simulation::simulation(scenario s, const policy& chosen, std::uint64_t seed)
    : scenario_(std::move(s)), policy_(chosen), random_(seed), good_factor_(scenario_.versions.size(), 1.0),
      zone_out_since_(scenario_.zones.size(), steady_time::max()),
      leaving_since_(scenario_.servers.size(), steady_time::max()),
      withdrawn_since_(scenario_.versions.size(), steady_time::max()), zone_partitioned_(scenario_.zones.size(), false)
{
    measures_.classes.resize(scenario_.classes.size());
    idle_sessions_.resize(scenario_.classes.size());
    for (const server_spec& server : scenario_.servers) {
        engines_.push_back(std::make_unique<engine>(loop_, scenario_, server));
        owners_.emplace_back(scenario_.cold_slots, server.slots);
    }
    vms_of_zone_.resize(scenario_.zones.size());
    for (std::size_t zone = 0; zone < scenario_.zones.size(); ++zone) {
        for (int i = 0; i < scenario_.zones[zone].entry_vms; ++i) {
            vms_of_zone_[zone].push_back(vms_.size());
            vms_.push_back(std::make_unique<entry_vm>(*this, zone, vms_.size() + 1));
        }
    }
    for (std::size_t server = 0; server < engines_.size(); ++server)
        connect_cache_events(server);
}

simulation::~simulation() = default;

measures simulation::run()
{
    report_loads();
    summarise_zones();
    repeat(loop_, seconds(scenario_.load_report_s), [this] { report_loads(); });
    repeat(loop_, summary_interval, [this] { summarise_zones(); });
    repeat(loop_, gossip_interval, [this] { gossip(); });
    for (const scenario_event& event : scenario_.events)
        loop_.schedule(seconds(event.at_s), [this, event] { apply(event); });
    schedule_arrival();
    loop_.advance(seconds(scenario_.duration_s));
    arriving_ = false;
    // Arrivals have ended; open requests run to their end.
    for (int i = 0; i < max_drain_steps && open_requests() > 0; ++i)
        loop_.advance(drain_step);
    measures_.measured_s = scenario_.duration_s - scenario_.warmup_s;
    for (const auto& each : engines_) {
        measures_.crashes += static_cast<std::uint64_t>(each->crashes());
        measures_.cold_overloads += static_cast<std::uint64_t>(each->overloads());
    }
    measures_.unanswered_at_end = open_requests();
    return measures_;
}

std::uint64_t simulation::open_requests() const
{
    return measures_.fresh - measures_.answered - measures_.not_run - measures_.failed - measures_.outcome_unknown;
}

double simulation::burst_factor() const
{
    const double at = std::chrono::duration<double>(now().time_since_epoch()).count();
    const bool in_burst = scenario_.every_s > 0 && std::fmod(at, scenario_.every_s) < scenario_.burst_s;
    return rate_factor_ * (in_burst ? scenario_.burst_factor : 1);
}

void simulation::schedule_arrival()
{
    // Arrivals are drawn at the highest rate and thinned, because the rate may change between two arrivals.
    const double highest_rate = scenario_.rate_per_s * rate_factor_ * std::max(1.0, scenario_.burst_factor);
    loop_.schedule(seconds(std::exponential_distribution<double>{highest_rate}(random_)), [this, highest_rate] {
        if (!arriving_)
            return;
        if (std::uniform_real_distribution<double>{0, highest_rate}(random_) < scenario_.rate_per_s * burst_factor())
            arrive();
        schedule_arrival();
    });
}

std::shared_ptr<session_state> simulation::pick_session()
{
    std::vector<double> shares;
    for (const class_spec& each : scenario_.classes)
        shares.push_back(each.share);
    const auto request_class = std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(random_);
    const bool fresh = std::bernoulli_distribution{1 / std::max(1.0, scenario_.mean_turns)}(random_);
    auto& idle = idle_sessions_[request_class];
    if (!fresh && !idle.empty() && idle.begin()->first <= now())
        return idle.extract(idle.begin()).mapped();
    auto session = std::make_shared<session_state>();
    session->hash = combine_hashes(++last_session_, random_());
    session->request_class = request_class;
    std::vector<double> weights;
    for (int i = 1; i <= scenario_.accounts; ++i)
        weights.push_back(std::pow(i, -scenario_.account_zipf));
    session->account = std::discrete_distribution<int>{weights.begin(), weights.end()}(random_);
    return session;
}

double simulation::draw_tokens(double mean)
{
    const double mu = std::log(mean) - token_sigma * token_sigma / 2;
    return std::max(1.0, std::round(std::lognormal_distribution<double>{mu, token_sigma}(random_)));
}

request_pointer simulation::next_request()
{
    auto request = std::make_shared<live_request>();
    request->session = pick_session();
    request->request_class = request->session->request_class;
    const class_spec& spec = scenario_.classes[request->request_class];
    request->prompt_tokens = draw_tokens(spec.prompt_tokens);
    request->output_tokens = draw_tokens(spec.output_tokens);
    // The prompt of a later turn begins with the conversation so far, which is up to 80% of the prompt.
    request->shared_prefix = std::min(request->session->prefix_tokens, 0.8 * request->prompt_tokens);
    request->arrived = now();
    request->deadline = now() + seconds(spec.deadline_s);
    request->fingerprint = random_();
    const double at = std::chrono::duration<double>(now() - manual_clock{}.now()).count();
    request->measured = at >= scenario_.warmup_s;
    return request;
}

void simulation::arrive()
{
    const request_pointer request = next_request();
    if (request->measured) {
        ++measures_.fresh;
        ++measures_.classes[request->request_class].fresh;
    }
    send_through_any_vm(request);
}

void simulation::send_through_any_vm(const request_pointer& request)
{
    vms_[std::uniform_int_distribution<std::size_t>{0, vms_.size() - 1}(random_)]->receive(request);
}

bool simulation::forward(std::size_t from, std::size_t zone, const request_pointer& request)
{
    if (zone_partitioned_[from] || zone_partitioned_[zone])
        return false;
    const auto& vms = vms_of_zone_[zone];
    entry_vm* vm = vms_[vms[std::uniform_int_distribution<std::size_t>{0, vms.size() - 1}(random_)]].get();
    const double way_ms = (scenario_.zones[from].one_way_ms + scenario_.zones[zone].one_way_ms) / 2;
    loop_.schedule(seconds(way_ms / 1000), [vm, request] { vm->receive_forwarded(request); });
    return true;
}

void simulation::submit(std::size_t server, const request_pointer& request, std::shared_ptr<engine_job> job)
{
    const server_spec& spec = scenario_.servers[server];
    const auto late = [this](steady_time since) {
        return since != steady_time::max() && now() - since > allowed_reaction_time;
    };
    measures_.drained_zone_late += late(zone_out_since_[spec.zone]) ? 1 : 0;
    measures_.leaving_server_late += late(leaving_since_[server]) ? 1 : 0;
    measures_.withdrawn += late(withdrawn_since_[spec.version]) ? 1 : 0;
    const bool restricted = request->session->account >= scenario_.first_restricted_account;
    measures_.disallowed += restricted && scenario_.versions[spec.version].share < 0.5 ? 1 : 0;
    job->kills_server = request->killer;
    engines_[server]->submit(std::move(job));
}

double simulation::good_probability(version_index version, std::size_t request_class) const
{
    return scenario_.versions[version.value()].good[request_class] * good_factor_[version.value()];
}

bool simulation::is_strong(version_index version) const
{
    const double price = scenario_.versions[version.value()].cost_per_1k_tokens;
    return std::none_of(scenario_.versions.begin(), scenario_.versions.end(),
                        [price](const version_spec& other) { return other.cost_per_1k_tokens > price; });
}

double simulation::strong_probability(std::size_t request_class) const
{
    double sum = 0;
    double shares = 0;
    for (std::size_t i = 0; i < scenario_.versions.size(); ++i) {
        if (!is_strong(version_index{static_cast<std::uint8_t>(i)}))
            continue;
        sum += scenario_.versions[i].share * scenario_.versions[i].good[request_class];
        shares += scenario_.versions[i].share;
    }
    return shares > 0 ? sum / shares : 0;
}

bool simulation::rate(bool truly_good)
{
    const double good = truly_good ? 1 - scenario_.rating_false_bad : scenario_.rating_false_good;
    return std::bernoulli_distribution{good}(random_);
}

void simulation::report_loads()
{
    for (std::size_t i = 0; i < engines_.size(); ++i)
        owners_[i].on_report(engines_[i]->report());
    for (const auto& vm : vms_)
        vm->on_load_reports();
}

void simulation::summarise_zones()
{
    std::vector<zone_view> zones(scenario_.zones.size());
    for (std::size_t i = 0; i < owners_.size(); ++i) {
        const server_spec& spec = scenario_.servers[i];
        auto& slots = zones[spec.zone].free_slots[spec.version];
        slots = static_cast<std::uint16_t>(slots + owners_[i].free_slots());
    }
    for (const auto& vm : vms_)
        vm->on_zone_summaries(zones);
}

void simulation::gossip()
{
    for (const auto& from : vms_) {
        for (const auto& to : vms_) {
            const bool partitioned =
                from->zone() != to->zone() && (zone_partitioned_[from->zone()] || zone_partitioned_[to->zone()]);
            if (from != to && !partitioned)
                to->merge_from(*from);
        }
    }
    for (const auto& vm : vms_)
        vm->tick();
}

void simulation::connect_cache_events(std::size_t server)
{
    engines_[server]->on_cache_event = [this, server](std::uint64_t session, double tokens) {
        if (std::bernoulli_distribution{scenario_.cache_event_loss}(random_))
            return;
        loop_.schedule(seconds(scenario_.cache_event_s), [this, server, session, tokens] {
            for (const std::size_t vm : vms_of_zone_[scenario_.servers[server].zone])
                vms_[vm]->on_cache_event(server, session, tokens);
        });
    };
}

} // namespace agatespar::bench
