// Notes what the answers of servers report of their state.
#include <agatespar/gateway/gateway.h>
#include <agatespar/telemetry/log.h>

namespace agatespar {

// A deployment whose reports cannot be read sends one with each answer; one line a second shows what they look like.
static constexpr std::chrono::seconds unreadable_load_log_interval{1};
// A load report has some twenty characters.
static constexpr std::size_t max_logged_load_bytes = 64;

void gateway::note_unreadable_load(const fleet_server& server, const std::string& text)
{
    metrics_
        .make_counter("agatespar_load_reports_unreadable_total",
                      "Load reports of servers that could not be read, as a whole or in their slowness.")
        .add();
    const steady_time now = loop_.time().now();
    if (unreadable_load_logged_at_ && now - *unreadable_load_logged_at_ < unreadable_load_log_interval) {
        return;
    }
    unreadable_load_logged_at_ = now;
    log_event(log_severity::warning, "load_report_unreadable",
              {{"server", server.record.name.value()},
               {"service", server.record.service.value()},
               {"load", text.substr(0, max_logged_load_bytes)}});
}

} // namespace agatespar
