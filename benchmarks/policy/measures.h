// The counts and samples of one run of a scenario, and the report made from them.
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
    /// Expected number of good answers: the sum of the probabilities that each answer is good.
    double expected_good{0};
    /// The expected number if the strong model had answered every request.
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
    // Counts that must be zero.
    /// Requests that were reported as not run although an engine had started them.
    std::uint64_t not_run_untrue{0};
    std::uint64_t disallowed{0};
    std::uint64_t withdrawn{0};
    std::uint64_t moved_off_live_version{0};
    std::uint64_t drained_zone_late{0};
    std::uint64_t leaving_server_late{0};
    std::uint64_t cold_overloads{0};
    // Counts for the version guard.
    std::uint64_t bad_version_answers{0};
    std::uint64_t bad_version_answers_until_stopped{0};
    std::uint64_t guard_stops{0};
    // Expected bad answers of requests that were planned while the rating service was down.
    double expected_bad_unrated{0};
    double expected_bad_unrated_strong{0};
    // Crashes caused by the killer request.
    std::uint64_t killer_crashes{0};
    double measured_s{0};
};

/// @param missing number of samples that count as infinite, such as unanswered requests.
/// @return the quantile of the samples, infinite if it falls among the missing ones; 0 if there are no samples.
double quantile(std::vector<double> samples, double q, std::uint64_t missing = 0);

/// @return all measures by name. A name ends in its unit, if the measure has one.
std::map<std::string, double> report(const measures& m, const scenario& s);

/// Result of the oracle: the cheapest mix of models that meets the target, computed from the true rates.
struct oracle_result {
    double cost{0};
    double good_share{0};
    double strong_good_share{0};
};

/// @return the oracle's expected cost and quality for the requests that were answered.
oracle_result oracle_for(const measures& m, const scenario& s, double target);

/// @return the oracle's mix for each class, if prompts and answers have the mean lengths of their class.
std::vector<class_mix> oracle_mixes(const scenario& s, double target);
/// Adds to `busy_s` the slot time in seconds, by model, that a share of the requests of a class needs.
/// @param load share of the server's slots that are in use; decoding is slower on a loaded server.
void add_busy_seconds(const scenario& s, const serving_option& option, const class_spec& spec, double share,
                      double load, std::vector<double>& busy_s);

} // namespace agatespar::bench
