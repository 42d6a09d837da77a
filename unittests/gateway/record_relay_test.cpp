// Tests of VMs that read the store for each other, on a manual loop: readers die, are cut off, or lose the store.

#include "relay_fleet.h"

#include <agatespar/wire/compression.h>

#include <catch2/catch.hpp>

#include <random>
#include <tuple>

using namespace agatespar;
using namespace agatespar::relay_test;
using namespace std::chrono_literals;

SCENARIO("a few VMs read the store, and what they read reaches all within milliseconds")
{
    const std::size_t count = GENERATE(1U, 2U, 9U, 83U);
    CAPTURE(count);
    fleet test{count};
    test.order(1);
    test.loop.advance(10s);
    CHECK(test.behind(1) == 0);
    CHECK(test.readers().size() == std::min(count, reader_count(count)));
    std::map<std::size_t, int> calls;
    for (std::size_t i = 0; i < count; ++i) {
        calls[i] = test.vms[i]->calls;
        CHECK(test.vms[i]->relay->vms() == count);
    }
    test.order(2);
    // Few VMs ask the readers themselves; among many an order passes a lead of each zone, and at most two below it.
    const int hops = count <= most_flat_vms ? 1 : 4;
    test.loop.advance(store_latency + hops * (relay_settings{}.gather_time + link_latency) + 1ms);
    CHECK(test.behind(2) == 0);
    test.loop.advance(20s);
    const auto readers = test.readers();
    for (std::size_t i = 0; i < count; ++i) {
        // Those that do not read call the store no more, however long it takes.
        CHECK((readers.contains(i) || test.vms[i]->calls == calls[i]));
    }
}

SCENARIO("whatever happens to a reader, orders are known within the operators' two seconds")
{
    fleet test{40};
    test.order(1);
    test.loop.advance(10s);
    const auto readers = test.readers();
    REQUIRE(readers.size() == reader_count(40));
    const std::size_t victim = *readers.begin();

    SECTION("it dies")
    {
        test.kill(victim);
    }
    SECTION("all readers but one die at once")
    {
        for (const std::size_t reader : readers) {
            if (reader != victim) {
                test.kill(reader);
            }
        }
    }
    SECTION("all readers die at once")
    {
        for (const std::size_t reader : readers) {
            test.kill(reader);
        }
    }
    SECTION("the store no longer answers it, and it does not know")
    {
        test.vms[victim]->cut = true;
    }
    SECTION("the store turns it away")
    {
        test.vms[victim]->refused = true;
    }
    SECTION("it is cut off from the other VMs")
    {
        test.is_cut = [victim](std::size_t a, std::size_t b) { return a == victim || b == victim; };
    }
    SECTION("its answers are lost, though it hears the others")
    {
        test.is_cut = [victim](std::size_t a, std::size_t) { return a == victim; };
    }
    SECTION("no VM hears any other")
    {
        test.is_cut = [](std::size_t, std::size_t) { return true; };
    }
    test.loop.advance(1ms);
    test.order(2);
    test.loop.advance(1995ms);
    const bool excused = test.vms[victim]->cut || test.vms[victim]->refused;
    CHECK(test.behind(2) <= (excused ? 1U : 0U));
}

SCENARIO("a VM that the store turns away learns from the others")
{
    fleet test{12};
    test.order(1);
    test.loop.advance(10s);
    for (std::size_t i = 0; i < test.vms.size(); ++i) {
        test.vms[i]->refused = i % 3 != 0;
    }
    test.loop.advance(10s);
    test.order(2);
    test.loop.advance(1s);
    CHECK(test.behind(2) == 0);
}

