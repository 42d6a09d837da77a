// Tests of request ids.
#include <agatespar/request/request_id.h>

#include <catch2/catch.hpp>

using namespace agatespar;

SCENARIO("a request id shows when it was made")
{
    std::mt19937_64 random{1};
    const wall_time now = manual_clock{}.wall_now();
    const request_id id = make_request_id(now, random);
    CHECK(id.value().size() == 36);
    CHECK(time_of_uuid(id.value()) == now);
    CHECK(make_request_id(now, random) != id);

    WHEN("a text is no such id")
    {
        CHECK(!time_of_uuid(""));
        CHECK(!time_of_uuid("550e8400-e29b-41d4-a716-446655440000"));
        CHECK(!time_of_uuid("zzzzzzzz-e29b-71d4-a716-446655440000"));
    }
}
