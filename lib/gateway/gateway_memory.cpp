// The memory budget of the gateway: its limit, its metrics and log lines.
#include <agatespar/gateway/gateway.h>
#include <agatespar/telemetry/log.h>

namespace agatespar {

void gateway::limit_memory()
{
    if (const auto& memory = pool_.memory()) {
        memory->set_limit(budget_bytes(settings_.memory_mb));
    }
}

void gateway::check_memory_pressure()
{
    const auto& memory = pool_.memory();
    if (!memory || !update_pressure(memory_pressure_, memory->failures(), loop_.time().now())) {
        return;
    }
    const bool begins = memory_pressure_.active;
    log_event(begins ? log_severity::warning : log_severity::info,
              begins ? "memory_pressure_began" : "memory_pressure_ended",
              {{"reserved_bytes", static_cast<std::uint64_t>(memory->state().reserved)},
               {"limit_bytes", static_cast<std::uint64_t>(memory->state().limit)},
               {"reservations_failed", memory->failures()}});
}

void gateway::show_memory()
{
    const auto& memory = pool_.memory();
    if (!memory) {
        return;
    }
    for (std::size_t kind = 0; kind < memory_holder_count; ++kind) {
        const auto holder = static_cast<memory_holder>(kind);
        metrics_
            .make_gauge("agatespar_memory_reserved_bytes", "Memory that peers make this VM hold, by what holds it.",
                        {{"holder", std::string{to_string(holder)}}})
            .set(static_cast<double>(memory->held_by(holder)));
    }
    for (std::size_t kind = 0; kind < memory_refusal_count; ++kind) {
        const auto reason = static_cast<memory_refusal>(kind);
        metrics_
            .make_counter("agatespar_memory_refusals_total",
                          "Requests refused and clients closed for lack of memory, by reason.",
                          {{"reason", std::string{to_string(reason)}}})
            .value = memory->refusals(reason);
    }
    metrics_.make_gauge("agatespar_memory_pressure", "Whether reservations of memory have failed in the last seconds.")
        .set(memory_pressure_.active ? 1 : 0);
}

} // namespace agatespar
