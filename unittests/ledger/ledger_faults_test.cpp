// Tests of the ledger under the log's faults, deaths at each step and changes of owner.
#include "ledger_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace agatespar;
using namespace std::chrono_literals;

static stored_outcome booked(const granted_claim& claim)
{
    return {claim.request, 201, "text/plain", "booked", false};
}

SCENARIO("a VM dies at each step of a request, and the caller asks another VM")
{
    ledger_fixture world{3};
    world.first_owner = 2;
    const claim_order order = world.order("k");

    GIVEN("it died before the claim was sent")
    {
        world.vms[0]->client->claim(order, [](const outcome<claim_result>&) {});
        world.kill(0);
        THEN("the other VM runs the request")
        {
            CHECK(granted(world.claim(1, order)).key == order.key);
        }
    }
    GIVEN("it died after the claim was granted")
    {
        granted(world.claim(0, order));
        world.kill(0);
        THEN("nobody knows whether it ran, and it is not run again")
        {
            const auto retry = world.claim(1, order);
            REQUIRE(!retry);
            CHECK(retry.error().ran == run_state::outcome_unknown);
            CHECK(world.look_up(1, order, true)->state == ledger_verdict::running);
        }
    }
    GIVEN("it died after the dispatch, with the owner of the partition")
    {
        REQUIRE(world.vms[0]->client->begin_dispatch(granted(world.claim(0, order))));
        world.kill(0);
        world.kill(2);
        world.first_owner = 1;
        THEN("the new owner reads the claim from the log")
        {
            const auto retry = world.claim(1, order);
            REQUIRE(!retry);
            CHECK(retry.error().ran == run_state::outcome_unknown);
        }
    }
    GIVEN("it died after the outcome was recorded")
    {
        const granted_claim claim = granted(world.claim(0, order));
        REQUIRE(world.vms[0]->client->begin_dispatch(claim));
        world.vms[0]->client->record_outcome(claim, booked(claim));
        world.loop.advance(1s);
        world.kill(0);
        THEN("the retry gets the answer, under the request's first id for the bill")
        {
            const auto retry = world.claim(1, order);
            REQUIRE(retry);
            CHECK(std::get<stored_outcome>(*retry).request == claim.request);
        }
    }
}

SCENARIO("the log's answers are lost")
{
    ledger_fixture world{3};
    const claim_order order = world.order("k");
    GIVEN("half of the append answers lost")
    {
        world.log.set_faults({false, 0.5, 20ms});
        std::set<fencing_number> fences;
        for (int index = 0; index < 40; ++index) {
            const auto answer = world.claim(0, world.order("key-" + std::to_string(index)));
            REQUIRE(answer);
            const granted_claim claim = granted(answer);
            CHECK(world.vms[0]->client->begin_dispatch(claim));
        }
    }
    GIVEN("all append answers lost")
    {
        world.log.set_faults({false, 1.0, 20ms});
        THEN("the read-back alone grants the claim, and a second owner's claim loses")
        {
            REQUIRE(world.claim(0, order));
            world.first_owner = 1;
            CHECK(world.claim(2, order).error().code == error_code::conflict);
        }
    }
}

SCENARIO("the log is down for longer than every lease")
{
    ledger_fixture world{2};
    const claim_order warm_up = world.order("warm-up");
    REQUIRE(world.claim(0, warm_up));
    world.log.set_faults({true, 0.0, 0ms});
    const auto first = world.claim(0, world.order("a", submission::first));
    const auto repeated = world.claim(0, world.order("b", submission::possibly_repeated));
    THEN("a first submission is refused as not run, a possible repeat is not said to be")
    {
        REQUIRE(!first);
        CHECK(first.error().ran == run_state::not_run);
        CHECK(first.error().retry_after.has_value());
        REQUIRE(!repeated);
        CHECK(repeated.error().ran == run_state::outcome_unknown);
    }
    THEN("what is known without the log is still told")
    {
        CHECK(world.claim(1, warm_up).error().code == error_code::conflict);
    }
    world.loop.advance(2min);
    world.log.set_faults({});
    world.loop.advance(2s);
    THEN("the given-up claims are abandoned, and work goes on")
    {
        CHECK(world.claim(0, world.order("a")).has_value());
        CHECK(world.claim(0, world.order("c")).has_value());
    }
}

SCENARIO("a claim's append takes effect after the claimant gave up")
{
    ledger_fixture world{2};
    const claim_order order = world.order("k", submission::first);
    world.late_appends = 1.0;
    world.late_from = order.patience + 1s;
    const auto first = world.claim(0, order);
    REQUIRE(!first);
    CHECK(first.error().ran == run_state::not_run);
    world.late_appends = 0.0;
    world.loop.advance(30s);
    THEN("the abandoned claim does not hold the key")
    {
        claim_order repeat = order;
        repeat.sent = submission::possibly_repeated;
        CHECK(world.claim(1, repeat).has_value());
    }
}

SCENARIO("part of the window is trimmed unread")
{
    ledger_fixture world{2};
    const claim_order order = world.order("k");
    const stream_name stream = ledger_stream(partition_of(order.key));
    REQUIRE(world.vms[0]->client->begin_dispatch(granted(world.claim(0, order))));
    world.log.trim(stream, log_offset{2});
    world.first_owner = 1;

    GIVEN("a new owner without a snapshot")
    {
        const auto repeat = world.claim(0, order);
        THEN("it refuses, and writes nothing")
        {
            REQUIRE(!repeat);
            CHECK(repeat.error().ran == run_state::outcome_unknown);
            CHECK(!world.look_up(0, order, true));
            CHECK(world.owner(1, partition_of(order.key)).counters().appended_records == 1);
        }
        THEN("it serves new keys once what it missed has left the window")
        {
            world.loop.advance(world.settings.key_window + world.settings.window_slack + 1s);
            claim_order fresh = order;
            fresh.key_time = world.loop.time().wall_now();
            CHECK(world.claim(0, order).error().code == error_code::outcome_unknown);
            CHECK(world.owner(1, partition_of(order.key)).ready());
        }
    }
    GIVEN("a new owner with a snapshot of the first")
    {
        world.loop.advance(world.settings.key_window / 2 + 2s);
        REQUIRE(world.owner(0, partition_of(order.key)).counters().snapshots_written == 1);
        const auto repeat = world.claim(0, order);
        THEN("it knows the key")
        {
            REQUIRE(!repeat);
            CHECK(repeat.error().ran == run_state::outcome_unknown);
            CHECK(world.owner(1, partition_of(order.key)).ready());
            CHECK(world.look_up(0, order)->state == ledger_verdict::outcome_unknown);
        }
    }
}

SCENARIO("a snapshot and its tail fold to the state of the whole stream")
{
    ledger_fixture world{2};
    world.settings.min_snapshot_tail = 20;
    const ledger_partition partition{3};
    for (int index = 0; index < 300; ++index) {
        const claim_order order = world.order("key-" + std::to_string(index));
        if (partition_of(order.key) == partition) {
            const granted_claim claim = granted(world.claim(0, order));
            world.vms[0]->client->record_outcome(claim, booked(claim));
            world.loop.advance(200ms);
        }
    }
    claim_owner& first = world.owner(0, partition);
    claim_owner& second = world.owner(1, partition);
    world.loop.advance(5s);
    REQUIRE(first.counters().snapshots_written > 0);
    CHECK(second.counters().folded_records < first.counters().folded_records / 2);
    CHECK(second.state().next == first.state().next);
    CHECK(encode(second.state().keys) == encode(first.state().keys));
}
