// Accounting of permits in force: finished work, load reports, holders that are gone, and audits of old permits.
#include <agatespar/backend/permit_owner.h>

#include <algorithm>
#include <set>
#include <utility>

namespace agatespar {

namespace {

// Longer than the age of any valid report, so that each report can be compared with the work that ended since.
constexpr std::chrono::seconds recent_end_retention{10};

} // namespace

void permit_owner::on_report(server_key server, const load_report& report, steady_time polled, steady_time now)
{
    restart_after_pause(now);
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    owned_server& owned = found->second;
    const steady_time sampled = polled - report.age;
    if (owned.sampled && sampled < *owned.sampled) {
        return;
    }
    owned.sampled = sampled;
    owned.reachable = true;
    owned.queued = report.queued;
    owned.revoke = owned.revoke || (report.leaving && !owned.reported_leaving);
    owned.reported_leaving = report.leaving;
    if (apply_load_report(owned.limit, report)) {
        on_turned_cold(owned);
    }
    if (owned.awaits_report && owned.hinted_limit > owned.limit.cold_slots &&
        owned.hinted_tag == start_tag_of(report.start)) {
        adopt_limit(owned.limit, owned.hinted_limit, report.start);
    }
    if (owned.awaits_report && report.warm && sampled >= owned.unknown_from) {
        // A warm server can handle at least the number of requests that it is running now.
        adopt_limit(owned.limit, std::max(report.running, allowed_work(owned.limit)), report.start);
    }
    account_report(owned, report, sampled);
}

void permit_owner::account_report(owned_server& owned, const load_report& report, steady_time sampled)
{
    const std::uint32_t seen = report.running + report.queued;
    if (sampled >= owned.unknown_from) {
        // No other VM has started work under unknown permits since `unknown_from`, so all work permitted by an earlier
        // owner is included in this report.
        owned.unknown_work = owned.awaits_report ? seen : std::min(owned.unknown_work, seen);
        owned.awaits_report = false;
    }
    const auto ended_since = std::count_if(owned.recent_ends.begin(), owned.recent_ends.end(),
                                           [sampled](steady_time end) { return end >= sampled; });
    const auto accounted =
        static_cast<std::uint32_t>(owned.grants.size()) + owned.unknown_work + static_cast<std::uint32_t>(ended_since);
    owned.excess = seen > accounted ? owned.unknown_work + seen - accounted : 0;
}

void permit_owner::on_poll_failed(server_key server, steady_time now)
{
    restart_after_pause(now);
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    owned_server& owned = found->second;
    turn_cold(owned.limit);
    ++owned.epoch;
    if (std::exchange(owned.reachable, false)) {
        ++counters_.turned_cold;
        owned.revoke = true;
    }
}

void permit_owner::on_release(boot_id holder, const permit_release_message& release, steady_time now)
{
    restart_after_pause(now);
    const auto found = servers_.find(release.server);
    if (found == servers_.end()) {
        return;
    }
    owned_server& owned = found->second;
    return_permits(owned, holder, release.finished, now);
    if (release.audited_to.value() == 0) {
        return;
    }
    const std::set<permit_number> held(release.held.begin(), release.held.end());
    counters_.reclaimed += std::erase_if(owned.grants, [&](const auto& granted) {
        return granted.second.holder == holder && granted.first <= release.audited_to &&
               now > granted.second.expires_at && held.count(granted.first) == 0;
    });
    if (owned.alone && owned.grants.count(*owned.alone) == 0) {
        owned.alone.reset();
    }
}

void permit_owner::return_permits(owned_server& owned, boot_id holder, std::span<const finished_permit> finished,
                                  steady_time now)
{
    for (const finished_permit& each : finished) {
        const auto found = owned.grants.find(each.number);
        if (found == owned.grants.end() || found->second.holder != holder) {
            continue;
        }
        const bool of_this_epoch = found->second.epoch == owned.epoch;
        owned.grants.erase(found);
        if (owned.alone == each.number) {
            owned.alone.reset();
        }
        if (each.result != work_result::unused && each.result != work_result::refused) {
            owned.recent_ends.push_back(now);
        }
        if (!of_this_epoch) {
            continue;
        }
        for (std::uint16_t use = 0; use < each.good_uses; ++use) {
            apply_result(owned.limit, permit_result{}, settings_.limits);
        }
        if (apply_result(owned.limit, permit_result{each.result, each.slowdown_percent / 100.0}, settings_.limits)) {
            on_turned_cold(owned);
        }
    }
}

void permit_owner::on_turned_cold(owned_server& owned)
{
    ++counters_.turned_cold;
    ++owned.epoch;
    owned.revoke = true;
    // Poll the server immediately instead of at the end of the interval.
    owned.next_poll = std::min(owned.next_poll, *last_call_);
}

void permit_owner::on_holder_gone(boot_id holder, steady_time now)
{
    restart_after_pause(now);
    for (auto& [key, owned] : servers_) {
        const auto gone =
            std::erase_if(owned.grants, [holder](const auto& granted) { return granted.second.holder == holder; });
        if (gone == 0) {
            continue;
        }
        owned.unknown_work += static_cast<std::uint32_t>(gone);
        owned.unknown_from = std::max(owned.unknown_from, now + settings_.handover_delay);
        if (owned.alone && owned.grants.count(*owned.alone) == 0) {
            owned.alone.reset();
        }
        if (owned.reserved_for == holder) {
            owned.reserved_for.reset();
        }
    }
}

std::vector<owner_notice> permit_owner::tick(steady_time now)
{
    restart_after_pause(now);
    std::vector<owner_notice> notices;
    for (auto& [key, owned] : servers_) {
        std::erase_if(owned.recent_ends, [now](steady_time end) { return now - end > recent_end_retention; });
        expire_unknown_work(owned, now);
        if (owned.revoke) {
            owned.revoke = false;
            revoke_unused(owned, now, notices);
        }
        if (now >= owned.next_audit) {
            audit(owned, now, notices);
        }
    }
    std::erase_if(servers_, [](const auto& each) { return !each.second.owned && each.second.grants.empty(); });
    return notices;
}

void permit_owner::expire_unknown_work(owned_server& owned, steady_time now) const
{
    if (now - owned.unknown_from < settings_.unknown_work_timeout) {
        return;
    }
    // A warm server can handle some excess work if the count is wrong. For a cold server the work counts until a report
    // shows that it ended.
    if (owned.limit.warm) {
        owned.unknown_work = 0;
    }
}

void permit_owner::revoke_unused(owned_server& owned, steady_time now, std::vector<owner_notice>& notices) const
{
    std::set<boot_id> holders;
    for (const auto& [number, granted] : owned.grants) {
        holders.insert(granted.holder);
    }
    for (const boot_id holder : holders) {
        notices.push_back({holder, make_message(owned, permit_verdict::revoked, now)});
    }
}

void permit_owner::audit(owned_server& owned, steady_time now, std::vector<owner_notice>& notices)
{
    const auto interval = owned.limit.warm ? settings_.audit_interval : settings_.cold_audit_interval;
    owned.next_audit = now + interval;
    std::map<boot_id, permit_number> up_to;
    std::set<boot_id> complete;
    bool any_old = false;
    for (const auto& [number, granted] : owned.grants) {
        // A permit whose grant may still be in transit can't be audited, nor can the holder's later permits.
        if (now <= granted.expires_at + settings_.margin) {
            complete.insert(granted.holder);
        }
        if (complete.count(granted.holder) == 0) {
            up_to[granted.holder] = number;
            any_old = any_old || now - granted.issued >= interval;
        }
    }
    if (!any_old) {
        return;
    }
    for (const auto& [holder, number] : up_to) {
        ++counters_.audits;
        permit_grant_message message = make_message(owned, permit_verdict::audit, now);
        message.first = number;
        notices.push_back({holder, message});
    }
}

} // namespace agatespar
