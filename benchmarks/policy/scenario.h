// A scenario of the policy benchmark: fleet, load and faults, read from a JSON file.
#pragma once

#include <agatespar/routing/view.h>
#include <agatespar/support/outcome.h>

#include <string>
#include <vector>

namespace agatespar::bench {

/// An availability zone.
struct zone_spec {
    std::string name;
    std::string region;
    int entry_vms{1};
    /// One-way network latency in ms. The latency between two zones is the mean of their values.
    double one_way_ms{1};
};

/// A version of a model.
struct version_spec {
    std::string model;
    std::string version;
    /// Cost of 1000 tokens, prompt and answer together, in any unit.
    double cost_per_1k_tokens{1};
    double prefill_tokens_per_s{10000};
    double decode_ms_per_token{10};
    /// Relative increase of the decode time when all slots are busy; it grows linearly with the share of busy slots.
    double decode_slope{0};
    /// Probability of a good answer, by class.
    std::vector<double> good;
    /// Share of the model's new sessions.
    double share{1};
};

/// One backend server.
struct server_spec {
    std::string name;
    /// Index into scenario::zones.
    std::size_t zone{0};
    /// Index into scenario::versions.
    std::size_t version{0};
    /// Number of requests that the warm server runs concurrently.
    int slots{1};
};

/// A request class.
struct class_spec {
    std::string name;
    /// Share of the requests.
    double share{1};
    /// Mean lengths of prompts and answers.
    double prompt_tokens{100};
    double output_tokens{100};
    /// Time from the arrival of a request to its deadline.
    double deadline_s{60};
    bool idempotent{true};
    bool streamed{false};
};

/// What happens in an event. A scenario file contains the same names.
enum class event_kind {
    /// The server loses its cache and becomes cold, without a restart.
    server_turns_cold,
    /// The server crashes and does not restart while requests arrive.
    server_dies,
    /// The server refuses new requests and completes those that it accepted.
    server_leaves,
    /// Operators take the zone out of service, or return it to service.
    zone_out,
    zone_back,
    /// A network partition between the zone and all others begins or ends.
    zone_cut,
    zone_healed,
    /// The version's probability of a good answer is multiplied by `value`.
    version_turns_bad,
    /// The version's share of its model's new sessions is set to `value`.
    share,
    /// The version is withdrawn.
    withdraw,
    /// The fraction `value` of all servers is down for `for_s`.
    backend_outage,
    /// The rating service fails or recovers.
    rating_down,
    rating_up,
    /// The log service fails or recovers. Non-idempotent requests are refused without it.
    log_down,
    log_up,
    /// A request arrives that crashes each server that runs it. The caller sends it again `resends` times.
    killer_request,
    /// The request rate is multiplied by `value`, until the next event of this kind.
    rate_factor,
};

/// An event of a scenario, such as a fault. Each kind uses only some of the fields.
struct scenario_event {
    /// Time since the start of the scenario.
    double at_s{0};
    event_kind what{event_kind::zone_out};
    /// Indices into the vectors of the scenario.
    std::size_t server{0};
    std::size_t zone{0};
    std::size_t version{0};
    /// The good_factor, share, fraction or factor of the JSON event.
    double value{0};
    double for_s{0};
    int resends{0};
};

/// A complete scenario. Names end in the unit, if there is one.
struct scenario {
    std::string name;
    /// Time for which requests arrive.
    double duration_s{600};
    /// Requests that arrive before this time are not measured.
    double warmup_s{60};
    /// The weights of the routing score.
    score_weights weights;
    std::vector<zone_spec> zones;
    std::vector<version_spec> versions;
    std::vector<server_spec> servers;
    std::vector<class_spec> classes;
    /// Mean request rate outside bursts.
    double rate_per_s{1};
    /// A burst begins every `every_s` and lasts `burst_s`; the rate is multiplied by `burst_factor` in it. There are no
    /// bursts if `every_s` is 0.
    double burst_factor{1};
    double burst_s{0};
    double every_s{0};
    /// Number of client accounts.
    int accounts{10};
    /// Exponent of the Zipf distribution of sessions over accounts.
    double account_zipf{1};
    /// Mean number of requests of a session.
    double mean_turns{1};
    /// Mean time between an answer and the session's next request.
    double think_s{10};
    /// Number of requests that a cold server can run concurrently; one more crashes it.
    int cold_slots{1};
    /// Time for which a cold server has to run requests until it is warm.
    double cold_warm_after_s{30};
    /// Time that a server needs to restart after it was overloaded or ran a killer request.
    double cold_restart_s{20};
    /// Interval of the servers' load reports.
    double load_report_s{2};
    /// Delay until the VMs of the zone know of a change of a server's prefix cache.
    double cache_event_s{3};
    /// Probability that such a notification is lost.
    double cache_event_loss{0};
    /// Time that the rating of an answer takes.
    double rating_delay_ms{100};
    /// Probability that a bad answer is rated good.
    double rating_false_good{0};
    /// Probability that a good answer is rated bad.
    double rating_false_bad{0};
    std::vector<scenario_event> events;
    /// Accounts from this number on may not use versions whose share is below one half. Set by gates; not read from a
    /// file.
    int first_restricted_account{1'000'000};

    /// @return the number of the model that a version belongs to, in order of appearance.
    std::size_t model_of(std::size_t version) const;
};

/// Reads a scenario from a JSON file.
/// @return the scenario, or the error `not_found` if the file can't be read, or `malformed` with a text that names the
///     problem, e.g. an unknown, missing or mistyped field, or an unknown event, zone, version or server.
outcome<scenario> read_scenario(const std::string& path);

} // namespace agatespar::bench
