// Tests of the ledger with faults of the log, VM failures at each step of a request, and changes of owner.
#include "ledger_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace agatespar;
using namespace std::chrono_literals;

static stored_outcome booked(const granted_claim& claim)
{
    return {claim.request, 201, "text/plain", "booked", false};
}

SCENARIO("after a VM failed at any step of a request, another VM does not run the request a second time")
{
    ledger_fixture test{3};
    test.first_owner = 2;
    const claim_order order = test.order("k");

    GIVEN("a VM that failed before it sent the claim")
    {
        test.vms[0]->client->claim(order, [](const outcome<claim_result>&) {});
        test.kill(0);
        THEN("another VM runs the request")
        {
            CHECK(granted(test.claim(1, order)).key == order.key);
        }
    }
    GIVEN("a VM that failed after its claim was granted")
    {
        granted(test.claim(0, order));
        test.kill(0);
        THEN("the outcome is reported as unknown, and the request is not run again")
        {
            const auto retry = test.claim(1, order);
            REQUIRE(!retry);
            CHECK(retry.error().ran == run_state::outcome_unknown);
            CHECK(test.look_up(1, order, true)->state == ledger_verdict::running);
        }
    }
    GIVEN("a VM that failed after the dispatch, together with the owner of the partition")
    {
        REQUIRE(test.vms[0]->client->begin_dispatch(granted(test.claim(0, order))));
        test.kill(0);
        test.kill(2);
        test.first_owner = 1;
        THEN("the new owner reads the claim from the log")
        {
            const auto retry = test.claim(1, order);
            REQUIRE(!retry);
            CHECK(retry.error().ran == run_state::outcome_unknown);
        }
    }
    GIVEN("a VM that failed after it recorded the outcome")
    {
        const granted_claim claim = granted(test.claim(0, order));
        REQUIRE(test.vms[0]->client->begin_dispatch(claim));
        test.vms[0]->client->record_outcome(claim, booked(claim));
        test.loop.advance(1s);
        test.kill(0);
        THEN("a retry gets the stored answer with the request id of the run, under which it is billed")
        {
            const auto retry = test.claim(1, order);
            REQUIRE(retry);
            CHECK(std::get<stored_outcome>(*retry).request == claim.request);
        }
    }
}

SCENARIO("claims are granted although the log's append answers are lost")
{
    ledger_fixture test{3};
    const claim_order order = test.order("k");
    GIVEN("half of the append answers are lost")
    {
        test.log.set_faults({false, 0.5, 20ms});
        std::set<fencing_number> fences;
        for (int index = 0; index < 40; ++index) {
            const auto answer = test.claim(0, test.order("key-" + std::to_string(index)));
            REQUIRE(answer);
            const granted_claim claim = granted(answer);
            CHECK(test.vms[0]->client->begin_dispatch(claim));
        }
    }
    GIVEN("all append answers are lost")
    {
        test.log.set_faults({false, 1.0, 20ms});
        THEN("reading the claim back grants it, and a claim through a second owner is refused")
        {
            REQUIRE(test.claim(0, order));
            test.first_owner = 1;
            CHECK(test.claim(2, order).error().code == error_code::conflict);
        }
    }
}

SCENARIO("claims during a long outage of the log are refused, and later claims are granted")
{
    ledger_fixture test{2};
    const claim_order warm_up = test.order("warm-up");
    REQUIRE(test.claim(0, warm_up));
    test.log.set_faults({true, 0.0, 0ms});
    const auto first = test.claim(0, test.order("a", submission::first));
    const auto repeated = test.claim(0, test.order("b", submission::possibly_repeated));
    THEN("a first submission is refused as not run, a possibly repeated one with an unknown outcome")
    {
        REQUIRE(!first);
        CHECK(first.error().ran == run_state::not_run);
        CHECK(first.error().retry_after.has_value());
        REQUIRE(!repeated);
        CHECK(repeated.error().ran == run_state::outcome_unknown);
    }
    THEN("a key that the owner has already read still gets its verdict")
    {
        CHECK(test.claim(1, warm_up).error().code == error_code::conflict);
    }
    test.loop.advance(2min);
    test.log.set_faults({});
    test.loop.advance(2s);
    THEN("the claims that timed out are abandoned, and their keys and new ones can be claimed")
    {
        CHECK(test.claim(0, test.order("a")).has_value());
        CHECK(test.claim(0, test.order("c")).has_value());
    }
}

