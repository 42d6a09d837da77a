// Chooses another zone by the zones' summaries.
#include "zone_choice.h"

#include <agatespar/routing/view.h>

namespace agatespar {

// The one-way network latency at which a zone has half the weight of a zone without latency.
static constexpr double half_weight_latency_ms = 5;

static double weight_of(const zone_view& zone, std::size_t version)
{
    return zone.free_slots[version] / (1 + zone.one_way_ms / half_weight_latency_ms);
}

static bool usable(const routing_view& view, std::size_t zone)
{
    return zone != view.own_zone.value() && view.zones[zone].in_service && view.zones[zone].reachable;
}

std::optional<zone_candidate> choose_zone(const routing_view& view, const version_set& versions,
                                          std::mt19937_64& random)
{
    double total = 0;
    std::optional<zone_candidate> chosen;
    for (std::size_t zone = 0; zone < view.zones.size(); ++zone) {
        for (std::size_t version = 0; usable(view, zone) && version < view.versions.size(); ++version) {
            const double weight = versions[version] ? weight_of(view.zones[zone], version) : 0;
            if (weight <= 0)
                continue;
            total += weight;
            // Weighted reservoir sampling: each item replaces the choice with the probability weight / total so far.
            if (std::uniform_real_distribution<double>{0, total}(random) < weight)
                chosen = {zone_index{static_cast<std::uint8_t>(zone)},
                          version_index{static_cast<std::uint8_t>(version)}};
        }
    }
    return chosen;
}

} // namespace agatespar
