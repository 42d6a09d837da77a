// Exchanges verdicts on requests that crash servers with the other VMs, through records in the store.
#include <agatespar/gateway/crash_record.h>
#include <agatespar/gateway/gateway.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

// Verdicts in a VM's record. A VM changes few at a time, and each other VM reads the record once.
static constexpr std::size_t max_own_verdicts = 32;

static std::string describe_parts(const std::vector<prompt_part>& prompt)
{
    std::string text;
    for (const prompt_part& part : prompt) {
        text += (text.empty() ? "" : ",") + part.id.value();
    }
    return text;
}

void gateway::note_crash(const crashed_attempt& attempt, const fleet_server& server, const request_metadata& request)
{
    const clock& time = loop_.time();
    const auto items = crashes_.on_crash(attempt, time.now(), time.wall_now());
    log_event(log_severity::warning, "server_crashed",
              {{"request", request.id.value()},
               {"server", server.record.name.value()},
               {"prompt", describe_parts(request.prompt)},
               {"changed_verdicts", static_cast<std::uint64_t>(items.size())},
               {"verdict", static_cast<int>(crashes_.verdict(attempt.suspects, time.now()))}});
    metrics_
        .make_counter("agatespar_server_crashes_total", "Crashes of servers seen by requests that had no answer yet.",
                      {{"service", server.record.service.value()}})
        .add();
    publish_verdicts(items);
}

void gateway::note_answer_begun(const crash_suspects& request)
{
    const clock& time = loop_.time();
    publish_verdicts(crashes_.on_answer(request, time.now(), time.wall_now()));
}

void gateway::apply_crash_record(const keyed_record& record)
{
    if (!record.value) {
        return;
    }
    const auto items = read_crash_record(*record.value);
    if (!items) {
        log_event(log_severity::warning, "crash_record_unreadable",
                  {{"key", record.key}, {"reason", items.error().message}});
        return;
    }
    const clock& time = loop_.time();
    const auto unix_now = std::chrono::duration_cast<std::chrono::seconds>(time.wall_now().time_since_epoch()).count();
    for (const gossip_item& item : *items) {
        const bool is_expired = item.expires <= unix_now;
        if (!is_expired && !crashes_.on_item(item, time.now())) {
            log_event(log_severity::warning, "crash_verdict_unreadable", {{"key", record.key}});
        }
    }
}

void gateway::publish_verdicts(const std::vector<gossip_item>& items)
{
    if (items.empty()) {
        return;
    }
    for (const gossip_item& item : items) {
        std::erase_if(own_verdicts_, [&item](const gossip_item& own) { return own.name == item.name; });
        own_verdicts_.push_back(item);
    }
    if (own_verdicts_.size() > max_own_verdicts) {
        own_verdicts_.erase(own_verdicts_.begin(), own_verdicts_.end() - max_own_verdicts);
    }
    relay_->write_row(fleet_topic::evidence, write_crash_record(own_verdicts_, settings_.vm_name));
}

} // namespace agatespar
