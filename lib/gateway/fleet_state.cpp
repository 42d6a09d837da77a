// Applies records of the store to the fleet's state, and selects the servers that may run a request.
#include <agatespar/gateway/evidence_record.h>
#include <agatespar/gateway/fleet_state.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

bool are_comparable(const log_position& one, const log_position& other)
{
    return one.era == other.era || one.era == store_era{} || other.era == store_era{};
}

bool precedes(const log_position& one, const log_position& other)
{
    return are_comparable(one, other) && one.offset < other.offset;
}

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
    const auto known = rollouts_.find(service);
    if (!record.value) {
        if (known != rollouts_.end()) {
            retire_unfinished(known->second, nullptr);
            rollouts_.erase(known);
        }
        log_event(log_severity::info, "rollout_withdrawn", {{"service", name}, {"offset", record.offset}});
        return;
    }
    auto order = store_.read_rollout(name, *record.value);
    if (!order) {
        log_event(log_severity::error, "rollout_unreadable", {{"service", name}, {"reason", order.error().message}});
        return;
    }
    order->position = {record.era, record.offset};
    if (known != rollouts_.end()) {
        rollout_watch& watch = known->second;
        const bool is_known = watch.order().target == order->target;
        // A reverted version may be ordered again by a record of its own. The first record that is read after the store
        // was restored is the known order, which the operator may have written again at another offset.
        const log_position known_position = watch.order().position;
        const bool is_same_record =
            !are_comparable(known_position, order->position) || known_position.offset == order->position.offset;
        if (is_known && (watch.state() != rollout_state::reverted || is_same_record)) {
            if (const auto report = reports_.find(service);
                report != reports_.end() && report->second.order_position == known_position) {
                report->second.order_position = order->position;
            }
            watch.set_order_position(order->position);
            return;
        }
        if (!is_known) {
            retire_unfinished(watch, &order->target);
        }
        rollouts_.erase(known);
    }
    start_rollout(*order, now);
    log_event(log_severity::info, "rollout_ordered",
              {{"service", name}, {"target", order->target.value()}, {"offset", record.offset}});
}

void fleet_state::start_rollout(const rollout_order& order, steady_time now)
{
    if (reinstate_version(retired_[order.service], order.target)) {
        log_event(log_severity::info, "version_reinstated",
                  {{"service", order.service.value()}, {"version", order.target.value()}});
    }
    auto& watch = rollouts_.try_emplace(order.service, order, rollout_settings_, own_vm_id_, sessions_.list(now), now)
                      .first->second;
    if (const auto report = reports_.find(order.service);
        report != reports_.end() && report->second.target == order.target) {
        watch.apply_report(report->second);
        // What it retires depends on the order in force: the report may have arrived before the order.
        apply_retired(report->second);
    }
}

void fleet_state::retire(const service_name& service, const version_name& version)
{
    if (retire_version(retired_[service], version)) {
        log_event(log_severity::info, "version_retired", {{"service", service.value()}, {"version", version.value()}});
    }
}

void fleet_state::retire_unfinished(const rollout_watch& ended, const version_name* next)
{
    const rollout_order& order = ended.order();
    if (ended.state() == rollout_state::complete) {
        return;
    }
    if (ended.state() == rollout_state::in_progress && next != nullptr) {
        // Without a server of an older version the roll-out was completed, and this VM has not read the report yet.
        std::set<version_name> serving = serving_versions(order.service);
        serving.erase(order.target);
        serving.erase(*next);
        if (serving.empty()) {
            return;
        }
    }
    retire(order.service, order.target);
}

void fleet_state::apply_retired(const rollout_report& report)
{
    const rollout_watch* watch = rollout_of(report.service);
    const auto retire_unless_ordered = [&](const version_name& version) {
        if (watch == nullptr || watch->order().target != version) {
            retire(report.service, version);
        }
    };
    for (const version_name& version : report.retired) {
        retire_unless_ordered(version);
    }
    if (report.state == rollout_state::reverted) {
        retire_unless_ordered(report.target);
        if (watch != nullptr && watch->state() == rollout_state::reverted) {
            retire(report.service, watch->order().target);
        }
    }
    if (report.state == rollout_state::complete) {
        reinstate_version(retired_[report.service], report.target);
        for (const version_name& version : serving_versions(report.service)) {
            if (version != report.target) {
                retire_unless_ordered(version);
            }
        }
    }
}

