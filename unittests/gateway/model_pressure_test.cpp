// Tests of how pressure on the largest model changes the choice between models.
#include <agatespar/gateway/model_pressure.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("while the largest model answers late, more answers of the small one are kept")
{
    // Pattern: half of the servers are gone for some seconds, and what is left reads prompts for longer than clients
    // bear.
    manual_clock time;
    model_pressure pressure;
    CHECK(pressure.kept_confidence(time.now()) == 60);
    for (int i = 0; i < 20; ++i) {
        time.advance(100ms);
        pressure.note(300ms, 2s, time.now());
    }
    CHECK(pressure.kept_confidence(time.now()) == 60);
    WHEN("one answer is late, little changes")
    {
        pressure.note(4s, 2s, time.now());
        CHECK(pressure.kept_confidence(time.now()) > 50);
    }
    WHEN("many are late, every answer is kept")
    {
        for (int i = 0; i < 60; ++i) {
            time.advance(100ms);
            pressure.note(4s, 2s, time.now());
        }
        CHECK(pressure.kept_confidence(time.now()) == 0);
        AND_WHEN("nothing is seen for a while, the largest model is tried again")
        {
            time.advance(30s);
            CHECK(pressure.kept_confidence(time.now()) == 60);
        }
    }
    WHEN("a route has no goal, nothing is learned")
    {
        pressure.note(100s, 0s, time.now());
        CHECK(pressure.kept_confidence(time.now()) == 60);
    }
}