SCENARIO("a VM that starts with an empty memory learns all from the readers, for two calls of the store")
{
    fleet test{20};
    test.order(1);
    test.store.write(1, "i-1", "ready");
    test.loop.advance(10s);
    const auto readers = test.readers();
    std::size_t other = 0;
    while (readers.contains(other)) {
        ++other;
    }
    test.kill(other);
    test.store.write(1, "i-2", "ready");
    test.store.write(1, "i-1", std::nullopt);
    test.loop.advance(3s);
    test.vms[other]->calls = 0;
    test.start(other);
    test.loop.advance(1s);
    CHECK(test.vms[other]->values == std::map<std::string, std::string>{{"order", "1"}, {"i-2", "ready"}});
    CHECK(!test.vms[other]->relay->reads_store());
    CHECK(test.vms[other]->calls <= 2);
}

SCENARIO("while the store is away VMs look for what matters, and for all of it afterwards")
{
    // Pattern: every VM of a large fleet asks a store that is down, for each topic.
    fleet test{20};
    test.order(1);
    test.loop.advance(10s);
    test.store.down = true;
    for (const auto& each : test.vms) {
        each->calls = 0;
    }
    test.loop.advance(10s);
    constexpr int leading_topics = 2;
    // Pauses of 0.1, 0.2, 0.4 and 0.8 s, then of a second each. The other topics are tried once, as the outage begins.
    constexpr int tries_of_one = 14;
    constexpr int other_topics = 3;
    for (const auto& each : test.vms) {
        CHECK(each->calls <= leading_topics * tries_of_one + other_topics);
    }
    test.store.write(static_cast<std::size_t>(fleet_topic::evidence), "vm-1/one", "bad");
    test.store.down = false;
    test.loop.advance(1500ms);
    for (const auto& each : test.vms) {
        CHECK(each->values.contains("vm-1/one"));
    }
    test.loop.advance(3 * relay_settings{}.longest_silence);
    for (const auto& each : test.vms) {
        for (const auto& follower : each->followers) {
            CHECK(follower->is_reachable());
        }
    }
}

SCENARIO("after an outage VMs know that the store is back before they hear what changed meanwhile")
{
    // Pattern: the entries of living servers lapse while the store is away and are put back after its return. Who takes
    // a lapse for a departure refuses requests until then.
    const auto servers = static_cast<std::size_t>(fleet_topic::servers);
    fleet test{60};
    test.order(1);
    for (int i = 0; i < 8; ++i) {
        test.store.write(servers, "server-" + std::to_string(i), "ready");
    }
    test.loop.advance(10s);
    REQUIRE(test.lacking(servers) == 0);
    test.store.stop();
    const steady_time lost_at = test.loop.time().now();
    test.loop.advance(5s);
    for (int i = 0; i < 8; ++i) {
        test.store.write(servers, "server-" + std::to_string(i), std::nullopt);
    }
    test.store.down = false;
    test.loop.advance(2500ms);
    for (const auto& each : test.vms) {
        INFO(each->self.name);
        CHECK(each->values.count("server-0") == 0);
        CHECK(each->dropped_while_lost.empty());
        // Nobody believes that the outage began much later than it did, which would make it look too short to matter.
        REQUIRE(each->lost_at[servers]);
        CHECK(*each->lost_at[servers] <= lost_at + 2 * store_latency);
    }
}

SCENARIO("VMs that all lost power know everything again a tenth of a second after they start")
{
    // Pattern: traffic goes on meanwhile, and each request until then is refused.
    fleet test{9};
    test.order(1);
    test.loop.advance(10s);
    for (std::size_t i = 0; i < test.vms.size(); ++i) {
        test.kill(i);
    }
    test.loop.advance(1s);
    for (std::size_t i = 0; i < test.vms.size(); ++i) {
        test.start(i);
        test.loop.advance(5ms);
    }
    test.loop.advance(55ms);
    CHECK(test.behind(1) == 0);
}

