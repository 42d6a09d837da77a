// Tests of the retry budget and of admission.
#include <agatespar/routing/admission.h>
#include <agatespar/routing/retry_budget.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("retries stay a share of the fresh traffic")
{
    manual_clock time;
    std::mt19937_64 random{3};
    retry_budget budget;
    const auto plan = [&](int attempts) {
        return budget.plan_retry(attempts, 1s, time.now() + 10s, time.now(), random);
    };

    WHEN("every one of many requests fails")
    {
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            budget.on_fresh_request();
            retries += plan(1) ? 1 : 0;
        }
        THEN("a bounded share of them is retried")
        {
            CHECK(retries >= 790);
            CHECK(retries <= 810);
        }
    }
    WHEN("the deadline leaves no time for another attempt")
    {
        THEN("there is none, and none is taken from the budget")
        {
            for (int i = 0; i < 100; ++i)
                CHECK_FALSE(budget.plan_retry(1, 11s, time.now() + 10s, time.now(), random));
            CHECK(plan(1));
        }
    }
    WHEN("a request failed often")
    {
        THEN("it is not tried for ever")
        {
            CHECK_FALSE(plan(4));
        }
    }
}

SCENARIO("requests that would wait too long are shed before they queue")
{
    manual_clock time;
    admission gate;
    const class_index lookup{0};
    for (int i = 0; i < 100; ++i) {
        gate.on_queued(lookup);
        time.advance(100ms);
        gate.on_dequeued(lookup, true, time.now());
    }
    GIVEN("a line of thirty where ten start in a second")
    {
        for (int i = 0; i < 30; ++i)
            gate.on_queued(lookup);
        THEN("a request with time to wait is admitted")
        {
            CHECK(gate.judge(lookup, 1s, time.now() + 30s, time.now()).admitted);
        }
        THEN("one without is shed, and told when to come back")
        {
            const admission_verdict verdict = gate.judge(lookup, 1s, time.now() + 2s, time.now());
            CHECK_FALSE(verdict.admitted);
            CHECK(verdict.retry_after >= 1s);
        }
    }
    GIVEN("an empty line and a deadline that has passed")
    {
        THEN("the request is shed")
        {
            CHECK_FALSE(gate.judge(lookup, 1s, time.now() - 1s, time.now()).admitted);
        }
    }
}
