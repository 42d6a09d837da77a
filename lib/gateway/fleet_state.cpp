// Takes in the records of the store, and narrows the servers for a request.
#include <agatespar/gateway/evidence_record.h>
#include <agatespar/gateway/fleet_state.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

void fleet_state::take_operator_record(const keyed_record& record, steady_time now)
{
    const operator_key key = store_.read_operator_key(record.key);
    switch (key.what) {
    case operator_key::subject::service_map:
        take_service_map(record);
        return;
    case operator_key::subject::rollout:
        take_rollout(key.name, record, now);
        return;
    case operator_key::subject::evacuation:
        take_evacuation(key.name, record);
        return;
    case operator_key::subject::unknown:
        log_event(log_severity::info, "operator_record_ignored", {{"key", record.key}, {"offset", record.offset}});
        return;
    }
}

void fleet_state::take_service_map(const keyed_record& record)
{
    if (!record.value) {
        log_event(log_severity::warning, "configuration_removal_ignored", {{"offset", record.offset}});
        return;
    }
    auto map = store_.read_service_map(*record.value);
    if (!map) {
        log_event(log_severity::error, "configuration_unreadable",
                  {{"offset", record.offset}, {"reason", map.error().message}});
        return;
    }
    // A version never goes back within a process's life, whatever order records are read in.
    if (map_ && map->version <= map_->version) {
        return;
    }
    map_ = std::make_shared<const service_map>(std::move(*map));
    log_event(log_severity::info, "configuration_in_force",
              {{"version", map_->version.value()},
               {"offset", record.offset},
               {"routes", static_cast<std::uint64_t>(map_->routes.size())}});
}

void fleet_state::take_rollout(const std::string& name, const keyed_record& record, steady_time now)
{
    const service_name service{name};
    if (!record.value) {
        rollouts_.erase(service);
        log_event(log_severity::info, "rollout_withdrawn", {{"service", name}, {"offset", record.offset}});
        return;
    }
    const auto order = store_.read_rollout(name, *record.value);
    if (!order) {
        log_event(log_severity::error, "rollout_unreadable", {{"service", name}, {"reason", order.error().message}});
        return;
    }
    const auto known = rollouts_.find(service);
    if (known != rollouts_.end() && known->second.order().target == order->target) {
        return;
    }
    rollouts_.erase(service);
    auto& watch =
        rollouts_.try_emplace(service, *order, rollout_settings_, own_, sessions_.list(now), now).first->second;
    if (const auto report = reports_.find(service); report != reports_.end()) {
        watch.take_report(report->second);
    }
    log_event(log_severity::info, "rollout_ordered",
              {{"service", name}, {"target", order->target.value()}, {"offset", record.offset}});
}

void fleet_state::take_evacuation(const std::string& name, const keyed_record& record)
{
    const zone_name zone{name};
    if (record.value) {
        evacuated_.insert(zone);
    }
    else {
        evacuated_.erase(zone);
    }
    log_event(log_severity::info, record.value ? "zone_evacuated" : "zone_taken_back",
              {{"zone", name}, {"offset", record.offset}});
}

void fleet_state::take_report_record(const keyed_record& record)
{
    if (!record.value) {
        return;
    }
    const auto report = store_.read_report(record.key, *record.value);
    if (!report) {
        log_event(log_severity::warning, "report_unreadable",
                  {{"key", record.key}, {"reason", report.error().message}});
        return;
    }
    reports_[report->service] = *report;
    if (rollout_watch* watch = rollout_of(report->service)) {
        watch->take_report(*report);
    }
    log_event(log_severity::info, "rollout_reported",
              {{"service", report->service.value()},
               {"target", report->target.value()},
               {"state", static_cast<int>(report->state)},
               {"offset", record.offset}});
}

void fleet_state::take_evidence_record(const keyed_record& record, steady_time now)
{
    if (!record.value) {
        return;
    }
    const auto evidence = read_evidence(*record.value);
    if (!evidence) {
        log_event(log_severity::warning, "evidence_unreadable",
                  {{"key", record.key}, {"reason", evidence.error().message}});
        return;
    }
    if (rollout_watch* watch = rollout_of(evidence->service)) {
        watch->take_evidence(*evidence, now);
    }
}

void fleet_state::take_server_record(const keyed_record& record, steady_time now)
{
    const server_name name{record.key};
    if (!record.value) {
        directory_.remove(name, now);
        log_event(log_severity::info, "server_entry_gone", {{"server", record.key}, {"offset", record.offset}});
        return;
    }
    const auto server = store_.read_server(record.key, *record.value);
    if (!server) {
        // Whoever wrote it, the entry names no server to use.
        directory_.remove(name, now);
        log_event(log_severity::warning, "server_entry_unreadable",
                  {{"server", record.key}, {"offset", record.offset}, {"reason", server.error().message}});
        return;
    }
    const auto known = directory_.all().find(name);
    const bool news = known == directory_.all().end() || known->second->record.leaving != server->leaving;
    directory_.set(*server, now);
    if (news) {
        log_event(log_severity::info, server->leaving ? "server_leaving" : "server_ready",
                  {{"server", record.key},
                   {"service", server->service.value()},
                   {"version", server->version.value()},
                   {"cold_ms", server->cold_left.count()},
                   {"offset", record.offset}});
    }
}

void fleet_state::tick(steady_time now)
{
    for (const server_name& name : directory_.expire(now)) {
        log_event(log_severity::info, "server_entry_lapsed", {{"server", name.value()}});
    }
}

rollout_watch* fleet_state::rollout_of(const service_name& service)
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

static bool has_version(const fleet_server& server, const server_need& need)
{
    if (need.version == version_choice::any || need.target == nullptr) {
        return true;
    }
    const bool is_target = server.record.version == *need.target;
    return is_target == (need.version != version_choice::others_only);
}

static bool is_eligible(const fleet_state& fleet, const fleet_server& server, const server_need& need)
{
    const server_record& record = server.record;
    if (record.service != *need.service || record.leaving || fleet.is_evacuated(record.zone)) {
        return false;
    }
    if (std::find(need.tried.begin(), need.tried.end(), record.name) != need.tried.end()) {
        return false;
    }
    if (need.model && !record.models.empty() &&
        std::find(record.models.begin(), record.models.end(), *need.model) == record.models.end()) {
        return false;
    }
    return has_version(server, need);
}

std::vector<std::shared_ptr<fleet_server>> eligible_servers(const fleet_state& fleet, const server_need& need,
                                                            steady_time now)
{
    std::vector<std::shared_ptr<fleet_server>> warm;
    std::vector<std::shared_ptr<fleet_server>> cold;
    for (const auto& [name, server] : fleet.directory().all()) {
        if (is_eligible(fleet, *server, need)) {
            (server->cold_until > now ? cold : warm).push_back(server);
        }
    }
    return warm.empty() ? cold : warm;
}

} // namespace agatespar