SCENARIO("after any faults all VMs know the same, and none went back to an older order")
{
    const int seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    const auto draw = [&random](std::size_t below) {
        return std::uniform_int_distribution<std::size_t>{0, below - 1}(random);
    };
    fleet test{10};
    int order = 0;
    for (int step = 0; step < 60; ++step) {
        vm& one = *test.vms[draw(10)];
        switch (draw(9)) {
        case 0:
            test.kill(draw(10));
            break;
        case 1:
        case 2:
            if (const std::size_t i = draw(10); !test.vms[i]->running) {
                test.start(i);
            }
            break;
        case 3:
            one.cut = !one.cut;
            break;
        case 4:
            one.refused = !one.refused;
            break;
        case 5:
            test.store.down = !test.store.down;
            break;
        case 6: {
            const std::size_t side = draw(10);
            test.is_cut = [side](std::size_t a, std::size_t b) { return (a < side) != (b < side); };
            break;
        }
        case 7:
            test.store.write(1, "i-" + std::to_string(draw(4)),
                             draw(3) == 0 ? std::nullopt : std::optional{std::to_string(step)});
            break;
        default:
            test.order(++order);
        }
        test.loop.advance(std::chrono::milliseconds{50 * draw(20)});
    }
    test.order(++order);
    test.store.down = false;
    test.is_cut = [](std::size_t, std::size_t) { return false; };
    for (std::size_t i = 0; i < 10; ++i) {
        test.vms[i]->cut = test.vms[i]->refused = false;
        if (!test.vms[i]->running) {
            test.start(i);
        }
    }
    test.loop.advance(15s);
    std::map<std::string, std::string> expected;
    for (std::size_t topic : {0U, 1U}) {
        for (const keyed_record& record : test.store.topics[topic]) {
            if (record.value) {
                expected[record.key] = *record.value;
            }
            else {
                expected.erase(record.key);
            }
        }
    }
    for (const auto& each : test.vms) {
        CHECK(each->values == expected);
        CHECK(!each->went_back);
    }
    // Readers that were left are asked again after a while.
    test.loop.advance(2 * relay_settings{}.longest_silence);
    CHECK(test.readers().size() == reader_count(10));
}

SCENARIO("hostile messages of peers change nothing")
{
    fleet test{3};
    test.order(1);
    test.loop.advance(10s);
    for (const auto& each : test.vms) {
        each->receiver("10.0.0.9:1", message_kind::relay_status, "\xc1");
        each->receiver("10.0.0.9:1", message_kind::records_pull, "");
        each->receiver("10.0.0.9:1", message_kind::records_topic, "\xc1");
        each->receiver("10.0.0.9:1", message_kind::records_packed, "no compressed bytes");
        each->receiver("10.0.0.9:1", message_kind::records_packed, compress("\xc1"));
        each->receiver("10.0.0.9:1", message_kind::probe, "x");
        // Topics that there are not, and news of a VM that was not asked.
        each->receiver(
            "10.0.0.9:1", message_kind::records_pull,
            encode(records_pull{{{99, true, 0}}, true, true, 0, {{99, "vm/x", ""}, {0, "order", "7"}, {4, "", "x"}}}));
        const std::string news = encode(topic_news{0, true, 0, 99, {{"order", false, "7", 98}}});
        each->receiver("10.0.0.9:1", message_kind::records_topic, news);
        each->receiver("10.0.0.9:1", message_kind::records_packed, compress(news));
    }
    test.loop.advance(1s);
    CHECK(test.behind(1) == 0);
    CHECK(std::all_of(test.vms.begin(), test.vms.end(), [](const auto& each) { return each->last_order == 1; }));
}

