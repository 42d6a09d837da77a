// Tests of record_relay on a manual event loop: readers stop, are isolated, or lose contact with the store.

#include "relay_fleet.h"

#include <agatespar/wire/compression.h>

#include <catch2/catch.hpp>

#include <random>
#include <tuple>

using namespace agatespar;
using namespace agatespar::relay_test;
using namespace std::chrono_literals;

SCENARIO("a few VMs read the store, and their records reach all VMs within milliseconds")
{
    const std::size_t count = GENERATE(1U, 2U, 9U, 83U);
    CAPTURE(count);
    fleet test{count};
    test.order(1);
    test.loop.advance(10s);
    CHECK(test.vms_behind(1) == 0);
    CHECK(test.readers().size() == std::min(count, reader_count(count)));
    std::map<std::size_t, int> calls;
    for (std::size_t i = 0; i < count; ++i) {
        calls[i] = test.vms[i]->calls;
        CHECK(test.vms[i]->relay->vms() == count);
    }
    test.order(2);
    // In a small fleet every VM pulls from the readers. In a large one an order passes the root of each zone's tree
    // and at most two levels below it.
    const int hops = count <= max_flat_vms ? 1 : 4;
    test.loop.advance(store_latency + hops * (relay_settings{}.batch_delay + link_latency) + 1ms);
    CHECK(test.vms_behind(2) == 0);
    test.loop.advance(20s);
    const auto readers = test.readers();
    for (std::size_t i = 0; i < count; ++i) {
        // VMs that are not readers never call the store again.
        CHECK((readers.contains(i) || test.vms[i]->calls == calls[i]));
    }
}

SCENARIO("after any failure of a reader, orders reach all VMs within the operators' limit of two seconds")
{
    fleet test{40};
    test.order(1);
    test.loop.advance(10s);
    const auto readers = test.readers();
    REQUIRE(readers.size() == reader_count(40));
    const std::size_t victim = *readers.begin();

    SECTION("it stops")
    {
        test.kill(victim);
    }
    SECTION("all readers but one stop at once")
    {
        for (const std::size_t reader : readers) {
            if (reader != victim) {
                test.kill(reader);
            }
        }
    }
    SECTION("all readers stop at once")
    {
        for (const std::size_t reader : readers) {
            test.kill(reader);
        }
    }
    SECTION("the store stops answering it without closing the connection")
    {
        test.vms[victim]->store_unreachable = true;
    }
    SECTION("the store refuses its calls")
    {
        test.vms[victim]->refused = true;
    }
    SECTION("its links to all other VMs fail")
    {
        test.is_link_cut = [victim](std::size_t a, std::size_t b) { return a == victim || b == victim; };
    }
    SECTION("its answers are lost, but it receives the messages of other VMs")
    {
        test.is_link_cut = [victim](std::size_t a, std::size_t) { return a == victim; };
    }
    SECTION("all links between VMs fail")
    {
        test.is_link_cut = [](std::size_t, std::size_t) { return true; };
    }
    test.loop.advance(1ms);
    test.order(2);
    test.loop.advance(1995ms);
    const bool excused = test.vms[victim]->store_unreachable || test.vms[victim]->refused;
    CHECK(test.vms_behind(2) <= (excused ? 1U : 0U));
}

SCENARIO("VMs whose calls the store refuses receive its records from other VMs")
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
    CHECK(test.vms_behind(2) == 0);
}

SCENARIO("a restarted VM receives all records from other VMs with at most two calls of the store")
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

SCENARIO("during an outage of the store VMs poll the leading topics only, and read all topics afterwards")
{
    // Guards against every VM of a large fleet polling an unavailable store for each topic.
    fleet test{20};
    test.order(1);
    test.loop.advance(10s);
    test.store.down = true;
    for (const auto& each : test.vms) {
        each->calls = 0;
    }
    test.loop.advance(10s);
    constexpr int leading_topics = 2;
    // Retry delays of 0.1, 0.2, 0.4 and 0.8 s, then of 1 s each. The other topics are read once, as the outage begins.
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
    test.loop.advance(3 * relay_settings{}.max_exclusion);
    for (const auto& each : test.vms) {
        for (const auto& follower : each->followers) {
            CHECK(follower->is_reachable());
        }
    }
}

SCENARIO("after an outage VMs learn that the store is reachable before they receive what changed meanwhile")
{
    // The entries of running servers expire during an outage of the store and are restored after it. A VM that took an
    // expired entry for a removed server would refuse requests until the entry is restored.
    const auto servers = static_cast<std::size_t>(fleet_topic::servers);
    fleet test{60};
    test.order(1);
    for (int i = 0; i < 8; ++i) {
        test.store.write(servers, "server-" + std::to_string(i), "ready");
    }
    test.loop.advance(10s);
    REQUIRE(test.vms_lacking(servers) == 0);
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
        CHECK(each->deleted_while_unreachable.empty());
        // No VM dates the start of the outage much too late, which would make the outage look too short to matter.
        REQUIRE(each->lost_at[servers]);
        CHECK(*each->lost_at[servers] <= lost_at + 2 * store_latency);
    }
}

