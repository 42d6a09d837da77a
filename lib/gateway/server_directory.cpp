// Tracks the known servers, estimates their load, and decides which ones to avoid after failures.
#include <agatespar/gateway/server_directory.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// How long a server is avoided after a failure, doubled with each consecutive failure: a crashed server is back after
// some seconds, and a single broken connection should cost little.
static constexpr std::chrono::milliseconds initial_avoidance{150};
static constexpr std::uint32_t max_doublings = 4;
// A running request delays the first event of a new one by some ten milliseconds, as does processing this many prompt
// tokens.
static constexpr double tokens_per_running_request = 2000;
// A waiting request stands for a prompt of typical length. Reports older than backlog_report_lifetime are not used for
// the backlog, as some of those prompts have been processed by then.
static constexpr double waiting_weight = 2;
static constexpr std::chrono::milliseconds backlog_report_lifetime{1500};
// A reported slowness is not used after this time: servers share their machines with others, whose load changes within
// seconds.
static constexpr std::chrono::seconds slowness_lifetime{3};
static constexpr double usual_slowness_percent = 100;
// The usual slowness counts as this many reports, so that a single report, which is mostly noise, changes little.
static constexpr double usual_slowness_weight = 1;
// Values outside of this range are taken as its ends, so that one wrong value does not exclude a server for seconds.
static constexpr std::uint32_t min_slowness_percent = 10;
static constexpr std::uint32_t max_slowness_percent = 1000;
// A store outage is taken as the cause of lapsed entries only if at least one in this many servers lapsed.
static constexpr std::size_t lapsed_servers_divisor = 4;
// Up to this many VMs, credits do not expire: a dozen simultaneous requests are within what the operators allow beyond
// a cold server's rate of about ten per second.
static constexpr double max_vms_without_expiry = 16;
// With more VMs, a credit expires after this time: the credits of two seconds stay within the operators' limit of 1.5
// times the rate plus five requests.
static constexpr std::chrono::milliseconds credit_lifetime{1000};

// Servers that have left are remembered until this many others have: more than are in use at a time.
static constexpr std::size_t max_said_leaving = 4096;

/// @return whether two records are of the same start of the same server.
static bool is_same_start(const server_record& one, const server_record& other)
{
    return one.started_unix_ms == other.started_unix_ms && one.address == other.address && one.service == other.service;
}

bool accepts_requests(const fleet_server& server)
{
    return !server.record.leaving && !server.says_leaving;
}

bool has_ended(const fleet_server& server)
{
    switch (server.presence) {
    case directory_presence::listed:
        return false;
    case directory_presence::entry_gone:
        // A server that leaves without saying so has no entry either, and goes on for a while.
        return server.probe_failed_at > server.last_received_at;
    case directory_presence::replaced:
        return true;
    }
    return false;
}

int count_runs(std::span<const std::shared_ptr<fleet_server>> servers)
{
    const auto runs = [](const auto& server) { return !has_ended(*server); };
    return static_cast<int>(std::count_if(servers.begin(), servers.end(), runs));
}

std::uint32_t estimated_load(const fleet_server& server, duration report_lifetime, steady_time now)
{
    const std::uint32_t reported = server.reported.running + server.reported.waiting;
    const std::uint32_t others = reported > server.in_flight_at_report ? reported - server.in_flight_at_report : 0;
    const double age = std::chrono::duration<double>(now - server.reported_at) / report_lifetime;
    return static_cast<std::uint32_t>(others * std::clamp(1 - age, 0.0, 1.0)) + server.in_flight;
}

double estimated_backlog(const fleet_server& server, duration report_lifetime, steady_time now)
{
    const double own = static_cast<double>(server.unread_tokens) / tokens_per_running_request;
    // Requests that wait at a server with free slots wait for prompts to be processed.
    const bool fresh = now - server.reported_at < std::min<duration>(backlog_report_lifetime, report_lifetime);
    return own + (fresh ? waiting_weight * server.reported.waiting : 0);
}

double present_slowness(const fleet_server& server, steady_time now)
{
    const decaying_average& reports = server.slowness_percent;
    if (reports.weight <= 0 || now - reports.updated_at >= slowness_lifetime) {
        return 1;
    }
    return mean_at(reports, usual_slowness_percent, usual_slowness_weight, now) / usual_slowness_percent;
}

