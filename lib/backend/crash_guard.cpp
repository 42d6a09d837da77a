// Counts the crashes (strikes) attributed to each request and exchanges the counts as gossip items.
#include <agatespar/backend/crash_guard.h>
#include <agatespar/wire/codec.h>

#include <algorithm>

namespace agatespar {

namespace {

constexpr std::uint8_t guilty_strikes = 2;

} // namespace

static crash_verdict verdict_for_strikes(std::uint8_t strikes)
{
    if (strikes == 0) {
        return crash_verdict::clear;
    }
    return strikes < guilty_strikes ? crash_verdict::suspect : crash_verdict::guilty;
}

crash_verdict crash_guard::verdict(request_fingerprint request, steady_time now) const
{
    const auto found = entries_.find(request);
    const bool holds = found != entries_.end() && now < found->second.expires;
    return holds ? verdict_for_strikes(found->second.strikes) : crash_verdict::clear;
}

crash_guard::entry* crash_guard::find(request_fingerprint request, steady_time now)
{
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return nullptr;
    }
    if (now >= found->second.expires) {
        found->second.strikes = 0;
    }
    return &found->second;
}

crash_guard::entry& crash_guard::insert_entry(request_fingerprint request)
{
    if (entries_.size() >= settings_.max_verdicts) {
        const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
            return left.second.expires < right.second.expires;
        });
        entries_.erase(oldest);
    }
    return entries_[request];
}

crash_notice crash_guard::on_crash(request_fingerprint request, bool alone, steady_time now, wall_time wall_now)
{
    entry* held = find(request, now);
    if (held == nullptr) {
        held = &insert_entry(request);
    }
    // If no other request was running, this one is the only possible cause.
    held->strikes =
        alone ? guilty_strikes : static_cast<std::uint8_t>(std::min<int>(held->strikes + 1, guilty_strikes));
    // VMs that record a crash of the same request concurrently may produce the same version; on_item() then keeps the
    // higher number of strikes.
    held->version += 1;
    held->expires = now + settings_.verdict_lifetime;
    return {make_item(request, *held, wall_now), verdict_for_strikes(held->strikes), settings_.answer_delay};
}

std::optional<gossip_item> crash_guard::on_completed_alone(request_fingerprint request, steady_time now,
                                                           wall_time wall_now)
{
    entry* held = find(request, now);
    if (held == nullptr || verdict_for_strikes(held->strikes) != crash_verdict::suspect) {
        return std::nullopt;
    }
    held->strikes = 0;
    held->version += 1;
    return make_item(request, *held, wall_now);
}

bool crash_guard::on_item(const gossip_item& item, steady_time now)
{
    const auto request = decode<request_fingerprint>(item.name);
    const auto strikes = decode<std::uint8_t>(item.bytes);
    if (!request || !strikes) {
        return false;
    }
    entry* held = find(*request, now);
    if (held == nullptr) {
        held = &insert_entry(*request);
    }
    if (item.version >= held->version) {
        const bool same = item.version == held->version;
        held->strikes = same ? std::max(held->strikes, *strikes) : *strikes;
        held->version = item.version;
        held->expires = now + settings_.verdict_lifetime;
    }
    return true;
}

gossip_item crash_guard::make_item(request_fingerprint request, const entry& held, wall_time wall_now) const
{
    const auto expires = (wall_now + settings_.verdict_lifetime).time_since_epoch();
    return {gossip_kind::quarantine_verdict, encode(request), held.version,
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(expires).count()),
            encode(held.strikes)};
}

} // namespace agatespar
