// Taking, asking for and giving back permits.
#include <agatespar/backend/permit_holder.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatespar {

namespace {

// Room for the permits of one server, so that taking one allocates nothing.
constexpr std::size_t reserved_permits = 64;
// Work slower than this is reported one by one rather than counted as good.
constexpr double reported_slowdown = 1.5;
// A permit this close to its end is not taken any more.
constexpr std::chrono::milliseconds use_margin{50};

} // namespace

static double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

static std::uint16_t percent(double slowdown)
{
    return static_cast<std::uint16_t>(std::clamp(slowdown * 100.0, 0.0, 65'535.0));
}

permit_holder::held_server& permit_holder::entry(server_key server)
{
    held_server& held = servers_[server];
    if (held.store.capacity() == 0) {
        held.store.reserve(reserved_permits);
        held.running.reserve(reserved_permits);
    }
    return held;
}

void permit_holder::note_use(held_server& held, steady_time now) const
{
    const double window = seconds(settings_.rate_window);
    const double age = std::max(0.0, seconds(now - held.last_use));
    held.rate_per_second = held.rate_per_second * std::exp(-age / window) + 1.0 / window;
    held.last_use = now;
}

void permit_holder::notice_pause(steady_time now)
{
    const bool paused = last_call_ && now - *last_call_ > settings_.pause_threshold;
    last_call_ = now;
    if (paused) {
        // The owners may have taken this VM for dead.
        void_all();
    }
}

void permit_holder::void_all()
{
    for (auto& [server, held] : servers_) {
        void_permits(held);
    }
}

void permit_holder::void_server(server_key server)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        void_permits(found->second);
    }
}

void permit_holder::void_permits(held_server& held) const
{
    for (const permit& each : held.store) {
        give_back(held, each, {work_result::unused, 1.0});
    }
    held.store.clear();
    for (permit& each : held.running) {
        each.single_use = true;
    }
}

std::uint32_t permit_holder::held(server_key server, steady_time now) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return 0;
    }
    const auto& store = found->second.store;
    return static_cast<std::uint32_t>(std::count_if(
        store.begin(), store.end(), [now](const permit& each) { return now + use_margin < each.usable_until; }));
}

std::optional<server_key> permit_holder::any_held(steady_time now) const
{
    for (const auto& [server, each] : servers_) {
        if (!each.store.empty() && held(server, now) > 0) {
            return server;
        }
    }
    return std::nullopt;
}

std::optional<permit> permit_holder::try_acquire(server_key server, boot_id owner, steady_time now)
{
    notice_pause(now);
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return std::nullopt;
    }
    held_server& held = found->second;
    const auto usable = std::find_if(held.store.rbegin(), held.store.rend(), [&](const permit& each) {
        return each.owner == owner && now + use_margin < each.usable_until;
    });
    if (usable == held.store.rend()) {
        return std::nullopt;
    }
    const permit taken = *usable;
    held.store.erase(std::next(usable).base());
    held.running.push_back(taken);
    note_use(held, now);
    ++counters_.acquired_from_store;
    return taken;
}

std::uint32_t permit_holder::store_shortfall(const held_server& held, steady_time now) const
{
    if (held.single_use) {
        return 0;
    }
    const double rate = held.rate_per_second * std::exp(-seconds(now - held.last_use) / seconds(settings_.rate_window));
    const auto wanted =
        std::min(settings_.max_store, static_cast<std::uint32_t>(rate * seconds(settings_.store_horizon)));
    const auto have = static_cast<std::uint32_t>(held.store.size());
    return wanted > have ? wanted - have : 0;
}

void permit_holder::request_permit(server_key server, boot_id owner, bool alone, steady_time now,
                                   permit_callback callback)
{
    held_server& held = entry(server);
    note_use(held, now);
    permit_request_message request;
    request.needed = 1;
    request.alone = alone;
    request.extra = alone ? 0 : static_cast<std::uint8_t>(store_shortfall(held, now));
    ask(server, held, owner, std::move(request), now, std::move(callback));
}

