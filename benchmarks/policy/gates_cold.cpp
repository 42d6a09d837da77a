// The gate on cold servers: runs the production code of permit owners and holders under random schedules of faults.
#include "gates.h"

#include <backend/zone_schedule.h>

namespace agatespar::bench {

static constexpr std::uint64_t schedules_with_8_vms = 200;
static constexpr std::uint64_t schedules_with_68_vms = 30;

static gated_figure starts_above_limit(std::size_t vms, std::uint64_t schedules)
{
    gated_figure figure;
    figure.what = "starts above a cold server's limit, " + std::to_string(vms) + " VMs, owners die";
    figure.every_seed = true;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        schedule_settings settings;
        settings.vms = vms;
        settings.seed = seed;
        figure.values.push_back(static_cast<double>(zone_schedule{settings}.run().violations));
    }
    return figure;
}

std::vector<gate> cold_gates()
{
    return {{"cold-servers", [] {
                 return std::vector<gated_figure>{starts_above_limit(8, schedules_with_8_vms),
                                                  starts_above_limit(68, schedules_with_68_vms)};
             }}};
}

} // namespace agatespar::bench
