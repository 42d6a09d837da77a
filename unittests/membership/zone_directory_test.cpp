// Tests of the exchange of summaries between zones.
#include "zone_fixture.h"

#include <agatespar/membership/zone_directory.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a zone's summary reaches every VM of another zone")
{
    zone_fixture zone{20, 11};
    zone.advance(10s);
    std::map<vm_address, zone_directory> directories;
    for (const auto& [address, member] : zone.members) {
        zone_directory& directory =
            directories.emplace(address, zone_directory{{zone_name{"osijek-a"}, region_name{"slavonia"}}, 5})
                .first->second;
        directory.set_listed({{zone_name{"vinkovci"}, {vm_address{"far1"}, vm_address{"far2"}}}});
    }
    const auto spread_items = [&] {
        for (auto& [address, member] : zone.members) {
            for (const auto& event : std::exchange(member.events, {})) {
                if (event.kind == membership_event_kind::item) {
                    directories.at(address).on_item(event.item, zone.now);
                }
            }
        }
    };
    THEN("only the two delegates send, to the listed addresses of the other zone")
    {
        std::vector<outgoing_message> sent;
        for (auto& [address, directory] : directories) {
            for (const auto& message : directory.tick(*zone.at(address.value()).node, zone.now, wall_time{1h})) {
                sent.push_back(message);
            }
        }
        REQUIRE(sent.size() == 2);
        CHECK(decode<zone_summary_message>(sent[0].payload)->live_members == 20);
        CHECK(sent[0].to.value().substr(0, 3) == "far");
    }
    WHEN("one VM receives a summary of the other zone")
    {
        zone_summary_message summary;
        summary.zone = zone_name{"vinkovci"};
        summary.version = 1000;
        summary.config = config_number{9};
        summary.entries = {vm_address{"far3"}};
        directories.at(vm_address{"vm4"}).on_message(encode(summary), *zone.at("vm4").node, zone.now);
        zone.advance(6s);
        spread_items();
        THEN("all VMs know the zone, and consider it unreachable after a minute without a summary")
        {
            for (const auto& [address, directory] : directories) {
                const auto zones = directory.zones(zone.now);
                REQUIRE(zones.size() == 1);
                CHECK(zones.begin()->second.summary.config == config_number{9});
                CHECK(zones.begin()->second.reachable);
                CHECK_FALSE(directory.zones(zone.now + 60s).begin()->second.reachable);
            }
        }
        THEN("an older summary is ignored, and a malformed one is counted")
        {
            zone_directory& directory = directories.at(vm_address{"vm4"});
            summary.version = 900;
            summary.config = config_number{8};
            directory.on_message(encode(summary), *zone.at("vm4").node, zone.now);
            directory.on_message("garbage", *zone.at("vm4").node, zone.now);
            CHECK(directory.zones(zone.now).begin()->second.summary.config == config_number{9});
            CHECK(directory.refused() == 1);
        }
    }
}
