// Tests of the parsing of names and shares that operators enter.
#include <agatespar/config/name_text.h>

#include <catch2/catch.hpp>

using namespace agatespar;

SCENARIO("qualified names are parsed, and invalid ones are refused")
{
    CHECK(*parse_qualified<zone_name>("f/a") == zone_id{fleet_name{"f"}, zone_name{"a"}});
    for (const char* bad : {"", "a", "f/", "/a", "f/a/b", "f /a", "f/a@1"}) {
        CHECK(!parse_qualified<zone_name>(bad));
    }
    CHECK(to_string(*parse_version_id("f/m@1")) == "f/m@1");
    for (const char* bad : {"f/m", "f/m@", "m@1", "f/m@1@2"}) {
        CHECK(!parse_version_id(bad));
    }
}

SCENARIO("shares are parsed by version, and invalid or duplicate ones are refused")
{
    CHECK(parse_shares({"1=0.9", "2=0.1"})->at(version_name{"2"}) == Approx(0.1));
    for (const char* bad : {"1", "1=", "=1", "1=1.5", "1=-1", "1=0.5x", "1=nan"}) {
        CHECK(!parse_shares({bad}));
    }
    CHECK(!parse_shares({"1=0.5", "1=0.5"}));
}
