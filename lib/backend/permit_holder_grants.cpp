// The holder's handling of messages from owners, of expired permits and of overdue requests.
#include <agatespar/backend/permit_holder.h>

#include <algorithm>
#include <utility>

namespace agatespar {

static error denial_error(permit_verdict verdict)
{
    if (verdict == permit_verdict::full) {
        return {error_code::overloaded, "the server is at its limit of running requests", run_state::not_run,
                std::nullopt};
    }
    if (verdict == permit_verdict::closed) {
        return {error_code::unavailable, "the server or its zone accepts no new requests", run_state::not_run,
                std::nullopt};
    }
    return {error_code::unavailable, "the server's owner is changing", run_state::not_run, std::nullopt};
}

bool permit_holder::holds(const held_server& held, const permit& given)
{
    const auto same = [&given](const permit& each) { return each.number == given.number && each.owner == given.owner; };
    return std::any_of(held.running.begin(), held.running.end(), same) ||
           std::any_of(held.store.begin(), held.store.end(), same);
}

void permit_holder::on_grant(boot_id owner, const permit_grant_message& grant, steady_time now)
{
    detect_pause(now);
    const auto known = servers_.find(grant.server);
    held_server* held = known == servers_.end() ? nullptr : &known->second;
    if (grant.verdict == permit_verdict::audit) {
        answer_audit(owner, grant, held);
        return;
    }
    if (held == nullptr) {
        return;
    }
    held->load = granted_load{grant.limit, grant.in_force, now};
    if (grant.verdict == permit_verdict::revoked) {
        return_stored(*held, owner);
        disable_reuse(*held, owner);
        flush(grant.server, *held);
        return;
    }
    const auto pending = std::find_if(held->pending.begin(), held->pending.end(),
                                      [&grant](const pending_round& each) { return each.round == grant.round; });
    pending_round round;
    if (pending != held->pending.end()) {
        round = std::move(*pending);
        held->pending.erase(pending);
    }
    std::vector<permit> permits;
    accept_grant(*held, owner, grant, round, now, permits);
    const bool late = !held->finished.empty() && permits.size() < grant.count;
    if (late) {
        ++counters_.late_grants;
        flush(grant.server, *held);
    }
    if (!round.callback) {
        held->store.insert(held->store.end(), permits.begin(), permits.end());
        return;
    }
    if (permits.empty()) {
        ++counters_.denied;
        round.callback(tl::unexpected<error>{denial_error(late ? permit_verdict::not_owner : grant.verdict)});
        return;
    }
    ++counters_.acquired_by_request;
    held->store.insert(held->store.end(), std::next(permits.begin()), permits.end());
    held->running.push_back(permits.front());
    round.callback(permits.front());
}

void permit_holder::accept_grant(held_server& held, boot_id owner, const permit_grant_message& grant,
                                 const pending_round& pending, steady_time now, std::vector<permit>& permits)
{
    // The owner counts the lifetime from the grant, which follows the sending of the request, so the holder's
    // deadline is the earlier one.
    const steady_time usable_until = pending.sent + std::chrono::milliseconds{grant.lifetime_ms};
    held.single_use = grant.single_use;
    for (std::uint32_t index = 0; index < grant.count; ++index) {
        const permit given{grant.server, owner,       permit_number{grant.first.value() + index},
                           usable_until, grant.alone, grant.single_use};
        if (holds(held, given)) {
            // The grant was delivered twice.
            continue;
        }
        if (pending.round == 0 || now >= usable_until) {
            queue_result(held, given, {work_result::unused, 1.0});
            continue;
        }
        permits.push_back(given);
    }
}

void permit_holder::answer_audit(boot_id owner, const permit_grant_message& audit, held_server* held)
{
    permit_release_message answer;
    answer.server = audit.server;
    answer.audited_to = audit.first;
    if (held != nullptr) {
        flush(audit.server, *held);
        for (const auto* list : {&held->running, &held->store}) {
            for (const permit& each : *list) {
                if (each.owner == owner && each.number <= audit.first) {
                    answer.held.push_back(each.number);
                }
            }
        }
    }
    send_(owner, message_kind::permit_release, encode(answer));
}

void permit_holder::tick(steady_time now)
{
    detect_pause(now);
    std::vector<permit_callback> overdue;
    std::vector<server_key> idle_servers;
    for (auto& [server, held] : servers_) {
        return_expired(held, now);
        flush(server, held);
        std::erase_if(held.pending, [&](pending_round& each) {
            if (now - each.sent < settings_.request_timeout) {
                return false;
            }
            ++counters_.timeouts;
            if (each.callback) {
                overdue.push_back(std::move(each.callback));
            }
            return true;
        });
        const bool idle = held.running.empty() && held.store.empty() && held.pending.empty();
        if (idle && now - held.last_use > settings_.idle_retention) {
            idle_servers.push_back(server);
        }
    }
    for (const server_key server : idle_servers) {
        servers_.erase(server);
    }
    for (const permit_callback& callback : overdue) {
        callback(tl::unexpected<error>{denial_error(permit_verdict::not_owner)});
    }
}

std::optional<granted_load> permit_holder::load_of(server_key server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? std::nullopt : found->second.load;
}

std::size_t permit_holder::running() const
{
    std::size_t count = 0;
    for (const auto& [server, held] : servers_) {
        count += held.running.size();
    }
    return count;
}

} // namespace agatespar
