// Tests of request ids.
#include <agatespar/ledger/key_age.h>
#include <agatespar/request/request_id.h>

#include <catch2/catch.hpp>

using namespace agatespar;

SCENARIO("a request id contains its creation time")
{
    std::mt19937_64 random{1};
    const wall_time now = manual_clock{}.wall_now();
    const request_id id = make_request_id(now, random);
    CHECK(id.value().size() == 36);
    CHECK(uuid_v7_time(id.value()) == now);
    CHECK(make_request_id(now, random) != id);
}
