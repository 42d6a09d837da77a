// Applies records of the store to the fleet's state, and selects the servers that may run a request.
#include <agatespar/gateway/evidence_record.h>
#include <agatespar/gateway/fleet_state.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

void fleet_state::apply_operator_record(const keyed_record& record, steady_time now)
{
    const operator_key key = store_.read_operator_key(record.key);
    switch (key.what) {
    case operator_key::subject::service_map:
        apply_service_map(record);
        return;
    case operator_key::subject::rollout:
        apply_rollout(key.name, record, now);
        return;
    case operator_key::subject::evacuation:
        apply_evacuation(key.name, record);
        return;
    case operator_key::subject::unknown:
        log_event(log_severity::info, "operator_record_ignored", {{"key", record.key}, {"offset", record.offset}});
        return;
    }
}

void fleet_state::apply_service_map(const keyed_record& record)
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
    // The version in force never decreases while the process runs, in whatever order records are read.
    if (map_ && map->version <= map_->version) {
        return;
    }
    map_ = std::make_shared<const service_map>(std::move(*map));
    log_event(log_severity::info, "configuration_in_force",
              {{"version", map_->version.value()},
               {"offset", record.offset},
               {"routes", static_cast<std::uint64_t>(map_->routes.size())}});
}

void fleet_state::apply_rollout(const std::string& name, const keyed_record& record, steady_time now)
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
        rollouts_.try_emplace(service, *order, rollout_settings_, own_vm_id_, sessions_.list(now), now).first->second;
    if (const auto report = reports_.find(service); report != reports_.end()) {
        watch.apply_report(report->second);
    }
    log_event(log_severity::info, "rollout_ordered",
              {{"service", name}, {"target", order->target.value()}, {"offset", record.offset}});
}

void fleet_state::apply_evacuation(const std::string& name, const keyed_record& record)
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

void fleet_state::apply_report_record(const keyed_record& record)
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
        watch->apply_report(*report);
    }
    log_event(log_severity::info, "rollout_reported",
              {{"service", report->service.value()},
               {"target", report->target.value()},
               {"state", static_cast<int>(report->state)},
               {"offset", record.offset}});
}

void fleet_state::apply_evidence_record(const keyed_record& record, steady_time now)
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
        watch->apply_evidence(*evidence, now);
    }
}

void fleet_state::apply_server_record(const keyed_record& record, steady_time now)
{
    const server_name name{record.key};
    if (!record.value) {
        directory_.remove(name, now);
        log_event(log_severity::info, "server_entry_gone", {{"server", record.key}, {"offset", record.offset}});
        return;
    }
    const auto server = store_.read_server(record.key, *record.value);
    if (!server) {
        // Without a readable entry, the server can't be used.
        directory_.remove(name, now);
        log_event(log_severity::warning, "server_entry_unreadable",
                  {{"server", record.key}, {"offset", record.offset}, {"reason", server.error().message}});
        return;
    }
    const auto known = directory_.all().find(name);
    const bool has_new_state = known == directory_.all().end() || known->second->record.leaving != server->leaving;
    directory_.set(*server, now);
    if (has_new_state) {
        log_event(log_severity::info, server->leaving ? "server_leaving" : "server_ready",
                  {{"server", record.key},
                   {"service", server->service.value()},
                   {"version", server->version.value()},
                   {"cold_ms", server->remaining_cold_time.count()},
                   {"offset", record.offset}});
    }
}

void fleet_state::note_says_leaving(const fleet_server& server, const request_id& request)
{
    if (directory_.note_says_leaving(server.record)) {
        log_event(log_severity::info, "server_says_leaving",
                  {{"server", server.record.name.value()},
                   {"service", server.record.service.value()},
                   {"started", server.record.started_unix_ms},
                   {"request", request.value()}});
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

static bool matches_version(const fleet_server& server, const server_criteria& criteria)
{
    if (criteria.version == version_choice::any || criteria.target == nullptr) {
        return true;
    }
    const bool is_target = server.record.version == *criteria.target;
    return is_target == (criteria.version != version_choice::others_only);
}

static bool is_eligible(const fleet_state& fleet, const fleet_server& server, const server_criteria& criteria)
{
    const server_record& record = server.record;
    if (record.service != *criteria.service || !accepts_requests(server) || fleet.is_evacuated(record.zone)) {
        return false;
    }
    if (std::find(criteria.tried.begin(), criteria.tried.end(), record.name) != criteria.tried.end()) {
        return false;
    }
    if (criteria.model && !record.models.empty() &&
        std::find(record.models.begin(), record.models.end(), *criteria.model) == record.models.end()) {
        return false;
    }
    return matches_version(server, criteria);
}

std::vector<std::shared_ptr<fleet_server>> eligible_servers(const fleet_state& fleet, const server_criteria& criteria,
                                                            steady_time now)
{
    std::vector<std::shared_ptr<fleet_server>> warm;
    std::vector<std::shared_ptr<fleet_server>> cold;
    for (const auto& [name, server] : fleet.directory().all()) {
        if (is_eligible(fleet, *server, criteria)) {
            (server->cold_until > now ? cold : warm).push_back(server);
        }
    }
    return warm.empty() ? cold : warm;
}

} // namespace agatespar
