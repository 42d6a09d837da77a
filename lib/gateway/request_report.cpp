// Updates the metrics for completed requests and writes one log line for each.
#include <agatespar/gateway/request_report.h>
#include <agatespar/telemetry/log.h>

namespace agatespar {

static constexpr std::string_view client_disconnected_reason = "the client left";

std::string_view outcome_of(const request_report& report)
{
    if (report.status == 0) {
        return report.reason == client_disconnected_reason ? "left" : "broken";
    }
    if (is_success(report.status)) {
        return report.goal.count() > 0 && report.first_byte > report.goal ? "late" : "answered";
    }
    if (promises_not_run(report.status)) {
        return report.is_forwarded ? "failed" : "refused";
    }
    return is_server_failure(report.status) ? "failed" : "rejected";
}

static std::string_view name_of(request_kind kind)
{
    switch (kind) {
    case request_kind::safe:
        return "safe";
    case request_kind::unsafe:
        return "unsafe";
    case request_kind::streaming:
        return "streaming";
    }
    return "unknown";
}

std::string describe_attempts(const std::vector<attempt_report>& attempts)
{
    std::string text;
    for (const attempt_report& attempt : attempts) {
        text += text.empty() ? "" : "; ";
        text += attempt.server.value() + " " + attempt.version.value();
        text += attempt.model.empty() ? "" : " " + attempt.model;
        text += " load " + std::to_string(attempt.load) + "/" + std::to_string(attempt.slots);
        text += " age " + std::to_string(attempt.load_age.count());
        text += " heard " + (attempt.contact_age ? std::to_string(attempt.contact_age->count()) : "never");
        text += " of " + std::to_string(attempt.candidates);
        text += " left " + std::to_string(attempt.time_left.count());
        text += ": " + attempt.outcome + " " + std::to_string(attempt.elapsed.count()) + " ms";
        if (attempt.first_byte && attempt.events > 0) {
            text += ", first " + std::to_string(attempt.first_byte->count()) + " ms, ";
            text += std::to_string(attempt.events) + " events";
        }
        if (attempt.status != 0 && !is_success(attempt.status)) {
            text += ", status " + std::to_string(attempt.status);
        }
    }
    return text;
}

static void count_request_metrics(const request_report& report, metrics_registry& metrics)
{
    const std::string kind{name_of(report.kind)};
    const std::string outcome{outcome_of(report)};
    metrics
        .make_counter("agatespar_requests_total", "Requests that ended, by kind and outcome.",
                      {{"kind", kind}, {"outcome", outcome}})
        .add();
    if (outcome != "answered" && outcome != "late") {
        metrics
            .make_counter("agatespar_unanswered_total", "Requests without a success, by reason.",
                          {{"reason", report.reason}})
            .add();
    }
    if (report.first_byte.count() > 0) {
        metrics
            .make_histogram("agatespar_first_byte_seconds", "Time to the first byte of the answer, by kind.",
                            latency_bounds(), {{"kind", kind}})
            .record(std::chrono::duration<double>(report.first_byte).count());
    }
    for (const attempt_report& attempt : report.attempts) {
        metrics
            .make_counter(
                "agatespar_attempts_total", "Attempts at servers, by service, version and outcome.",
                {{"service", report.service}, {"version", attempt.version.value()}, {"outcome", attempt.outcome}})
            .add();
        metrics
            .make_counter("agatespar_server_attempts_total", "Attempts, by server.",
                          {{"server", attempt.server.value()}})
            .add();
    }
}

void report_request(const request_report& report, metrics_registry& metrics)
{
    count_request_metrics(report, metrics);
    const std::string_view outcome = outcome_of(report);
    const log_severity severity = outcome == "answered" ? log_severity::debug : log_severity::info;
    if (!reserve_log_line(severity)) {
        return;
    }
    log_reserved_event(severity, "request_ended",
                       {{"request", report.id.value()},
                        {"outcome", outcome},
                        {"status", report.status},
                        {"reason", report.reason},
                        {"kind", name_of(report.kind)},
                        {"account", report.account},
                        {"route", report.route},
                        {"service", report.service},
                        {"configuration", report.configuration.value()},
                        {"first_byte_ms", report.first_byte.count()},
                        {"goal_ms", report.goal.count()},
                        {"ms", report.total.count()},
                        {"waited_ms", report.waited.count()},
                        {"attempts", describe_attempts(report.attempts)}});
}

} // namespace agatespar