SCENARIO("after a power loss of all VMs each has all records again a tenth of a second after it starts")
{
    // Traffic continues during the restart, and every request is refused until a VM has the records.
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
    CHECK(test.vms_behind(1) == 0);
}

SCENARIO("after random faults all VMs have the same records, and none has reverted to an older order")
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
            one.store_unreachable = !one.store_unreachable;
            break;
        case 4:
            one.refused = !one.refused;
            break;
        case 5:
            test.store.down = !test.store.down;
            break;
        case 6: {
            const std::size_t side = draw(10);
            test.is_link_cut = [side](std::size_t a, std::size_t b) { return (a < side) != (b < side); };
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
    test.is_link_cut = [](std::size_t, std::size_t) { return false; };
    for (std::size_t i = 0; i < 10; ++i) {
        test.vms[i]->store_unreachable = test.vms[i]->refused = false;
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
        CHECK(!each->order_regressed);
    }
    // Abandoned readers are used again after their exclusion has ended.
    test.loop.advance(2 * relay_settings{}.max_exclusion);
    CHECK(test.readers().size() == reader_count(10));
}

/// Writes records, and takes the store away for a time. @return the calls of the store in the four seconds after it.
static int play_outage(fleet& test, duration away, bool restarts_one, std::size_t lost_records)
{
    test.loop.advance(10s);
    for (int number = 1; number <= 9; ++number) {
        test.order(number);
        test.store.write(1, "i-" + std::to_string(number), "ready");
        test.loop.advance(300ms);
    }
    test.store.stop();
    test.loop.advance(away);
    if (restarts_one) {
        test.kill(test.vms.size() - 1);
        test.start(test.vms.size() - 1);
    }
    const int calls = test.calls();
    test.store.down = false;
    if (lost_records > 0) {
        test.store.restore(lost_records);
    }
    test.loop.advance(4s);
    return test.calls() - calls;
}

// Guards against VMs that are supplied by others and take no later record after the store came back from an older copy.
SCENARIO("after the store was restored from an older copy, orders reach all VMs, and none goes back to an older one")
{
    const std::size_t count = GENERATE(1U, 3U, 6U, 40U);
    const std::size_t lost_records = GENERATE(1U, 3U, 30U);
    const duration away = GENERATE(200ms, 1000ms, 5000ms);
    const bool restarts_one = GENERATE(false, true);
    const bool restores_again = GENERATE(false, true);
    CAPTURE(count, lost_records, away.count(), restarts_one, restores_again);
    fleet test{count};
    const int calls = play_outage(test, away, restarts_one, lost_records);
    fleet without_loss{count};
    CHECK(calls <= 3 * play_outage(without_loss, away, restarts_one, 0));
    if (restores_again) {
        test.store.stop();
        test.loop.advance(300ms);
        test.store.restore(lost_records);
        test.loop.advance(3s);
    }
    test.order(10);
    test.store.write(1, "i-9", "leaving");
    test.loop.advance(1995ms);
    CHECK(test.vms_behind(10) == 0);
    CHECK(test.vms_lacking(1) == 0);
    CHECK(std::none_of(test.vms.begin(), test.vms.end(), [](const auto& each) { return each->order_regressed; }));
    test.loop.advance(10s);
    CHECK(test.vms.front()->relay->vms() == count);
    CHECK(test.readers().size() == std::min(count, reader_count(count)));
}

// Guards against VMs that cannot talk to each other, and evidence that VMs which start later lack, after the store came
// back from a copy without the system's own records.
SCENARIO("the secret, the list of VMs and rows of evidence are written again after the store was restored without them")
{
    constexpr auto list = static_cast<std::size_t>(fleet_topic::vms);
    constexpr auto evidence = static_cast<std::size_t>(fleet_topic::evidence);
    const auto stored = [](const fleet& in, std::size_t topic, const std::string& key) {
        std::optional<std::string> value;
        for (const keyed_record& record : in.store.topics[topic]) {
            value = record.key == key ? record.value : value;
        }
        return value;
    };
    const std::size_t count = GENERATE(1U, 3U, 40U);
    CAPTURE(count);
    fleet test{count};
    test.loop.advance(10s);
    const auto secret = stored(test, list, shared_secret_key);
    REQUIRE(secret);
    test.vms[0]->relay->write_row(fleet_topic::evidence, {"vm-0/service", "counts", 0});
    test.loop.advance(5s);
    REQUIRE(stored(test, evidence, "vm-0/service") == "counts");

    test.store.stop();
    test.loop.advance(500ms);
    test.store.restore(1000);
    REQUIRE(!stored(test, list, shared_secret_key));
    test.loop.advance(5s);
    CHECK(stored(test, list, shared_secret_key) == secret);
    CHECK(stored(test, evidence, "vm-0/service") == "counts");
    for (std::size_t i = 0; i < count; ++i) {
        CHECK(stored(test, list, vm_record_key(test.vms[i]->self.name)));
        CHECK(test.vms[i]->relay->vms() == count);
    }
}

