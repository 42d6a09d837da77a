// Additive increase and multiplicative decrease of the limit, and the reset to the cold limit.
#include <agatespar/backend/server_limit.h>
#include <agatespar/support/hash.h>

#include <algorithm>

namespace agatespar {

server_limit make_cold_limit(std::uint32_t cold_slots, std::uint32_t slots)
{
    server_limit limit;
    limit.cold_slots = std::max(1U, std::min(cold_slots, slots));
    limit.slots = std::max(limit.cold_slots, slots);
    turn_cold(limit);
    return limit;
}

std::uint32_t allowed_work(const server_limit& limit)
{
    return static_cast<std::uint32_t>(limit.limit);
}

void turn_cold(server_limit& limit)
{
    limit.limit = limit.cold_slots;
    limit.warm = false;
    limit.reported_warm = false;
    limit.successes = 0;
    limit.cold_signs_seen = 0;
}

static void apply_success(server_limit& limit, double slowdown, const limit_settings& settings)
{
    if (slowdown > limit.baseline * settings.slow_ratio) {
        limit.limit = std::max<double>(limit.cold_slots, limit.limit * settings.decrease);
        return;
    }
    if (!limit.warm) {
        ++limit.successes;
        const std::uint32_t needed = limit.reported_warm ? settings.warm_after : settings.warm_after_unreported;
        limit.warm = limit.successes >= needed;
        return;
    }
    limit.baseline += settings.baseline_weight * (slowdown - limit.baseline);
    limit.limit = std::min<double>(limit.slots, limit.limit + 1.0);
}

bool apply_result(server_limit& limit, const permit_result& result, const limit_settings& settings)
{
    switch (result.result) {
    case work_result::cancelled:
    case work_result::unused:
        return false;
    case work_result::refused:
    case work_result::broken:
        turn_cold(limit);
        return true;
    case work_result::failed:
        limit.limit = std::max<double>(limit.cold_slots, limit.limit * settings.decrease);
        return false;
    case work_result::good:
        break;
    }
    if (limit.warm && result.slowdown > limit.baseline * settings.cold_ratio) {
        if (++limit.cold_signs_seen >= settings.cold_signs) {
            turn_cold(limit);
            return true;
        }
        return false;
    }
    limit.cold_signs_seen = 0;
    apply_success(limit, result.slowdown, settings);
    return false;
}

bool apply_load_report(server_limit& limit, const load_report& report)
{
    const bool restarted = limit.start && *limit.start != report.start;
    const bool no_longer_warm = limit.warm && limit.reported_warm && !report.warm;
    const bool lost_prefixes =
        limit.warm && limit.had_cached_prefixes && report.cached_prefixes.empty() && !report.warm;
    const bool turned_cold = restarted || no_longer_warm || lost_prefixes;
    if (turned_cold) {
        turn_cold(limit);
    }
    limit.start = report.start;
    limit.reported_warm = report.warm;
    limit.had_cached_prefixes = !report.cached_prefixes.empty();
    return turned_cold;
}

void adopt_limit(server_limit& limit, std::uint32_t earlier, server_start_id start)
{
    if (limit.start != start || !limit.reported_warm) {
        return;
    }
    limit.limit = std::clamp(earlier, limit.cold_slots, limit.slots);
    limit.warm = true;
}

std::uint16_t start_tag_of(server_start_id start)
{
    return static_cast<std::uint16_t>(combine_hashes(start.value(), 0));
}

} // namespace agatespar
