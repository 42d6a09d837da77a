// Tests of the JSON parser with untrusted input.
#include <agatespar/support/json.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace agatespar;

SCENARIO("untrusted JSON is parsed only within the limits")
{
    WHEN("it is well formed")
    {
        const auto document = parse_json(R"({"a":"[[[[\"]]"})", {100, 1});
        REQUIRE(document);
        CHECK(document->at("a") == "[[[[\"]]");
    }
    WHEN("it nests too deeply")
    {
        const auto document = parse_json(std::string(100000, '['));
        REQUIRE(!document);
        CHECK(document.error().code == error_code::too_large);
    }
    WHEN("it is too long")
    {
        CHECK(parse_json("\"" + std::string(200, 'x') + "\"", {100, 4}).error().code == error_code::too_large);
    }
    WHEN("it is malformed or not UTF-8")
    {
        CHECK(parse_json("{\"a\":").error().code == error_code::malformed);
        CHECK(parse_json("\"\xff\"").error().code == error_code::malformed);
        CHECK(parse_json("").error().code == error_code::malformed);
    }
}
