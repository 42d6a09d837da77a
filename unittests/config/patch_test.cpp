// Tests of the patch schema: accepted patches, round trips, and the location in error messages.
#include "sample_patches.h"

#include <agatespar/config/patch.h>

#include <catch2/catch.hpp>

using namespace agatespar;

static std::string patch_with(const std::string& operations)
{
    return R"({"patch_id":"p","base":0,"author":"ana","rules":1,"operations":[)" + operations + "]}";
}

static std::string message_of(const std::string& text)
{
    const outcome<patch> parsed = parse_patch(text, "file.json");
    return parsed ? "accepted" : parsed.error().message;
}

SCENARIO("a patch is unchanged after a round trip through JSON")
{
    const patch original = two_fleets_patch("p1");
    const std::string text = format_patch(original);
    const outcome<patch> read = parse_patch(text, "memory");
    REQUIRE(read);
    CHECK(read->operations.size() == original.operations.size());
    CHECK(format_patch(*read) == text);
}

SCENARIO("a patch outside the schema is refused with file, path and reason")
{
    const auto [text, message] = GENERATE(table<std::string, std::string>({
        {"{", "file.json: /: "},
        {"[]", "file.json: /: must be an object"},
        {patch_with(R"({"op":"put_zoo"})"), "file.json: /operations/0/op: \"put_zoo\" is not a known operation"},
        {patch_with(R"({"op":"put_zone","fleet":"f","zone":"z"})"), "file.json: /operations/0/region: is missing"},
        {patch_with(R"({"op":"remove_zone","fleet":"f","zone":"z","x":1})"),
         "file.json: /operations/0/x: is not a known field"},
        {patch_with(R"({"op":"remove_zone","fleet":"f/g","zone":"z"})"),
         "file.json: /operations/0/fleet: must be a name"},
        {patch_with(R"({"op":"set_shares","fleet":"f","model":"m","shares":{"1":1.5}})"),
         "file.json: /operations/0/shares/1: must lie between 0.0 and 1.0"},
        {patch_with(R"({"op":"put_class","fleet":"f","class":"c","deadline_ms":"5"})"),
         "file.json: /operations/0/deadline_ms: must be a whole number"},
        {patch_with(R"({"op":"remove_zone","fleet":"f","zone":"z","zone":"y"})"),
         "file.json: /: the field \"zone\" appears twice"},
        {patch_with(R"({"op":"put_account","fleet":"f","account":"a","key_hashes":["x","x"]})"),
         "file.json: /operations/0/key_hashes/1: is a duplicate"},
        {patch_with(R"({"op":"put_service","fleet":"f","service":"s","kind":"odd"})"),
         "file.json: /operations/0/kind: must be one of chat, plain"},
        {R"({"patch_id":"p","base":-1,"author":"a","rules":1,"operations":[]})", "file.json: /base: must lie between"},
        {patch_with(""), "file.json: /operations: must be an array of at least one operation"},
    }));
    CHECK_THAT(message_of(text), Catch::StartsWith(message));
}

SCENARIO("a patch that exceeds the bounds on size and depth is refused")
{
    CHECK(parse_patch(std::string(max_patch_bytes + 1, ' '), "f").error().code == error_code::too_large);
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    CHECK(parse_patch(patch_with(deep), "f").error().code == error_code::too_large);
    std::string many;
    for (std::size_t i = 0; i <= max_patch_operations; ++i) {
        many += (i == 0 ? "" : ",") + std::string{R"({"op":"remove_fleet","fleet":"f"})"};
    }
    CHECK_THAT(message_of(patch_with(many)), Catch::Contains("/operations: holds more than 1000"));
}