SCENARIO("a VM does not trust the word of VMs whose records it can't read")
{
    // Pattern: versions are rolled out VM by VM, and older ones told of themselves and of records in one message.
    constexpr auto older_kind = static_cast<message_kind>(61);
    fleet test{3};
    test.order(1);
    test.loop.advance(10s);
    const auto readers = test.readers();
    REQUIRE(readers.size() == 2);
    for (const std::size_t i : readers) {
        test.kill(i);
        const auto link = test.make_link(i);
        test.vms[i]->receiver = [link](const std::string& from, message_kind kind, std::string_view) {
            if (kind == message_kind::records_pull) {
                link.send(from, older_kind, encode(std::tuple{true, 0, std::vector<topic_news>{}}));
            }
        };
    }
    test.loop.advance(1s);
    test.order(2);
    test.loop.advance(2s);
    CHECK(test.behind(2) == 0);
}

SCENARIO("a row that goes up to a reader is written at once, whatever the reader is about")
{
    // Pattern: a reader that hears the store has nobody to ask, and looks after that several times a second.
    fleet test{9};
    test.order(1);
    test.loop.advance(10s);
    const auto readers = test.readers();
    std::size_t other = 0;
    while (readers.contains(other)) {
        ++other;
    }
    const auto evidence = static_cast<std::size_t>(fleet_topic::evidence);
    const relay_settings times;
    for (int i = 0; i < 40; ++i) {
        const std::string key = "vm/" + std::to_string(i);
        test.vms[other]->relay->write_row(fleet_topic::evidence, {key, "seen", 0});
        test.loop.advance(times.gather_time + link_latency + times.row_gather_time + store_latency + 1ms);
        CAPTURE(i);
        CHECK(test.store.topics[evidence].size() == static_cast<std::size_t>(i + 1));
        test.loop.advance(37ms);
    }
}

SCENARIO("a row without a value is not written, as it would drop its key")
{
    fleet test{3};
    test.order(1);
    test.loop.advance(10s);
    const std::size_t reader = *test.readers().begin();
    const auto evidence = static_cast<std::size_t>(fleet_topic::evidence);
    const std::vector<row_to_write> rows{{static_cast<std::uint8_t>(evidence), "vm/1", "seen"},
                                         {static_cast<std::uint8_t>(evidence), "vm/1", ""}};
    test.vms[reader]->receiver("10.0.0.9:1", message_kind::records_pull,
                               encode(records_pull{{}, false, false, 1, rows}));
    test.loop.advance(1s);
    REQUIRE(test.store.topics[evidence].size() == 1);
    CHECK(test.store.topics[evidence][0].value == "seen");
}

SCENARIO("VMs that left for good leave the list, and those that are away for a while stay in it")
{
    // Pattern: six VMs an hour are replaced under other names; shares of what all may do are computed among the listed.
    fleet test;
    test.relay.renewal_time = 2s;
    test.relay.listing_time = 20s;
    test.relay.judge_interval = 1s;
    for (std::size_t i = 0; i < 9; ++i) {
        test.add(i, "zone-" + std::to_string(i % 3), 100);
        test.start(i);
    }
    test.loop.advance(30s);
    for (const auto& each : test.vms) {
        REQUIRE(each->relay->vms() == 9);
    }
    const std::size_t reader = *test.readers().begin();
    std::size_t gone = 0;
    std::size_t away = 8;
    while (gone == reader) {
        ++gone;
    }
    test.kill(gone);
    test.kill(away);
    test.loop.advance(10s);
    test.start(away);
    test.loop.advance(8s);
    CHECK(test.vms[reader]->relay->vms() == 9);
    test.loop.advance(10s);
    for (std::size_t i = 0; i < 9; ++i) {
        CHECK((i == gone || test.vms[i]->relay->vms() == 8));
    }
    WHEN("the one that was taken for gone comes back")
    {
        test.start(gone);
        test.loop.advance(5s);
        CHECK(test.vms[gone]->relay->vms() == 9);
        CHECK(test.vms[reader]->relay->vms() == 9);
    }
    WHEN("the store is away for longer than rows last")
    {
        test.store.down = true;
        test.loop.advance(60s);
        test.store.down = false;
        test.loop.advance(10s);
        CHECK(test.vms[reader]->relay->vms() == 8);
    }
}