/// @return bytes that cannot be compressed.
static std::string random_bytes(std::mt19937_64& random, std::size_t size)
{
    std::string bytes;
    while (bytes.size() < size) {
        bytes.push_back(static_cast<char>(random()));
    }
    return bytes;
}

// Guards against a snapshot that is larger than a frame, is refused by its receiver each time, and hides all later
// records from it.
SCENARIO("a topic that does not fit into one frame reaches VMs that are behind, and VMs that start")
{
    const std::size_t value_bytes = GENERATE(16U * 1024U, 240U * 1024U, 262'000U);
    CAPTURE(value_bytes);
    fleet test{5};
    test.order(1);
    test.loop.advance(10s);
    std::mt19937_64 random{7};
    const std::size_t count = (6U << 20U) / value_bytes;
    for (std::size_t i = 0; i < count; ++i) {
        test.store.write(1, "foreign-" + std::to_string(i), random_bytes(random, value_bytes));
    }
    test.store.write(1, "i-1", "leaving");
    test.loop.advance(1990ms);
    CHECK(test.vms_lacking(1) == 0);
    test.kill(4);
    test.start(4);
    test.kill(3);
    test.start(3);
    test.loop.advance(1990ms);
    CHECK(test.vms_lacking(1) == 0);
    test.store.write(1, "i-2", "leaving");
    test.loop.advance(100ms);
    CHECK(test.vms_lacking(1) == 0);
    for (const auto& each : test.vms) {
        CHECK(each->refused_frames == 0);
    }
}

/// @return the index of a VM that other VMs supply, and the address of one that supplies it.
static std::pair<std::size_t, std::string> supplied_vm(const fleet& in)
{
    const auto readers = in.readers();
    std::size_t supplied = 0;
    while (readers.contains(supplied)) {
        ++supplied;
    }
    return {supplied, fleet::address_of(*readers.begin())};
}

SCENARIO("parts of a snapshot that are malformed, or of another snapshot, change nothing")
{
    fleet test{5};
    test.order(1);
    test.store.write(1, "i-1", "ready");
    test.loop.advance(10s);
    const auto [supplied, sender] = supplied_vm(test);
    vm& receiving = *test.vms[supplied];
    const auto send = [&receiving, &sender = sender](std::uint32_t index, std::uint32_t count, std::uint64_t end,
                                                     const std::string& key) {
        const snapshot_part part{index, count, {1, true, 0, end, {{key, false, "ready", end - 1}}, 1}};
        receiving.receiver(sender, message_kind::records_part, compress(encode(part)));
    };
    const std::map<std::string, std::string> before = receiving.values;
    send(0, 2, 90, "first");
    send(1, 2, 91, "of another end");
    send(0, 3, 91, "of another count");
    send(2, 2, 91, "beyond the count");
    send(0, 0, 91, "of none");
    send(0, 1U << 31U, 91, "of too many");
    receiving.receiver(sender, message_kind::records_part, "no compressed bytes");
    receiving.receiver(sender, message_kind::records_part, compress("\xc1"));
    CHECK(receiving.values == before);
    WHEN("all parts of one snapshot have arrived, in any order, it is applied")
    {
        send(1, 2, 92, "second");
        send(0, 2, 92, "first");
        CHECK(receiving.values.contains("first"));
        CHECK(receiving.values.contains("second"));
        CHECK(!receiving.values.contains("i-1"));
    }
}

// Guards against VMs that ignore the records of VMs of an earlier version, which state no era.
SCENARIO("records of a VM of an earlier version count as of the receiver's era")
{
    fleet test{5};
    test.store.write(1, "i-1", "ready");
    test.loop.advance(10s);
    const auto [supplied, sender] = supplied_vm(test);
    vm& receiving = *test.vms[supplied];
    const std::uint64_t end = receiving.followers[1]->end();
    const topic_update changes{1, false, end, end + 1, {{"i-2", false, "ready", end}}, 0};
    receiving.receiver(sender, message_kind::records_topic, encode(changes));
    CHECK(receiving.values.contains("i-2"));
    const topic_update snapshot{1, true, 0, end + 9, {{"i-3", false, "ready", end + 8}}, 0};
    receiving.receiver(sender, message_kind::records_topic, encode(snapshot));
    CHECK(receiving.values.contains("i-3"));
    CHECK(!receiving.values.contains("i-1"));

    WHEN("such a VM pulls, it gets changes, and not the same snapshot again and again")
    {
        vm& supplying = *test.vms[test.index_of(sender)];
        records_pull pull;
        pull.positions = {{1, true, supplying.followers[1]->end()}};
        pull.wants_push = true;
        const std::size_t bytes = supplying.bytes_sent;
        test.is_link_cut = [&test, to = supplied, from = test.index_of(sender)](std::size_t a, std::size_t b) {
            return a != from || b != to;
        };
        supplying.receiver(fleet::address_of(supplied), message_kind::records_pull, encode(pull));
        // Its state only.
        CHECK(supplying.bytes_sent - bytes < 2 * frame_bytes);
    }
}

SCENARIO("malformed and unsolicited messages of other VMs change nothing")
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
        // Topics that do not exist, and updates from a VM that was not sent a pull request.
        each->receiver(
            "10.0.0.9:1", message_kind::records_pull,
            encode(records_pull{{{99, true, 0}}, true, true, 0, {{99, "vm/x", ""}, {0, "order", "7"}, {4, "", "x"}}}));
        const std::string update = encode(topic_update{0, true, 0, 99, {{"order", false, "7", 98}}});
        each->receiver("10.0.0.9:1", message_kind::records_topic, update);
        each->receiver("10.0.0.9:1", message_kind::records_packed, compress(update));
    }
    test.loop.advance(1s);
    CHECK(test.vms_behind(1) == 0);
    CHECK(std::all_of(test.vms.begin(), test.vms.end(), [](const auto& each) { return each->last_order == 1; }));
}

