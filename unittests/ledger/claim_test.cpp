// Tests of claims: which VM may dispatch a non-idempotent request, and the results of all other submissions with the
// same idempotency key.
#include "ledger_fixture.h"

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("the first claim of a key in log order holds the key")
{
    ledger_fixture test{3};
    const claim_order order = test.order("k");

    GIVEN("a granted claim")
    {
        const auto first = test.claim(0, order);
        REQUIRE(first);
        const granted_claim claim = granted(first);
        CHECK(claim.fence == fencing_number{1});

        WHEN("the key is submitted again while the request runs")
        {
            const auto second = test.claim(1, order);
            THEN("the second submission does not run, and its error does not say that nothing ran")
            {
                REQUIRE(!second);
                CHECK(second.error().code == error_code::conflict);
                CHECK(second.error().ran == run_state::outcome_unknown);
            }
        }
        WHEN("the outcome of the claim is recorded")
        {
            REQUIRE(test.vms[0]->client->begin_dispatch(claim));
            test.vms[0]->client->record_outcome(claim, {claim.request, 201, "text/plain", "booked", false});
            test.loop.advance(1s);
            CHECK(test.vms[0]->client->unconfirmed() == 0);
            THEN("a second submission through another VM and another owner gets the stored answer")
            {
                test.first_owner = 2;
                const auto repeat = test.claim(1, order);
                REQUIRE(repeat);
                CHECK(std::get<stored_outcome>(*repeat).body == "booked");
                CHECK(std::get<stored_outcome>(*repeat).request == order.request);
            }
            THEN("a look-up returns the stored answer")
            {
                const auto report = test.look_up(2, order);
                REQUIRE(report);
                CHECK(report->state == ledger_verdict::finished);
                CHECK(report->result.status == 201);
            }
            THEN("a cancel has no effect")
            {
                CHECK(test.look_up(2, order, true)->state == ledger_verdict::finished);
            }
        }
        WHEN("the key is submitted with a different content")
        {
            claim_order other = order;
            other.fingerprint = request_fingerprint{8};
            const auto reuse = test.claim(1, other);
            THEN("the submission is refused as a reuse of the key")
            {
                REQUIRE(!reuse);
                CHECK(reuse.error().code == error_code::invalid_argument);
                CHECK(reuse.error().ran == run_state::not_run);
            }
        }
        WHEN("the claim is abandoned")
        {
            test.vms[0]->client->abandon(claim);
            test.loop.advance(1s);
            THEN("a new claim holds the key, and the abandoned one may not dispatch")
            {
                CHECK(granted(test.claim(1, order)).fence > claim.fence);
                CHECK(!test.vms[0]->client->begin_dispatch(claim));
            }
        }
    }
    GIVEN("a key that was cancelled before any claim")
    {
        CHECK(test.look_up(0, order, true)->state == ledger_verdict::cancelled);
        const auto late = test.claim(1, order);
        THEN("a later claim is refused as not run")
        {
            REQUIRE(!late);
            CHECK(late.error().ran == run_state::not_run);
        }
    }
}

SCENARIO("a claim can be dispatched once and only before its expiry")
{
    ledger_fixture test{2};
    const claim_order order = test.order("k", submission::first);
    const granted_claim claim = granted(test.claim(0, order));
    claim_client& client = *test.vms[0]->client;

    GIVEN("a holder that dispatches before the expiry")
    {
        REQUIRE(client.begin_dispatch(claim));
        THEN("it may not dispatch a second time")
        {
            CHECK(!client.begin_dispatch(claim));
        }
    }
    GIVEN("a holder that was paused past the expiry")
    {
        test.loop.advance(test.settings.claim_lifetime);
        const auto verdict = client.begin_dispatch(claim);
        THEN("it does not dispatch, and the key can be claimed again")
        {
            REQUIRE(!verdict);
            CHECK(verdict.error().code == error_code::expired);
            CHECK(verdict.error().ran == run_state::not_run);
            test.loop.advance(1s);
            CHECK(test.claim(1, order).has_value());
        }
    }
    GIVEN("a claim whose remaining time is not longer than the maximum clock skew")
    {
        test.loop.advance(test.settings.claim_lifetime - test.settings.max_clock_skew);
        THEN("it does not dispatch")
        {
            CHECK(!client.begin_dispatch(claim));
        }
    }
    GIVEN("a holder that failed after its dispatch")
    {
        test.kill(0);
        test.first_owner = 1;
        THEN("no other claim gets the key, and after the maximum run time its outcome is reported as unknown")
        {
            CHECK(test.claim(1, order).error().code == error_code::conflict);
            test.loop.advance(test.settings.claim_lifetime + test.settings.max_run_time + 3s);
            const auto later = test.claim(1, order);
            REQUIRE(!later);
            CHECK(later.error().code == error_code::outcome_unknown);
            CHECK(later.error().ran == run_state::outcome_unknown);
        }
    }
}

SCENARIO("a key that is too old or dated in the future is refused without an append")
{
    ledger_fixture test{1};
    claim_order order = test.order("k");
    GIVEN("a key older than the key window")
    {
        order.key_time -= test.settings.key_window + 1s;
        const auto answer = test.claim(0, order);
        REQUIRE(!answer);
        CHECK(answer.error().code == error_code::outcome_unknown);
    }
    GIVEN("a key with a time in the future")
    {
        order.key_time += 1min;
        const auto answer = test.claim(0, order);
        REQUIRE(!answer);
        CHECK(answer.error().code == error_code::invalid_argument);
        // A VM whose clock is ahead may have run an earlier submission.
        CHECK(answer.error().ran == run_state::outcome_unknown);
    }
    CHECK(test.log.append_calls() == 0);
}

SCENARIO("a second submission of an old key does not run after the entry of the key was removed")
{
    ledger_fixture test{1};
    const claim_order order = test.order("k");
    REQUIRE(test.vms[0]->client->begin_dispatch(granted(test.claim(0, order))));
    test.loop.advance(test.settings.key_window + test.settings.window_slack + 15s);
    CHECK(test.owner(0, partition_of(order.key)).state().keys.empty());
    CHECK(test.claim(0, order).error().code == error_code::outcome_unknown);
}
