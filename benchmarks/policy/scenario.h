// A scenario of the policy benchmark: fleet, load and faults, read from a JSON file.
#pragma once

#include <agatespar/routing/view.h>
#include <agatespar/support/outcome.h>

#include <string>
#include <vector>

namespace agatespar::bench {

struct zone_spec {
    std::string name;
    std::string region;
    int entry_vms{1};
    double one_way_ms{1};
};

struct version_spec {
    std::string model;
    std::string version;
    double cost_per_1k_tokens{1};
    double prefill_tokens_per_s{10000};
    double decode_ms_per_token{10};
    double decode_slope{0};
    /// Probability of a good answer, by class.
    std::vector<double> good;
    double share{1};
};

/// One backend server.
struct server_spec {
    std::string name;
    std::size_t zone{0};
    std::size_t version{0};
    int slots{1};
};

struct class_spec {
    std::string name;
    double share{1};
    double prompt_tokens{100};
    double output_tokens{100};
    double deadline_s{60};
    bool idempotent{true};
    bool streamed{false};
};

enum class event_kind {
    server_turns_cold,
    server_dies,
    server_leaves,
    zone_out,
    zone_back,
    zone_cut,
    zone_healed,
    version_turns_bad,
    share,
    withdraw,
    backend_outage,
    rating_down,
    rating_up,
    log_down,
    log_up,
    killer_request,
    rate_factor,
};

/// An event of a scenario, such as a fault. Each kind uses only some of the fields.
struct scenario_event {
    double at_s{0};
    event_kind what{event_kind::zone_out};
    std::size_t server{0};
    std::size_t zone{0};
    std::size_t version{0};
    /// The good_factor, share, fraction or factor of the JSON event.
    double value{0};
    double for_s{0};
    int resends{0};
};

struct scenario {
    std::string name;
    double duration_s{600};
    double warmup_s{60};
    score_weights weights;
    std::vector<zone_spec> zones;
    std::vector<version_spec> versions;
    std::vector<server_spec> servers;
    std::vector<class_spec> classes;
    double rate_per_s{1};
    double burst_factor{1};
    double burst_s{0};
    double every_s{0};
    int accounts{10};
    double account_zipf{1};
    double mean_turns{1};
    double think_s{10};
    int cold_slots{1};
    double cold_warm_after_s{30};
    double cold_restart_s{20};
    double load_report_s{2};
    double cache_event_s{3};
    double cache_event_loss{0};
    double rating_delay_ms{100};
    double rating_false_good{0};
    double rating_false_bad{0};
    std::vector<scenario_event> events;
    /// Accounts from this number on may not use versions whose share is below one half. Set by gates; not read from a
    /// file.
    int first_restricted_account{1'000'000};

    /// @return the number of the model that a version belongs to, in order of appearance.
    std::size_t model_of(std::size_t version) const;
};

/// @return the scenario, or an error that names the unknown, missing or mistyped field or the unknown event.
outcome<scenario> read_scenario(const std::string& path);

} // namespace agatespar::bench
