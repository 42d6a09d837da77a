// Acquires, requests and returns permits.
#include <agatespar/backend/permit_holder.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatespar {

namespace {

// Capacity reserved for the permits of one server, so that acquiring one allocates no memory.
constexpr std::size_t reserved_permits = 64;
// Work with at least this slowdown is reported individually instead of being counted in good_uses.
constexpr double reported_slowdown = 1.5;
// A permit that expires within this time is not used.
constexpr std::chrono::milliseconds expiry_margin{50};

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

void permit_holder::record_use(held_server& held, steady_time now) const
{
    const double window = seconds(settings_.rate_window);
    const double age = std::max(0.0, seconds(now - held.last_use));
    held.rate_per_second = held.rate_per_second * std::exp(-age / window) + 1.0 / window;
    held.last_use = now;
}

void permit_holder::detect_pause(steady_time now)
{
    const bool paused = last_call_ && now - *last_call_ > settings_.pause_threshold;
    last_call_ = now;
    if (paused) {
        // During the pause, the owners may have considered this VM dead.
        invalidate_all();
    }
}

void permit_holder::invalidate_all()
{
    for (auto& [server, held] : servers_) {
        invalidate_permits(held);
    }
}

void permit_holder::invalidate_server(server_key server)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        invalidate_permits(found->second);
    }
}

void permit_holder::invalidate_permits(held_server& held) const
{
    for (const permit& each : held.store) {
        queue_result(held, each, {work_result::unused, 1.0});
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
        store.begin(), store.end(), [now](const permit& each) { return now + expiry_margin < each.usable_until; }));
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
    detect_pause(now);
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return std::nullopt;
    }
    held_server& held = found->second;
    const auto usable = std::find_if(held.store.rbegin(), held.store.rend(), [&](const permit& each) {
        return each.owner == owner && now + expiry_margin < each.usable_until;
    });
    if (usable == held.store.rend()) {
        return std::nullopt;
    }
    const permit taken = *usable;
    held.store.erase(std::next(usable).base());
    held.running.push_back(taken);
    record_use(held, now);
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
    record_use(held, now);
    permit_request_message request;
    request.needed = 1;
    request.alone = alone;
    request.extra = alone ? 0 : static_cast<std::uint8_t>(store_shortfall(held, now));
    send_request(server, held, owner, std::move(request), now, std::move(callback));
}

void permit_holder::refill(server_key server, boot_id owner, steady_time now)
{
    held_server& held = entry(server);
    const std::uint32_t shortfall = store_shortfall(held, now);
    // Refilling only when the store is less than half full saves every second message.
    if (shortfall == 0 || shortfall <= held.store.size() || !held.pending.empty()) {
        return;
    }
    permit_request_message request;
    request.extra = static_cast<std::uint8_t>(shortfall);
    send_request(server, held, owner, std::move(request), now, nullptr);
}

void permit_holder::send_request(server_key server, held_server& held, boot_id owner, permit_request_message request,
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
    held.pending.push_back({request.round, now, std::move(callback)});
    send_(owner, message_kind::permit_request, encode(request));
}

void permit_holder::queue_result(held_server& held, const permit& given, const permit_result& result) const
{
    held.finished.push_back({given.owner, {given.number, result.result, percent(result.slowdown), given.good_uses}});
}

void permit_holder::release(const permit& used, const permit_result& result, bool reusable, steady_time now)
{
    detect_pause(now);
    held_server& held = entry(used.server);
    const auto same = [&used](const permit& each) { return each.number == used.number && each.owner == used.owner; };
    const auto found = std::find_if(held.running.begin(), held.running.end(), same);
    if (found == held.running.end()) {
        return;
    }
    permit given = *found;
    held.running.erase(found);
    const bool result_allows_reuse = result.result == work_result::unused ||
                                     (result.result == work_result::good && result.slowdown < reported_slowdown);
    if (result_allows_reuse && reusable && !given.single_use && !given.alone && given.good_uses < settings_.max_uses) {
        given.good_uses = static_cast<std::uint16_t>(given.good_uses + (result.result == work_result::good ? 1 : 0));
        // Successful work shows that the server is up, so the permit may be reused.
        given.usable_until = result.result == work_result::good ? now + settings_.reuse_timeout : given.usable_until;
        held.store.push_back(given);
        return;
    }
    queue_result(held, given, result);
    const bool server_down = result.result == work_result::refused || result.result == work_result::broken;
    if (server_down) {
        return_stored(held, used.owner);
        disable_reuse(held, used.owner);
    }
    if (server_down || given.single_use || given.alone) {
        flush(used.server, held);
    }
}

void permit_holder::return_stored(held_server& held, boot_id owner) const
{
    std::erase_if(held.store, [&](const permit& each) {
        if (each.owner == owner) {
            queue_result(held, each, {work_result::unused, 1.0});
        }
        return each.owner == owner;
    });
}

void permit_holder::disable_reuse(held_server& held, boot_id owner)
{
    for (permit& each : held.running) {
        each.single_use = each.single_use || each.owner == owner;
    }
}

void permit_holder::return_expired(held_server& held, steady_time now)
{
    std::erase_if(held.store, [&](const permit& each) {
        const bool expired = now + expiry_margin >= each.usable_until;
        if (expired) {
            ++counters_.expired_unused;
            queue_result(held, each, {work_result::unused, 1.0});
        }
        return expired;
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
