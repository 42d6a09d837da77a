// Tests of the views for operators who merge fleets.
#include "sample_patches.h"

#include <agatespar/config/merge_view.h>

#include <catch2/catch.hpp>

using namespace agatespar;

SCENARIO("the merge view lists each name that exists in two fleets")
{
    patch change = two_fleets_patch("p");
    change.operations.emplace_back(put_zone{{fleet_name{"kovacic"}, zone_name{"alone"}}, {region_name{"west"}, true}});
    const configuration config = *apply_patch({}, change);
    std::string kinds;
    for (const name_clash& clash : find_clashes(config)) {
        kinds += clash.kind + " " + clash.name + ";";
        REQUIRE(clash.meanings.size() == 2);
        CHECK(clash.meanings[0].fleet == fleet_name{"colombes"});
    }
    CHECK(kinds == "zone a;model assistant;class question;service chat;service orders;account main;");
    CHECK(find_clashes(config)[1].meanings[0].meaning == "versions 1 at share 0.9, 2 at share 0.1");
    CHECK_THAT(format_difference(config, *apply_patch(config, zone_patch("q", 0, false))),
               Catch::Contains("/kovacic/zones/a/in_service"));
    CHECK_THAT(format_configuration(config, fleet_name{"kovacic"}), !Catch::Contains("colombes"));
}