void permit_holder::refill(server_key server, boot_id owner, steady_time now)
{
    held_server& held = entry(server);
    const std::uint32_t shortfall = store_shortfall(held, now);
    // Refilling at half saves every second message.
    if (shortfall == 0 || shortfall <= held.store.size() || !held.asked.empty()) {
        return;
    }
    permit_request_message request;
    request.extra = static_cast<std::uint8_t>(shortfall);
    ask(server, held, owner, std::move(request), now, nullptr);
}

void permit_holder::ask(server_key server, held_server& held, boot_id owner, permit_request_message request,
                        steady_time now, permit_callback callback)
{
    request.server = server;
    request.round = ++last_round_;
    std::erase_if(held.finished, [&](const finished_by_owner& each) {
        if (each.owner != owner) {
            return false;
        }
        request.finished.push_back(each.finished);
        return true;
    });
    held.asked.push_back({request.round, now, std::move(callback)});
    send_(owner, message_kind::permit_request, encode(request));
}

void permit_holder::give_back(held_server& held, const permit& given, const permit_result& result) const
{
    held.finished.push_back({given.owner, {given.number, result.result, percent(result.slowdown), given.good_uses}});
}

void permit_holder::release(const permit& used, const permit_result& result, bool reusable, steady_time now)
{
    notice_pause(now);
    held_server& held = entry(used.server);
    const auto same = [&used](const permit& each) { return each.number == used.number && each.owner == used.owner; };
    const auto found = std::find_if(held.running.begin(), held.running.end(), same);
    if (found == held.running.end()) {
        return;
    }
    permit given = *found;
    held.running.erase(found);
    const bool fine = result.result == work_result::unused ||
                      (result.result == work_result::good && result.slowdown < reported_slowdown);
    if (fine && reusable && !given.single_use && !given.alone && given.good_uses < settings_.max_uses) {
        given.good_uses = static_cast<std::uint16_t>(given.good_uses + (result.result == work_result::good ? 1 : 0));
        // Work that ran tells that the server is up, so that the permit may serve once more.
        given.usable_until = result.result == work_result::good ? now + settings_.reuse_time : given.usable_until;
        held.store.push_back(given);
        return;
    }
    give_back(held, given, result);
    const bool server_down = result.result == work_result::refused || result.result == work_result::broken;
    if (server_down) {
        drop_store(held, used.owner);
        end_reuse(held, used.owner);
    }
    if (server_down || given.single_use || given.alone) {
        flush(used.server, held);
    }
}

void permit_holder::drop_store(held_server& held, boot_id owner) const
{
    std::erase_if(held.store, [&](const permit& each) {
        if (each.owner == owner) {
            give_back(held, each, {work_result::unused, 1.0});
        }
        return each.owner == owner;
    });
}

void permit_holder::end_reuse(held_server& held, boot_id owner)
{
    for (permit& each : held.running) {
        each.single_use = each.single_use || each.owner == owner;
    }
}

void permit_holder::drop_lapsed(held_server& held, steady_time now)
{
    std::erase_if(held.store, [&](const permit& each) {
        const bool lapsed = now + use_margin >= each.usable_until;
        if (lapsed) {
            ++counters_.lapsed_unused;
            give_back(held, each, {work_result::unused, 1.0});
        }
        return lapsed;
    });
}

void permit_holder::flush(server_key server, held_server& held)
{
    while (!held.finished.empty()) {
        const boot_id owner = held.finished.front().owner;
        permit_release_message release;
        release.server = server;
        std::erase_if(held.finished, [&](const finished_by_owner& each) {
            if (each.owner != owner) {
                return false;
            }
            release.finished.push_back(each.finished);
            return true;
        });
        send_(owner, message_kind::permit_release, encode(release));
    }
}

} // namespace agatespar
