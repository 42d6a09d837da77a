// Tests of error values and stable hash functions.
#include <agatespar/support/hash.h>
#include <agatespar/support/outcome.h>

#include <catch2/catch.hpp>

using namespace agatespar;

SCENARIO("a failure states whether the request ran")
{
    GIVEN("a failure without further detail")
    {
        const outcome<int> failed = failure(error_code::not_allowed, "no");
        THEN("it carries its code and counts as not run")
        {
            REQUIRE(!failed);
            CHECK(to_string(failed.error().code) == "not_allowed");
            CHECK(to_string(failed.error().ran) == "not_run");
        }
    }
}

SCENARIO("hashes are the same on every VM")
{
    CHECK(stable_hash("") == 0x2D06800538D394C2ULL);
    CHECK(stable_hash("agate", 1) != stable_hash("agate", 2));
    CHECK(combine_hashes(1, 2) != combine_hashes(2, 1));
}
