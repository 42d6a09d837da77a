// Measures the processor time of the report of one request: with its log line written, with the line dropped by the log
// budget, and without logging.
#include <agatespar/gateway/request_report.h>
#include <agatespar/telemetry/bounded_output.h>
#include <agatespar/telemetry/log.h>
#include <agatespar/telemetry/log_budget.h>

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <ostream>

using namespace agatespar;

static constexpr int requests = 50'000;
static constexpr std::size_t queue_bytes = 128U * 1024U;

static request_report example_report()
{
    request_report report;
    report.id = request_id{"9c41d07be2a35f68"};
    report.account = "hall";
    report.route = "brief";
    report.service = "assistant";
    report.kind = request_kind::streaming;
    report.status = 200;
    report.reason = "answered";
    report.goal = std::chrono::milliseconds{2000};
    report.first_byte = std::chrono::milliseconds{2100};
    report.total = std::chrono::milliseconds{4000};
    for (const char* model : {"small", "large"}) {
        attempt_report attempt;
        attempt.server = server_name{"i-7f3a91c2"};
        attempt.version = version_name{"v1"};
        attempt.model = model;
        attempt.outcome = "answered";
        report.attempts.push_back(std::move(attempt));
    }
    return report;
}

/// @return the mean processor time of one report, in microseconds.
static double measure()
{
    const request_report report = example_report();
    metrics_registry metrics;
    const std::clock_t begin = std::clock();
    for (int i = 0; i < requests; ++i) {
        report_request(report, metrics);
    }
    return static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC / requests;
}

int main()
{
    const int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
    if (sink < 0) {
        std::perror("/dev/null");
        return 1;
    }
    std::printf("without logging: %.2f us\n", measure());
    {
        bounded_output output{sink, queue_bytes};
        std::ostream lines{&output};
        start_logging({"vm-1", log_severity::debug, nullptr, nullptr}, lines);
        std::printf("with the log line written: %.2f us\n", measure());
        log_budget_settings spent;
        spent.lines_per_second = 0;
        spent.burst = 0;
        log_budget budget{spent};
        start_logging({"vm-1", log_severity::debug, nullptr, &budget}, lines);
        std::printf("with the log line dropped by the budget: %.2f us\n", measure());
        stop_logging();
    }
    close(sink);
    return 0;
}