SCENARIO("a VM does not regard VMs whose records it can't decode as up to date")
{
    // Versions are rolled out VM by VM. Older versions send their status and their records in a single message.
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
                link.send(from, older_kind, encode(std::tuple{true, 0, std::vector<topic_update>{}}));
            }
        };
    }
    test.loop.advance(1s);
    test.order(2);
    test.loop.advance(2s);
    CHECK(test.vms_behind(2) == 0);
}

SCENARIO("a row that is forwarded to a reader is written at once, whatever state the reader is in")
{
    // A reader that has contact with the store has no upstreams. Its periodic check, which runs several times a second,
    // must not delay the row.
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
        test.loop.advance(times.batch_delay + link_latency + times.row_batch_delay + store_latency + 1ms);
        CAPTURE(i);
        CHECK(test.store.topics[evidence].size() == static_cast<std::size_t>(i + 1));
        test.loop.advance(37ms);
    }
}

SCENARIO("a row without a value is not written, as it would delete its key")
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

SCENARIO("removed VMs are deleted from the list, and VMs that are down for a short time stay in it")
{
    // Six VMs an hour are replaced by VMs with other names. Each listed VM gets a share of the fleet's limits, so rows
    // of removed VMs would make the shares too small.
    fleet test;
    test.relay.row_renewal_interval = 2s;
    test.relay.vm_row_lifetime = 20s;
    test.relay.row_expiry_check_interval = 1s;
    for (std::size_t i = 0; i < 9; ++i) {
        test.add(i, "zone-" + std::to_string(i % 3), 100);
        test.start(i);
    }
    test.loop.advance(30s);
    for (const auto& each : test.vms) {
        REQUIRE(each->relay->vms() == 9);
    }
    const std::size_t reader = *test.readers().begin();
    std::size_t removed_vm = 0;
    std::size_t stopped_vm = 8;
    while (removed_vm == reader) {
        ++removed_vm;
    }
    test.kill(removed_vm);
    test.kill(stopped_vm);
    test.loop.advance(10s);
    test.start(stopped_vm);
    test.loop.advance(8s);
    CHECK(test.vms[reader]->relay->vms() == 9);
    test.loop.advance(10s);
    for (std::size_t i = 0; i < 9; ++i) {
        CHECK((i == removed_vm || test.vms[i]->relay->vms() == 8));
    }
    WHEN("the VM that was regarded as removed starts again")
    {
        test.start(removed_vm);
        test.loop.advance(5s);
        CHECK(test.vms[removed_vm]->relay->vms() == 9);
        CHECK(test.vms[reader]->relay->vms() == 9);
    }
    WHEN("an outage of the store lasts longer than the lifetime of rows")
    {
        test.store.down = true;
        test.loop.advance(60s);
        test.store.down = false;
        test.loop.advance(10s);
        CHECK(test.vms[reader]->relay->vms() == 8);
    }
}
