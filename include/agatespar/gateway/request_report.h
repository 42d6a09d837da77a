// Reports a completed request: one structured log line with every routing decision, and metrics.
#pragma once

#include <agatespar/gateway/service_map.h>
#include <agatespar/support/clock.h>
#include <agatespar/telemetry/metrics.h>

#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// One attempt at a backend server, with the data that its choice was based on.
struct attempt_report {
    server_name server;
    version_name version;
    std::string model;
    /// Number of eligible servers that it was chosen from, and this VM's estimate of the server's load at that time.
    std::size_t candidates{0};
    std::uint32_t load{0};
    std::uint32_t slots{0};
    /// Age of the last load report of the server.
    std::chrono::milliseconds load_age{0};
    /// Time since this VM last received anything from the server; none if it never did.
    std::optional<std::chrono::milliseconds> contact_age;
    std::chrono::milliseconds time_left{0};
    std::chrono::milliseconds elapsed{0};
    /// Time to the first byte of this attempt's answer; none if it never began.
    std::optional<std::chrono::milliseconds> first_byte;
    /// Complete events that the server sent, if the answer is a stream.
    std::size_t events{0};
    /// Status of the server's answer; 0 if none came.
    int status{0};
    /// "answered", or the reason why the attempt ended without a complete answer.
    std::string outcome;
};

/// All data of one request. They go into a single log line, so that they are written or discarded together.
struct request_report {
    request_id id;
    std::string account;
    std::string route;
    std::string service;
    request_kind kind{request_kind::safe};
    /// Status of the final answer; 0 if the answer was aborted or the client disconnected.
    int status{0};
    /// The answer is a server's; otherwise it is the router's own.
    bool is_forwarded{false};
    std::string reason;
    service_map_version configuration;
    std::chrono::milliseconds goal{0};
    /// Time to the first byte of the answer that the client got; zero if there was none.
    std::chrono::milliseconds first_byte{0};
    std::chrono::milliseconds total{0};
    /// Time that the request waited on this VM until a server had room.
    std::chrono::milliseconds waited{0};
    std::vector<attempt_report> attempts;
};

/// @return the outcome of a request, a metric label: "answered", "late" (first byte after the goal), "refused" (the
/// router's own status 503), "failed" (other 5xx, or a server's status that says without proof that the request was not
/// run), "rejected" (other status), "broken" (answer aborted) or "left" (client disconnected).
std::string_view outcome_of(const request_report& report);

/// @return the attempts in the compact form of the log line, e.g.
/// "i-1 v1 m0 load 3/48 age 120 heard 80 of 17 left 2000: answered 70 ms": server, version, model, load and slots, age
/// of the load report, time since the last contact or "never", number of candidates, time left, outcome, and duration.
/// A stream that has begun adds ", first 20 ms, 12 events", a status other than 2xx ", status 500". All times are in
/// milliseconds.
std::string describe_attempts(const std::vector<attempt_report>& attempts);

/// Updates the metrics and writes the log line: at severity debug if the request was answered in time, otherwise info.
void report_request(const request_report& report, metrics_registry& metrics);

} // namespace agatespar
