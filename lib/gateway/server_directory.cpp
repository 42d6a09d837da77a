// Keeps the servers, their load as far as it is known, and how sound they look.
#include <agatespar/gateway/server_directory.h>

#include <algorithm>

namespace agatespar {

// A server that failed is avoided for this, doubled with each further failure in a row: a crashed one is back after
// some seconds, and a single broken connection should cost little.
static constexpr std::chrono::milliseconds first_avoidance{150};
static constexpr std::uint32_t most_doublings = 4;
// A cold server takes one request at once, even at rates far below one a second.
static constexpr double most_cold_tokens = 1;

std::uint32_t estimated_load(const fleet_server& server)
{
    const std::uint32_t reported = server.reported.running + server.reported.waiting;
    const std::uint32_t others = reported > server.in_flight_at_report ? reported - server.in_flight_at_report : 0;
    return others + server.in_flight;
}

void server_directory::set(const server_record& record, steady_time now)
{
    lapsing_.erase(record.name);
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
    for (const auto& [name, until] : lapsing_) {
        if (until <= now) {
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

bool take_cold_token(fleet_server& server, double rate, steady_time now)
{
    const double elapsed = std::chrono::duration<double>(now - server.cold_refilled).count();
    server.cold_tokens = std::min(most_cold_tokens, server.cold_tokens + elapsed * rate);
    server.cold_refilled = now;
    if (server.cold_tokens < 1) {
        return false;
    }
    server.cold_tokens -= 1;
    return true;
}

} // namespace agatespar
