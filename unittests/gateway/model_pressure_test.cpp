// Tests of how pressure on the largest model lowers the confidence that is required of a small model.
#include <agatespar/gateway/model_pressure.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("while the largest model answers late, more answers of the small one are kept")
{
    // Failure: half of the servers are down for some seconds, and the others need longer to process prompts than
    // clients wait.
    manual_clock time;
    model_pressure pressure;
    CHECK(pressure.required_confidence(time.now()) == 60);
    for (int i = 0; i < 20; ++i) {
        time.advance(100ms);
        pressure.note(300ms, 2s, time.now());
    }
    CHECK(pressure.required_confidence(time.now()) == 60);
    WHEN("one answer is late, little changes")
    {
        pressure.note(4s, 2s, time.now());
        CHECK(pressure.required_confidence(time.now()) > 50);
    }
    WHEN("many are late, every answer is kept")
    {
        for (int i = 0; i < 60; ++i) {
            time.advance(100ms);
            pressure.note(4s, 2s, time.now());
        }
        CHECK(pressure.required_confidence(time.now()) == 0);
        AND_WHEN("no answer is observed for a while, the largest model is tried again")
        {
            time.advance(30s);
            CHECK(pressure.required_confidence(time.now()) == 60);
        }
    }
    WHEN("a route has no goal, its answers are ignored")
    {
        pressure.note(100s, 0s, time.now());
        CHECK(pressure.required_confidence(time.now()) == 60);
    }
}
