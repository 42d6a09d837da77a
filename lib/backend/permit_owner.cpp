// Grants permits: takeover of servers, the limit that applies now, and the answer to a permit request.
#include <agatespar/backend/permit_owner.h>

#include <algorithm>
#include <set>
#include <utility>

namespace agatespar {

void permit_owner::set_owned(std::span<const backend_server> servers, steady_time now)
{
    restart_after_pause(now);
    std::set<server_key> keys;
    for (const backend_server& server : servers) {
        keys.insert(server.key);
        const auto [entry, is_new] = servers_.try_emplace(server.key);
        owned_server& owned = entry->second;
        if (is_new || !owned.owned || owned.server.cold_slots != server.cold_slots ||
            owned.server.slots != server.slots) {
            const std::optional<server_start_id> start = owned.limit.start;
            owned.limit = make_cold_limit(server.cold_slots, server.slots);
            owned.limit.start = start;
        }
        owned.revoke = owned.revoke || (server.leaving && !owned.server.leaving);
        owned.server = server;
        if (is_new || !owned.owned) {
            owned.owned = true;
            start_takeover(owned, now);
        }
    }
    for (auto& [key, owned] : servers_) {
        owned.owned = keys.count(key) > 0;
    }
}

void permit_owner::set_zone_state(bool in_service, bool majority, steady_time now)
{
    restart_after_pause(now);
    const bool closed = in_service_ && !in_service;
    in_service_ = in_service;
    majority_ = majority;
    for (auto& [key, owned] : servers_) {
        owned.revoke = owned.revoke || closed;
    }
}

void permit_owner::hint_limit(server_key server, std::uint32_t earlier, std::uint16_t start_tag)
{
    const auto found = servers_.find(server);
    if (found != servers_.end() && found->second.awaits_report) {
        found->second.hinted_limit = earlier;
        found->second.hinted_tag = start_tag;
    }
}

void permit_owner::restart_after_pause(steady_time now)
{
    const bool paused = last_call_ && now - *last_call_ > settings_.pause_threshold;
    last_call_ = now;
    if (!paused) {
        return;
    }
    restart_takeovers(now);
}

void permit_owner::restart_takeovers(steady_time now)
{
    for (auto& [key, owned] : servers_) {
        start_takeover(owned, now);
    }
}

void permit_owner::start_takeover(owned_server& owned, steady_time now)
{
    ++counters_.takeovers;
    // Permits granted before the takeover still count, because their holders may not know of the change of owner yet.
    owned.reserved_for.reset();
    owned.recent_ends.clear();
    owned.unknown_work = 0;
    owned.excess = 0;
    owned.awaits_report = true;
    owned.grants_from = now + settings_.handover_delay;
    owned.unknown_from = owned.grants_from;
    // A report sampled earlier would not show what the server runs at the end of the handover wait.
    owned.next_poll = owned.grants_from;
    owned.next_audit = now + settings_.audit_interval;
}

std::uint32_t permit_owner::in_force(const owned_server& owned)
{
    return static_cast<std::uint32_t>(owned.grants.size()) + std::max(owned.unknown_work, owned.excess);
}

std::uint32_t permit_owner::current_limit(const owned_server& owned, steady_time now) const
{
    const std::uint32_t cold = owned.limit.cold_slots;
    if (!majority_) {
        // During a network partition the other side may grant permits too, and a cold server can't handle the sum of
        // both.
        return owned.limit.warm ? cold : 0;
    }
    const bool report_valid = owned.sampled && now - *owned.sampled <= settings_.report_validity;
    const std::uint32_t allowed = allowed_work(owned.limit);
    return report_valid ? allowed : std::min(allowed, cold);
}

permit_verdict permit_owner::current_verdict(const owned_server& owned, steady_time now) const
{
    if (!in_service_ || owned.server.leaving || owned.reported_leaving) {
        return permit_verdict::closed;
    }
    if (now < owned.grants_from || owned.awaits_report) {
        return permit_verdict::not_owner;
    }
    return owned.reachable ? permit_verdict::granted : permit_verdict::closed;
}

permit_grant_message permit_owner::make_message(const owned_server& owned, permit_verdict verdict,
                                                steady_time now) const
{
    permit_grant_message message;
    message.server = owned.server.key;
    message.verdict = verdict;
    message.limit = static_cast<std::uint16_t>(current_limit(owned, now));
    message.in_force = static_cast<std::uint16_t>(in_force(owned));
    return message;
}

std::uint32_t permit_owner::grantable(owned_server& owned, boot_id holder, const permit_request_message& request,
                                      steady_time now)
{
    if (owned.reserved_for && now >= owned.reserved_until) {
        owned.reserved_for.reset();
    }
    const std::uint32_t limit = current_limit(owned, now);
    const std::uint32_t used = in_force(owned);
    const bool reserved_for_other = owned.reserved_for && (*owned.reserved_for != holder || !request.alone);
    if (owned.alone || reserved_for_other || limit == 0) {
        return 0;
    }
    if (request.alone) {
        if (used == 0) {
            owned.reserved_for.reset();
            return 1;
        }
        owned.reserved_for = holder;
        owned.reserved_until = now + settings_.alone_reservation;
        return 0;
    }
    if (used >= limit) {
        return 0;
    }
    const std::uint32_t needed = std::min<std::uint32_t>(request.needed, limit - used);
    const auto extra_limit = static_cast<std::uint32_t>(settings_.extra_fraction * limit);
    if (!owned.limit.warm || used + needed >= extra_limit) {
        return needed;
    }
    return needed + std::min<std::uint32_t>(request.extra, extra_limit - used - needed);
}

permit_grant_message permit_owner::on_request(boot_id holder, const permit_request_message& request, steady_time now)
{
    restart_after_pause(now);
    const auto found = servers_.find(request.server);
    if (found == servers_.end() || !found->second.owned) {
        ++counters_.refused_not_owner;
        permit_grant_message message;
        message.server = request.server;
        message.round = request.round;
        message.verdict = permit_verdict::not_owner;
        return message;
    }
    owned_server& owned = found->second;
    return_permits(owned, holder, request.finished, now);
    permit_verdict verdict = current_verdict(owned, now);
    const std::uint32_t count = verdict == permit_verdict::granted ? grantable(owned, holder, request, now) : 0;
    if (verdict == permit_verdict::granted && count == 0) {
        verdict = permit_verdict::full;
    }
    counters_.refused_full += verdict == permit_verdict::full ? 1 : 0;
    counters_.refused_closed += verdict == permit_verdict::closed ? 1 : 0;
    counters_.refused_not_owner += verdict == permit_verdict::not_owner ? 1 : 0;
    counters_.granted += count;
    const auto lifetime = owned.limit.warm ? settings_.warm_lifetime : settings_.cold_lifetime;
    const permit_number first{last_number_ + 1};
    for (std::uint32_t index = 0; index < count; ++index) {
        owned.grants[permit_number{++last_number_}] =
            grant{holder, now, now + lifetime + settings_.margin, owned.epoch};
    }
    if (request.alone && count > 0) {
        owned.alone = first;
    }
    permit_grant_message message = make_message(owned, verdict, now);
    message.round = request.round;
    message.first = first;
    message.count = static_cast<std::uint8_t>(count);
    message.lifetime_ms = static_cast<std::uint16_t>(lifetime.count());
    message.alone = request.alone;
    // While the limit can still grow, each result must be reported to the owner.
    message.single_use = !owned.limit.warm || allowed_work(owned.limit) < owned.limit.slots;
    return message;
}

std::vector<server_key> permit_owner::take_due_polls(steady_time now)
{
    std::vector<server_key> due;
    for (auto& [key, owned] : servers_) {
        if (owned.owned && now >= owned.next_poll) {
            owned.next_poll = now + settings_.poll_interval;
            due.push_back(key);
        }
    }
    return due;
}

std::vector<owned_server_status> permit_owner::status() const
{
    std::vector<owned_server_status> all;
    all.reserve(servers_.size());
    for (const auto& [key, owned] : servers_) {
        if (owned.owned) {
            all.push_back(*status(key));
        }
    }
    return all;
}

std::optional<owned_server_status> permit_owner::status(server_key server) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || !found->second.owned) {
        return std::nullopt;
    }
    const owned_server& owned = found->second;
    return owned_server_status{server,           allowed_work(owned.limit), in_force(owned),     owned.queued,
                               owned.limit.warm, owned.reachable,           owned.awaits_report, owned.limit.start};
}

} // namespace agatespar
