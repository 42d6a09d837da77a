// Tests of the manual event loop and of the service registry.
#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/kernel/service_registry.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("timers fire in the order of their due times")
{
    manual_event_loop loop;
    std::vector<int> fired;
    loop.schedule(2s, [&] { fired.push_back(2); });
    const timer_id cancelled = loop.schedule(1500ms, [&] { fired.push_back(0); });
    loop.schedule(1s, [&] {
        fired.push_back(1);
        loop.schedule(500ms, [&] { fired.push_back(3); });
    });
    loop.cancel(cancelled);

    WHEN("less time passes than the first delay")
    {
        loop.advance(999ms);
        THEN("nothing fires")
        {
            CHECK(fired.empty());
        }
    }
    WHEN("all delays pass")
    {
        loop.advance(2s);
        THEN("a timer scheduled by a callback fires in order with the others")
        {
            CHECK(fired == std::vector<int>{1, 3, 2});
        }
    }
}

SCENARIO("services are found by name and type")
{
    service_registry registry;
    manual_clock time;
    registry.provide("clock", time);
    CHECK(registry.find<manual_clock>("clock") == &time);
    CHECK(registry.find<manual_event_loop>("clock") == nullptr);
    CHECK(registry.find<manual_clock>("other") == nullptr);
}