void server_directory::set(const server_record& record, steady_time now)
{
    lapsing_.erase(record.name);
    // This record shows that the store works: either the outage was not the store's own, or it is over for all servers.
    // Entries that are removed from here on belong to servers that have stopped.
    store_back_at_.reset();
    auto& known = servers_[record.name];
    if (!known || !is_same_start(known->record, record)) {
        if (known) {
            known->presence = directory_presence::replaced;
        }
        known = std::make_shared<fleet_server>();
        known->cold_credits_updated_at = now;
        const auto left = said_leaving_.find(record.name);
        known->says_leaving = left != said_leaving_.end() && is_same_start(left->second, record);
    }
    if (record.remaining_cold_time.count() > 0 && known->cold_until <= now) {
        // No credits accrue while the server is warm: hundreds of VMs would use them in the same second. The VMs start
        // at different phases, so that their credits are spaced evenly; at a low rate a VM may get none during the
        // whole cold period.
        known->cold_credits = cold_phase_(record);
        known->cold_credits_updated_at = now;
    }
    // A server that is leaving never goes back; an entry that says otherwise is from an older copy of the store.
    const bool was_leaving = known->record.leaving;
    known->record = record;
    known->record.leaving = record.leaving || was_leaving;
    known->cold_until = now + record.remaining_cold_time;
}

void server_directory::remove(const server_name& name, steady_time now)
{
    const auto found = servers_.find(name);
    if (found == servers_.end()) {
        return;
    }
    const bool just_back = store_back_at_ && now - *store_back_at_ < settings_.lapse_grace;
    if (just_back && !found->second->record.leaving) {
        lapsing_.emplace(name, *store_back_at_ + settings_.lapse_grace);
        return;
    }
    found->second->presence = directory_presence::entry_gone;
    servers_.erase(found);
}

bool server_directory::note_says_leaving(const server_record& record)
{
    const auto [left, is_new] = said_leaving_.try_emplace(record.name, record);
    if (!is_new && is_same_start(left->second, record)) {
        return false;
    }
    left->second = record;
    if (is_new) {
        said_leaving_order_.push_back(record.name);
    }
    if (said_leaving_order_.size() > max_said_leaving) {
        said_leaving_.erase(said_leaving_order_.front());
        said_leaving_order_.pop_front();
    }
    if (const auto known = servers_.find(record.name);
        known != servers_.end() && is_same_start(known->second->record, record)) {
        known->second->says_leaving = true;
    }
    return true;
}

void server_directory::note_store_back(steady_time now)
{
    if (store_lost_at_ && now - *store_lost_at_ >= settings_.min_outage) {
        store_back_at_ = now;
    }
    store_lost_at_.reset();
}

std::vector<server_name> server_directory::expire(steady_time now)
{
    std::vector<server_name> expired;
    // A store outage makes the entries of all servers lapse. If only a few lapsed, those servers have stopped while
    // this VM alone could not reach the store.
    const bool many = lapsing_.size() * lapsed_servers_divisor >= servers_.size();
    for (const auto& [name, until] : lapsing_) {
        if (until <= now || !many) {
            expired.push_back(name);
        }
    }
    for (const server_name& name : expired) {
        lapsing_.erase(name);
        if (const auto found = servers_.find(name); found != servers_.end()) {
            found->second->presence = directory_presence::entry_gone;
            servers_.erase(found);
        }
    }
    return expired;
}

bool server_directory::serves(const service_name& service, const version_name& version) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        const server_record& record = entry.second->record;
        return record.service == service && record.version == version && accepts_requests(*entry.second);
    });
}

void note_answer(fleet_server& server, const answer_metadata& metadata, steady_time now)
{
    if (metadata.load) {
        server.reported = *metadata.load;
        server.in_flight_at_report = server.in_flight;
        server.reported_at = now;
        if (const auto slowness = metadata.load->slowness_percent) {
            note_value(server.slowness_percent, std::clamp(*slowness, min_slowness_percent, max_slowness_percent), now);
        }
    }
    server.failures = 0;
    server.avoid_until = {};
}

void note_failure(fleet_server& server, steady_time now)
{
    const auto avoidance = initial_avoidance * (1 << std::min(server.failures, max_doublings));
    ++server.failures;
    server.avoid_until = now + avoidance;
}

bool take_cold_credit(fleet_server& server, double rate, double vms, steady_time now)
{
    const double credits_per_second = rate / vms;
    server.cold_credits +=
        std::chrono::duration<double>(now - server.cold_credits_updated_at).count() * credits_per_second;
    server.cold_credits_updated_at = now;
    if (server.cold_credits < 1) {
        return false;
    }
    // Only the latest of the unused credits counts.
    const double partial_credit = std::fmod(server.cold_credits, 1.0);
    server.cold_credits = partial_credit;
    return vms <= max_vms_without_expiry ||
           partial_credit / credits_per_second <= std::chrono::duration<double>(credit_lifetime).count();
}

} // namespace agatespar
