// Checks over thousands of random schedules with fixed seeds that a cold server never runs more than its cold limit.
#include "zone_schedule.h"

#include <catch2/catch.hpp>

using namespace agatespar;

static schedule_result run_all(schedule_settings settings, std::uint64_t schedules)
{
    schedule_result sum;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        settings.seed = seed;
        const schedule_result one = zone_schedule{settings}.run();
        if (one.violations > 0) {
            UNSCOPED_INFO("seed " << seed << ": " << one.violations << " violations, peak " << one.peak_cold);
        }
        sum.violations += one.violations;
        sum.started += one.started;
        sum.refused += one.refused;
        sum.vm_crashes += one.vm_crashes;
        sum.restarts += one.restarts;
        sum.peak_cold = std::max(sum.peak_cold, one.peak_cold);
        sum.peak = std::max(sum.peak, one.peak);
    }
    WARN(schedules << " schedules of " << settings.vms << " VMs: started " << sum.started << ", refused " << sum.refused
                   << ", VM crashes " << sum.vm_crashes << ", restarts " << sum.restarts << ", peak while cold "
                   << sum.peak_cold << ", peak " << sum.peak << ", violations " << sum.violations);
    return sum;
}

SCENARIO("a cold server never runs more requests than its cold limit")
{
    schedule_settings settings;
    GIVEN("8 VMs")
    {
        const schedule_result result = run_all(settings, 2000);
        CHECK(result.violations == 0);
        CHECK(result.vm_crashes > 2000);
        CHECK(result.restarts > 1000);
        CHECK(result.peak == zone_schedule::slots);
    }
    GIVEN("owners that do not wait for the previous owner's permits to expire")
    {
        settings.owner.handover_delay = std::chrono::milliseconds{0};
        THEN("the schedules detect that the limit is exceeded")
        {
            CHECK(run_all(settings, 200).violations > 0);
        }
    }
    GIVEN("68 VMs")
    {
        settings.vms = 68;
        const schedule_result result = run_all(settings, 300);
        CHECK(result.violations == 0);
        CHECK(result.vm_crashes > 200);
        CHECK(result.peak == zone_schedule::slots);
    }
}
