// Which zones are preferred while some of them can't be reached.
#include <agatespar/routing/zone_reachability.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a zone whose servers fail one after the other is avoided as a whole, until one of them answers")
{
    // Failure: a zone is cut off by a network partition, and each of its servers would cost a request the connection
    // time-out.
    manual_clock time;
    zone_reachability zones;
    const zone_name zone{"z"};
    zones.note_unreachable(zone, server_name{"a"}, time.now());
    zones.note_unreachable(zone, server_name{"a"}, time.now());
    CHECK(!zones.is_avoided(zone, time.now()));
    zones.note_unreachable(zone, server_name{"b"}, time.now());
    CHECK(zones.is_avoided(zone, time.now()));
    CHECK(!zones.is_avoided(zone_name{"other"}, time.now()));
    WHEN("one of them answers")
    {
        zones.note_reached(zone);
        CHECK(!zones.is_avoided(zone, time.now()));
    }
    WHEN("time passes without a probe, a request may detect whether the partition has ended")
    {
        time.advance(2s);
        CHECK(!zones.is_avoided(zone, time.now()));
    }
    WHEN("one more server fails after the first failures are old")
    {
        // Load: few requests a second on each of many VMs, so that failures of one VM are far apart.
        time.advance(1400ms);
        zones.note_unreachable(zone, server_name{"c"}, time.now());
        time.advance(1400ms);
        CHECK(zones.is_avoided(zone, time.now()));
    }
}

SCENARIO("an avoided zone is probed, and stays avoided for as long as probes fail")
{
    // Failure: during a partition of some seconds, each request that tries the zone again loses the time of several
    // connection attempts, and has none left for the zones that can be reached.
    manual_clock time;
    zone_reachability zones;
    const zone_name zone{"z"};
    CHECK(zones.take_due_probes(time.now()).empty());
    zones.note_unreachable(zone, server_name{"a"}, time.now());
    CHECK(zones.take_due_probes(time.now()).empty());
    time.advance(1s);
    zones.note_unreachable(zone, server_name{"b"}, time.now());
    CHECK(zones.take_due_probes(time.now()) == std::vector{zone});
    CHECK(zones.take_due_probes(time.now()).empty());
    for (int probe = 0; probe < 20; ++probe) {
        time.advance(500ms);
        REQUIRE(zones.is_avoided(zone, time.now()));
        REQUIRE(zones.is_unreachable(zone, time.now()) == (probe > 0));
        REQUIRE(zones.take_due_probes(time.now()) == std::vector{zone});
        zones.note_probe_failed(zone, time.now());
    }
    WHEN("a probe is answered")
    {
        zones.note_reached(zone);
        CHECK(!zones.is_avoided(zone, time.now()));
        THEN("a probe that failed before does not count")
        {
            zones.note_probe_failed(zone, time.now());
            CHECK(!zones.is_avoided(zone, time.now()));
        }
    }
    WHEN("the zone has no server left to probe")
    {
        time.advance(1600ms);
        CHECK(!zones.is_avoided(zone, time.now()));
        THEN("later failures need a probe of their own before the zone counts as unreachable")
        {
            zones.note_unreachable(zone, server_name{"a"}, time.now());
            zones.note_unreachable(zone, server_name{"b"}, time.now());
            CHECK(zones.is_avoided(zone, time.now()));
            CHECK(!zones.is_unreachable(zone, time.now()));
        }
    }
}