std::set<version_name> fleet_state::serving_versions(const service_name& service) const
{
    const auto retired = retired_versions(service);
    std::set<version_name> versions;
    for (const auto& [name, server] : directory_.all()) {
        const server_record& record = server->record;
        if (record.service == service && accepts_requests(*server) && !is_retired(retired, record.version)) {
            versions.insert(record.version);
        }
    }
    return versions;
}

std::span<const version_name> fleet_state::retired_versions(const service_name& service) const
{
    const auto found = retired_.find(service);
    return found == retired_.end() ? std::span<const version_name>{} : found->second;
}

rollout_report fleet_state::with_retired(rollout_report report) const
{
    const auto known = retired_versions(report.service);
    report.retired.assign(known.begin(), known.end());
    if (report.state == rollout_state::complete) {
        for (const version_name& version : serving_versions(report.service)) {
            retire_version(report.retired, version);
        }
        reinstate_version(report.retired, report.target);
    }
    return report;
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
    apply_retired(*report);
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

void fleet_state::note_reports_restored(steady_time now)
{
    for (auto& [service, watch] : rollouts_) {
        watch.note_store_restored(now);
    }
}

rollout_watch* fleet_state::rollout_of(const service_name& service)
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

namespace {

/// A request goes to the first group in which the service has a server that accepts requests.
enum class version_group {
    chosen,
    not_chosen,
    retired,
};

} // namespace

static bool matches_version(const fleet_server& server, const server_criteria& criteria)
{
    if (criteria.version == version_choice::any || criteria.target == nullptr) {
        return true;
    }
    const bool is_target = server.record.version == *criteria.target;
    return is_target == (criteria.version != version_choice::others_only);
}

static bool is_available(const fleet_state& fleet, const fleet_server& server, const server_criteria& criteria)
{
    return server.record.service == *criteria.service && accepts_requests(server) &&
           !fleet.is_evacuated(server.record.zone);
}

static version_group group_of(const fleet_server& server, const server_criteria& criteria,
                              std::span<const version_name> retired)
{
    if (is_retired(retired, server.record.version)) {
        return version_group::retired;
    }
    return matches_version(server, criteria) ? version_group::chosen : version_group::not_chosen;
}

/// @return whether a server that is available has not been tried and has the model.
static bool can_run(const fleet_server& server, const server_criteria& criteria)
{
    const server_record& record = server.record;
    if (std::find(criteria.tried.begin(), criteria.tried.end(), record.name) != criteria.tried.end()) {
        return false;
    }
    if (criteria.model && !record.models.empty() &&
        std::find(record.models.begin(), record.models.end(), *criteria.model) == record.models.end()) {
        return false;
    }
    return true;
}

/// @return the first group in which any server is available, whether or not it was tried.
static version_group first_available_group(const fleet_state& fleet, const server_criteria& criteria)
{
    const auto retired = fleet.retired_versions(*criteria.service);
    version_group first = version_group::retired;
    for (const auto& [name, server] : fleet.directory().all()) {
        if (is_available(fleet, *server, criteria)) {
            first = std::min(first, group_of(*server, criteria, retired));
        }
    }
    return first;
}

static std::vector<std::shared_ptr<fleet_server>>
servers_of_group(const fleet_state& fleet, const server_criteria& criteria, version_group group, steady_time now)
{
    const auto retired = fleet.retired_versions(*criteria.service);
    std::vector<std::shared_ptr<fleet_server>> warm;
    std::vector<std::shared_ptr<fleet_server>> cold;
    for (const auto& [name, server] : fleet.directory().all()) {
        if (is_available(fleet, *server, criteria) && can_run(*server, criteria) &&
            group_of(*server, criteria, retired) == group) {
            (server->cold_until > now ? cold : warm).push_back(server);
        }
    }
    return warm.empty() ? cold : warm;
}

std::vector<std::shared_ptr<fleet_server>> eligible_servers(const fleet_state& fleet, const server_criteria& criteria,
                                                            steady_time now)
{
    auto servers = servers_of_group(fleet, criteria, version_group::chosen, now);
    const bool needs_target =
        criteria.version == version_choice::target_only || criteria.version == version_choice::prefer_target;
    if (!servers.empty() || needs_target) {
        return servers;
    }
    const version_group group = first_available_group(fleet, criteria);
    return group == version_group::chosen ? servers : servers_of_group(fleet, criteria, group, now);
}

} // namespace agatespar
