// What a run of a scenario counted.
#pragma once

#include "scenario.h"

#include <agatespar/cascade/mix.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatespar::bench {

/// The counts and samples of one request class.
struct class_measures {
    std::vector<double> latency_s;
    std::vector<double> first_token_s;
    std::uint64_t fresh{0};
    std::uint64_t answered{0};
    std::uint64_t in_deadline{0};
    /// Tokens of the answered requests.
    double tokens{0};
};

struct measures {
    std::vector<class_measures> classes;
    /// Gaps between tokens of streamed answers, in ms.
    std::vector<double> streamed_gap_ms;
    std::uint64_t fresh{0};
    std::uint64_t answered{0};
    std::uint64_t good{0};
    /// Sum of the probabilities with which the answers are good.
    double expected_good{0};
    /// The same if the strong model had answered.
    double expected_good_strong{0};
    double cost{0};
    std::uint64_t not_run{0};
    std::uint64_t failed{0};
    std::uint64_t outcome_unknown{0};
    std::uint64_t unanswered_at_end{0};
    std::uint64_t crashes{0};
    std::uint64_t attempts{0};
    std::uint64_t retries{0};
    std::uint64_t permits_denied{0};
    // Counts that have to be zero.
    std::uint64_t not_run_untrue{0};
    std::uint64_t disallowed{0};
    std::uint64_t withdrawn{0};
    std::uint64_t moved_off_live_version{0};
    std::uint64_t drained_zone_late{0};
    std::uint64_t leaving_server_late{0};
    std::uint64_t cold_overloads{0};
    // The version guard.
    std::uint64_t bad_version_answers{0};
    std::uint64_t bad_version_answers_until_stopped{0};
    std::uint64_t guard_stops{0};
    // While the rating service was away.
    double expected_bad_unrated{0};
    double expected_bad_unrated_strong{0};
    // Requests of the killer fingerprint.
    std::uint64_t killer_crashes{0};
    double measured_s{0};
};

/// @return the quantile of the samples, infinite where it falls among the `missing` ones; zero without samples.
double quantile(std::vector<double> samples, double q, std::uint64_t missing = 0);

/// @return every measure with its unit in its name.
std::map<std::string, double> report(const measures& m, const scenario& s);

/// The oracle: the cheapest mix that knows the true rates and meets the target.
struct oracle_result {
    double cost{0};
    double good_share{0};
    double strong_good_share{0};
};

/// @return the oracle's expected cost for the requests that were answered.
oracle_result oracle_for(const measures& m, const scenario& s, double target);

/// @return how the oracle serves each class, if answers have the classes' mean lengths.
std::vector<class_mix> oracle_mixes(const scenario& s, double target);
/// Adds the time that a share of a class's requests keeps a slot of each model, at a load of its slots.
void add_busy_seconds(const scenario& s, const serving_option& option, const class_spec& spec, double share,
                      double load, std::vector<double>& busy_s);

} // namespace agatespar::bench