SCENARIO("a claim whose append takes effect after the claimant abandoned it does not hold its key")
{
    ledger_fixture test{2};
    const claim_order order = test.order("k", submission::first);
    test.late_append_probability = 1.0;
    test.late_append_delay = order.timeout + 1s;
    const auto first = test.claim(0, order);
    REQUIRE(!first);
    CHECK(first.error().ran == run_state::not_run);
    test.late_append_probability = 0.0;
    test.loop.advance(30s);
    THEN("the key can be claimed again")
    {
        claim_order repeat = order;
        repeat.submission_kind = submission::possibly_repeated;
        CHECK(test.claim(1, repeat).has_value());
    }
}

SCENARIO("a claimed key is not granted again after part of the key window was trimmed")
{
    ledger_fixture test{2};
    const claim_order order = test.order("k");
    const stream_name stream = ledger_stream(partition_of(order.key));
    REQUIRE(test.vms[0]->client->begin_dispatch(granted(test.claim(0, order))));
    test.log.trim(stream, log_offset{2});
    test.first_owner = 1;

    GIVEN("a new owner without a snapshot")
    {
        const auto repeat = test.claim(0, order);
        THEN("it refuses requests for the key and appends nothing")
        {
            REQUIRE(!repeat);
            CHECK(repeat.error().ran == run_state::outcome_unknown);
            CHECK(!test.look_up(0, order, true));
            CHECK(test.owner(1, partition_of(order.key)).counters().appended_records == 1);
        }
        THEN("it serves new keys once the missing records are outside the window")
        {
            test.loop.advance(test.settings.key_window + test.settings.window_slack + 1s);
            claim_order fresh = order;
            fresh.key_time = test.loop.time().wall_now();
            CHECK(test.claim(0, order).error().code == error_code::outcome_unknown);
            CHECK(test.owner(1, partition_of(order.key)).ready());
        }
    }
    GIVEN("a new owner with a snapshot of the first owner")
    {
        test.loop.advance(test.settings.key_window / 2 + 2s);
        REQUIRE(test.owner(0, partition_of(order.key)).counters().snapshots_written == 1);
        const auto repeat = test.claim(0, order);
        THEN("it refuses the key as claimed before")
        {
            REQUIRE(!repeat);
            CHECK(repeat.error().ran == run_state::outcome_unknown);
            CHECK(test.owner(1, partition_of(order.key)).ready());
            CHECK(test.look_up(0, order)->state == ledger_verdict::outcome_unknown);
        }
    }
}

SCENARIO("a snapshot and the records after it fold to the same state as the complete stream")
{
    ledger_fixture test{2};
    test.settings.min_snapshot_tail = 20;
    const ledger_partition partition{3};
    for (int index = 0; index < 300; ++index) {
        const claim_order order = test.order("key-" + std::to_string(index));
        if (partition_of(order.key) == partition) {
            const granted_claim claim = granted(test.claim(0, order));
            test.vms[0]->client->record_outcome(claim, booked(claim));
            test.loop.advance(200ms);
        }
    }
    claim_owner& first = test.owner(0, partition);
    claim_owner& second = test.owner(1, partition);
    test.loop.advance(5s);
    REQUIRE(first.counters().snapshots_written > 0);
    CHECK(second.counters().folded_records < first.counters().folded_records / 2);
    CHECK(second.state().next == first.state().next);
    CHECK(encode(second.state().keys) == encode(first.state().keys));
}
