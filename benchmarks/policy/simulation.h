// Simulates the environment of the entry VMs: callers, sessions, engines, permit owners, delays and faults.
#pragma once

#include "engine.h"
#include "measures.h"
#include "policy.h"
#include "simulated_owner.h"

#include <agatespar/cascade/planner.h>
#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/routing/request.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace agatespar::bench {

class entry_vm;

/// A caller's conversation, with the contents of its session token.
struct session_state {
    std::uint64_t hash{0};
    std::size_t request_class{0};
    int account{0};
    /// The versions that the session keeps, at most one per model.
    std::vector<version_index> pins;
    /// Tokens of the conversation so far; 0 before the first answer.
    double prefix_tokens{0};
};

/// The state of one simulated request.
struct live_request {
    std::shared_ptr<session_state> session;
    std::size_t request_class{0};
    double prompt_tokens{0};
    double output_tokens{0};
    /// Tokens of the prompt that may be in a server's cache from earlier turns of the session.
    double shared_prefix{0};
    steady_time arrived;
    steady_time deadline;
    /// Identifies the content of the request; equal for a killer request that is sent again.
    std::uint64_t fingerprint{0};
    /// Whether the request crashes each server that runs it.
    bool killer{false};
    /// How often the caller will send the killer request again after it is refused.
    int resends{0};
    /// False for killer requests and for requests that arrive during the warm-up.
    bool measured{false};
    /// Whether the request was planned while the rating service was down.
    bool planned_unrated{false};
    route_request route;
    /// How often the request was forwarded to another zone.
    int zone_changes{0};
    /// The zone whose server indices `route.excluded` contains; SIZE_MAX if it is not set.
    std::size_t excluded_in_zone{SIZE_MAX};
    serving_plan plan;
    bool planned{false};
    /// Whether the first model of a cascade has answered and the second one is to answer.
    bool second_step{false};
    /// Whether fallback versions are allowed, because the request waited long or would otherwise be refused.
    bool last_resort{false};
    int attempts{0};
    int permit_denials{0};
    /// Whether an engine started the request.
    bool started{false};
    /// Tokens that broken attempts had streamed; the next attempt resumes after them.
    double resumed_tokens{0};
    steady_time first_token;
    double cost{0};
    /// Version of a withheld answer that was not rated good. The answer is sent if there is no better one.
    std::optional<version_index> withheld_version;
};

using request_pointer = std::shared_ptr<live_request>;

/// Runs a scenario under one policy and one seed.
class simulation {
public:
    simulation(scenario s, const policy& chosen, std::uint64_t seed);
    ~simulation();
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;

    /// Runs the scenario until its requests have ended. To be called once.
    /// @return the counts and samples of the run.
    measures run();

    // Interface for entry VMs.
    event_loop& loop() { return loop_; }
    steady_time now() const { return loop_.time().now(); }
    std::mt19937_64& random() { return random_; }
    const scenario& simulated_scenario() const { return scenario_; }
    const policy& chosen() const { return policy_; }
    measures& counts() { return measures_; }
    simulated_owner& owner(std::size_t server) { return owners_[server]; }
    /// Submits an attempt to a server's engine, and counts attempts at servers that must not be used
    /// (see the counts of `measures` that must be zero).
    void submit(std::size_t server, const request_pointer& request, std::shared_ptr<engine_job> job);
    /// Forwards a request to a VM of another zone. @return false if a network partition separates the zones.
    bool forward(std::size_t from, std::size_t zone, const request_pointer& request);
    bool rating_available() const { return rating_up_; }
    bool log_available() const { return log_up_; }
    /// @return the probability of a good answer, including the effect of `version_turns_bad` events.
    double good_probability(version_index version, std::size_t request_class) const;
    /// @return whether the rating service rates an answer good.
    bool rate(bool truly_good);
    bool is_bad(version_index version) const { return good_factor_[version.value()] < 1; }
    /// @return whether a version is of the most expensive model.
    bool is_strong(version_index version) const;
    /// @return the probability of a good answer of the most expensive model, as the mean over its versions weighted by
    ///     their shares.
    double strong_probability(std::size_t request_class) const;
    /// Sends an answer to the caller. @param version the version that gave the answer.
    void answered(const request_pointer& request, version_index version, bool truly_good);
    /// Sends an error to the caller. @param ran whether the request ran, as the error reports it.
    void refused(const request_pointer& request, run_state ran);
    const engine& engine_at(std::size_t server) const { return *engines_[server]; }

private:
    void schedule_arrival();
    void arrive();
    request_pointer next_request();
    std::shared_ptr<session_state> pick_session();
    /// @return the current factor on the request rate, from bursts and `rate_factor` events.
    double burst_factor() const;
    void send_through_any_vm(const request_pointer& request);
    void apply(const scenario_event& event);
    void send_killer_request(int resends);
    void publish_zone_status(std::size_t zone);
    void report_loads();
    void summarise_zones();
    void gossip();
    void connect_cache_events(std::size_t server);
    double draw_tokens(double mean);
    std::uint64_t open_requests() const;
    std::size_t open_to_new_sessions(version_index version) const;
    double delivered_good_probability(const live_request& request, version_index version) const;

    scenario scenario_;
    policy policy_;
    std::mt19937_64 random_;
    manual_event_loop loop_;
    measures measures_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<simulated_owner> owners_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
    std::vector<std::vector<std::size_t>> vms_of_zone_;
    std::vector<double> good_factor_;
    // When a zone was taken out of service, a server began to leave or a version was withdrawn; steady_time::max() if
    // that is not the case.
    std::vector<steady_time> zone_out_since_;
    std::vector<steady_time> leaving_since_;
    std::vector<steady_time> withdrawn_since_;
    std::vector<bool> zone_partitioned_;
    /// By class, ordered by the time at which the caller sends the next request.
    std::vector<std::multimap<steady_time, std::shared_ptr<session_state>>> idle_sessions_;
    bool arriving_{true};
    double rate_factor_{1};
    bool rating_up_{true};
    bool log_up_{true};
    std::uint64_t last_session_{0};
};

} // namespace agatespar::bench
