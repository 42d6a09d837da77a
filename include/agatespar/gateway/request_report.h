// What is told of a request when it has ended: one log line with every decision, and the counters.
#pragma once

#include <agatespar/gateway/service_map.h>
#include <agatespar/support/clock.h>
#include <agatespar/telemetry/metrics.h>

#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// One attempt, with what decided it.
struct attempt_report {
    server_name server;
    version_name version;
    std::string model;
    /// Servers among which it was chosen, and what was believed of its load then.
    std::size_t candidates{0};
    std::uint32_t load{0};
    std::uint32_t slots{0};
    /// Since the server last told its load.
    std::chrono::milliseconds load_age{0};
    /// Since this VM last heard anything of the server; none if it never did.
    std::optional<std::chrono::milliseconds> heard_age;
    std::chrono::milliseconds time_left{0};
    std::chrono::milliseconds took{0};
    /// "answered", or why it ended otherwise.
    std::string outcome;
};

/// One request, whole, so that its log line is written or dropped as a whole.
struct run_report {
    request_id id;
    std::string account;
    std::string route;
    std::string service;
    request_kind kind{request_kind::safe};
    /// Of the final answer; 0 for a connection that was broken off or that the client left.
    int status{0};
    std::string reason;
    service_map_version configuration;
    std::chrono::milliseconds goal{0};
    /// To the first byte of the answer that was delivered; zero if there was none.
    std::chrono::milliseconds first_byte{0};
    std::chrono::milliseconds total{0};
    std::vector<attempt_report> attempts;
};

/// How a request ended, for counters: "answered", "late", "refused", "failed", "rejected", "broken" or "left".
std::string_view outcome_of(const run_report& report);

/// @return the attempts in a line's compact form, e.g. "i-1 v1 m0 load 3/48 age 120 heard 80 of 17 left 2000: answered
/// 70 ms".
std::string describe_attempts(const std::vector<attempt_report>& attempts);

/// Counts the request and writes its line, an ordinary one if it was answered in time.
void report_run(const run_report& report, metrics_registry& metrics);

} // namespace agatespar
