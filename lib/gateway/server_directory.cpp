// Keeps the servers, their load as far as it is known, and how sound they look.
#include <agatespar/gateway/server_directory.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

// A server that failed is avoided for this, doubled with each further failure in a row: a crashed one is back after
// some seconds, and a single broken connection should cost little.
static constexpr std::chrono::milliseconds first_avoidance{150};
static constexpr std::uint32_t most_doublings = 4;
// Servers of a zone that fail one after the other within this time make the zone suspect, and for this time after the
// last failure: a cut lasts seconds, and a request now and then finds out that it is over.
static constexpr std::chrono::milliseconds zone_memory{1500};
static constexpr std::size_t suspect_servers = 2;
// In this time most requests that a report counted have ended: streams last some seconds.
static constexpr std::chrono::seconds load_memory{4};
// A running request delays a new one's first event by some ten milliseconds, as do this many tokens that are read.
static constexpr double tokens_per_place = 2000;
// A waiting request stands for a prompt of common length; a report says nothing of it after the time to read some.
static constexpr double waiting_weight = 2;
static constexpr std::chrono::milliseconds report_memory{1500};
// One in this many servers must have gone at once for an outage to explain it.
static constexpr std::size_t lapsed_part = 4;
// VMs that may save a turn for as long as it takes: a dozen requests at once are within what the operators allow beyond
// a cold server's rate of ten or so.
static constexpr double few_vms = 16;
// Others lose a turn after this: the turns of two seconds are within the operators' one and a half times the rate and
// five.
static constexpr std::chrono::milliseconds turn_time{1000};

std::uint32_t estimated_load(const fleet_server& server, steady_time now)
{
    const std::uint32_t reported = server.reported.running + server.reported.waiting;
    const std::uint32_t others = reported > server.in_flight_at_report ? reported - server.in_flight_at_report : 0;
    const double age = std::chrono::duration<double>(now - server.reported_at) / load_memory;
    return static_cast<std::uint32_t>(others * std::clamp(1 - age, 0.0, 1.0)) + server.in_flight;
}

double estimated_backlog(const fleet_server& server, steady_time now)
{
    const double own = static_cast<double>(server.unread_tokens) / tokens_per_place;
    // Whoever waits at a server that does not lack places waits for prompts to be read.
    const bool fresh = now - server.reported_at < report_memory;
    return own + (fresh ? waiting_weight * server.reported.waiting : 0);
}

void server_directory::set(const server_record& record, steady_time now)
{
    lapsing_.erase(record.name);
    // A store that took this had not just come back from an outage of its own, or its outage is over for all: what is
    // removed from here on has left.
    store_back_at_.reset();
    auto& known = servers_[record.name];
    const bool same = known && known->record.born == record.born && known->record.address == record.address &&
                      known->record.service == record.service;
    if (!same) {
        if (known) {
            known->gone = true;
        }
        known = std::make_shared<fleet_server>();
        known->cold_refilled = now;
    }
    if (record.cold_left.count() > 0 && known->cold_until <= now) {
        // Nothing is saved up while it is warm: hundreds of VMs would spend it in the same second. Their turns begin at
        // different places, as one of them may have none in all the time that the server is cold.
        known->cold_turns = cold_place_(record);
        known->cold_refilled = now;
    }
    known->record = record;
    known->cold_until = now + record.cold_left;
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
    found->second->gone = true;
    servers_.erase(found);
}

void server_directory::note_store_back(steady_time now)
{
    if (store_lost_at_ && now - *store_lost_at_ >= settings_.least_outage) {
        store_back_at_ = now;
    }
    store_lost_at_.reset();
}

std::vector<server_name> server_directory::expire(steady_time now)
{
    std::vector<server_name> expired;
    // An outage makes the entries of all servers lapse; a few that went have left while only this VM was turned away.
    const bool many = lapsing_.size() * lapsed_part >= servers_.size();
    for (const auto& [name, until] : lapsing_) {
        if (until <= now || !many) {
            expired.push_back(name);
        }
    }
    for (const server_name& name : expired) {
        lapsing_.erase(name);
        if (const auto found = servers_.find(name); found != servers_.end()) {
            found->second->gone = true;
            servers_.erase(found);
        }
    }
    return expired;
}

bool server_directory::serves(const service_name& service, const version_name& version) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        const server_record& record = entry.second->record;
        return record.service == service && record.version == version && !record.leaving;
    });
}

void zone_reach::note_unreachable(const fleet_server& server, steady_time now)
{
    auto& failed = zones_[server.record.zone].failed;
    std::erase_if(failed, [now](const auto& entry) { return now - entry.second > zone_memory; });
    failed[server.record.name] = now;
}

void zone_reach::note_reached(const fleet_server& server)
{
    zones_.erase(server.record.zone);
}

bool zone_reach::is_avoided(const zone_name& zone, steady_time now) const
{
    const auto found = zones_.find(zone);
    if (found == zones_.end() || found->second.failed.size() < suspect_servers) {
        return false;
    }
    const auto recent = [now](const auto& entry) { return now - entry.second <= zone_memory; };
    return std::any_of(found->second.failed.begin(), found->second.failed.end(), recent);
}

void note_answer(fleet_server& server, const answer_facts& facts, steady_time now)
{
    if (facts.load) {
        server.reported = *facts.load;
        server.in_flight_at_report = server.in_flight;
        server.reported_at = now;
    }
    server.failures = 0;
    server.avoid_until = {};
}

void note_failure(fleet_server& server, steady_time now)
{
    const auto avoidance = first_avoidance * (1 << std::min(server.failures, most_doublings));
    ++server.failures;
    server.avoid_until = now + avoidance;
}

bool take_cold_turn(fleet_server& server, double rate, double vms, steady_time now)
{
    const double turns_a_second = rate / vms;
    server.cold_turns += std::chrono::duration<double>(now - server.cold_refilled).count() * turns_a_second;
    server.cold_refilled = now;
    if (server.cold_turns < 1) {
        return false;
    }
    // Of those that were not used only the last one counts.
    const double since_turn = std::fmod(server.cold_turns, 1.0);
    server.cold_turns = since_turn;
    return vms <= few_vms || since_turn / turns_a_second <= std::chrono::duration<double>(turn_time).count();
}

} // namespace agatespar
