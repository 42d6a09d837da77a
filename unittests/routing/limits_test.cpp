// Tests of the retry budget and of admission control.
#include <agatespar/routing/admission.h>
#include <agatespar/routing/retry_budget.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("retries are limited to a share of the new requests")
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
            budget.on_new_request();
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
        THEN("no retry is planned, and the budget is not reduced")
        {
            for (int i = 0; i < 100; ++i)
                CHECK_FALSE(budget.plan_retry(1, 11s, time.now() + 10s, time.now(), random));
            CHECK(plan(1));
        }
    }
    WHEN("a request has reached the maximum number of attempts")
    {
        THEN("no further retry is planned")
        {
            CHECK_FALSE(plan(4));
        }
    }
}

SCENARIO("requests that would wait too long are refused before they queue")
{
    manual_clock time;
    admission gate;
    const class_index lookup{0};
    for (int i = 0; i < 100; ++i) {
        gate.on_queued(lookup);
        time.advance(100ms);
        gate.on_dequeued(lookup, true, time.now());
    }
    GIVEN("a queue of thirty requests, of which ten start per second")
    {
        for (int i = 0; i < 30; ++i)
            gate.on_queued(lookup);
        THEN("a request whose deadline allows the wait is admitted")
        {
            CHECK(gate.evaluate(lookup, 1s, time.now() + 30s, time.now()).admitted);
        }
        THEN("a request whose deadline is too short is refused with a retry-after time")
        {
            const admission_verdict verdict = gate.evaluate(lookup, 1s, time.now() + 2s, time.now());
            CHECK_FALSE(verdict.admitted);
            CHECK(verdict.retry_after >= 1s);
        }
    }
    GIVEN("an empty queue and a deadline that has passed")
    {
        THEN("the request is refused")
        {
            CHECK_FALSE(gate.evaluate(lookup, 1s, time.now() - 1s, time.now()).admitted);
        }
    }
}
