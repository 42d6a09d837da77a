// Tests of topic_follower on a manual event loop: the store answers, fails, discards old records, or changes between
// pages.
#include "fake_topic.h"

#include <agatespar/gateway/gateway.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace agatespar;
using namespace agatespar::follower_test;
using namespace std::chrono_literals;

SCENARIO("a follower reports the newest records, then each change once")
{
    fake_topic topic;
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        topic.write(key, "1");
    }
    topic.write("b", std::nullopt);
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    follower.set_reading(true);
    WHEN("a record changes between two pages")
    {
        topic.after_first_page = [&topic] {
            topic.write("a", "2");
            topic.write("e", std::nullopt);
        };
    }
    topic.loop.advance(100ms);
    REQUIRE(recorded.complete);
    topic.write("f", "1");
    topic.write("c", std::nullopt);
    topic.loop.advance(100ms);
    strings expected;
    for (const auto& record : topic.log) {
        if (record.value) {
            expected[record.key] = *record.value;
        }
        else {
            expected.erase(record.key);
        }
    }
    CHECK(recorded.values == expected);
    CHECK(std::count(recorded.lines.begin(), recorded.lines.end(), "f=1") == 1);
    CHECK(follower.end() == topic.log.size());

    WHEN("nothing changes, the store holds a single read open")
    {
        topic.loop.advance(1500ms);
        const int calls = topic.calls;
        topic.loop.advance(20s);
        CHECK(topic.calls == calls);
    }
    WHEN("the store discards its history while keys are added and removed")
    {
        topic.down = true;
        topic.write("f", std::nullopt);
        topic.write("g", "1");
        topic.loop.advance(1s);
        CHECK(!recorded.reachable);
        topic.first = topic.log.size();
        topic.down = false;
        topic.loop.advance(2s);
        CHECK(recorded.reachable);
        CHECK(!recorded.values.contains("f"));
        CHECK(recorded.values.contains("g"));
    }
}

SCENARIO("a record that is written while the first page is in flight is not missed")
{
    // A VM starts while the store is slow, and the operator writes at that moment. The store's answer has the records
    // from before the write, but the end offset from after it.
    fake_topic topic;
    topic.page_size = 10;
    topic.write("config", "1");
    topic.after_first_page = [&topic] { topic.write("config", "2"); };
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::operator_orders), recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(1s);
    CHECK(recorded.values == strings{{"config", "2"}});
}

SCENARIO("a read that a slow store holds open despite a new record is repeated soon")
{
    // A VM reads while the store is slow, and the operator writes right after; the write does not complete the read.
    fake_topic topic;
    topic.write("config", "1");
    topic.latency = 240ms;
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::operator_orders), recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(200ms);
    topic.skips_wakeups = true;
    topic.write("config", "2");
    topic.loop.advance(1500ms);
    CHECK(recorded.values == strings{{"config", "2"}});
    WHEN("it stays slow, no read has a long wait")
    {
        topic.loop.advance(10s);
        topic.write("config", "3");
        topic.loop.advance(1500ms);
        CHECK(recorded.values == strings{{"config", "3"}});
    }
}

// Guards against a server that gets requests after it has said that it leaves, as the read of its entry was not
// answered.
SCENARIO("a record that the store does not answer a held read with is known within the operators' bounds")
{
    // Two seconds for configurations and leaving servers, five for the roll-back of a bad version.
    const auto [name, bound] =
        GENERATE(std::pair{fleet_topic::operator_orders, 2s}, std::pair{fleet_topic::servers, 2s},
                 std::pair{fleet_topic::reports, 5s}, std::pair{fleet_topic::evidence, 5s});
    fake_topic topic;
    topic.write("server", "ready");
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, make_follower_settings(name, gateway_settings{}),
                            recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(20s);
    topic.skips_wakeups = true;
    topic.write("server", "draining");
    topic.loop.advance(bound - 100ms);
    CHECK(recorded.values == strings{{"server", "draining"}});
}

// Guards against orders and leaving servers that come after a silence of the store and are known too late.
SCENARIO("records that are written after a silence of the store are known within the operators' bounds")
{
    const fleet_topic name = GENERATE(fleet_topic::operator_orders, fleet_topic::servers);
    const duration silence = GENERATE(800ms, 3300ms, 9s);
    fake_topic topic;
    topic.write("config", "1");
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, make_follower_settings(name, gateway_settings{}),
                            recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(6s);
    topic.down = true;
    topic.loop.advance(silence);
    topic.down = false;
    for (const char* version : {"2", "3"}) {
        topic.loop.advance(3700ms);
        topic.write("config", version);
        topic.loop.advance(1900ms);
        CHECK(recorded.values == strings{{"config", version}});
    }
}

SCENARIO("a follower starts on a topic whose old records were discarded and whose keys were all removed")
{
    fake_topic topic;
    topic.write("a", "1");
    topic.write("a", std::nullopt);
    topic.first = 2;
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(2s);
    const int calls = topic.calls;
    topic.loop.advance(20s);
    CHECK(topic.calls == calls);
    topic.write("b", "1");
    topic.loop.advance(100ms);
    CHECK(recorded.values == strings{{"b", "1"}});
}

SCENARIO("a follower detects at once that the store has recovered, even if nothing has changed")
{
    fake_topic topic;
    topic.write("a", "1");
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(100ms);
    topic.down = true;
    std::exchange(topic.held_read, nullptr)();
    topic.loop.advance(3s);
    CHECK(!recorded.reachable);
    // About one call per second while the store is down.
    const int calls = topic.calls;
    topic.loop.advance(10s);
    CHECK(topic.calls - calls <= 11);
    topic.down = false;
    topic.loop.advance(1100ms);
    CHECK(recorded.reachable);
    topic.loop.advance(1100ms);
    CHECK(topic.waits.back() == 30s);
    CHECK(recorded.lines == std::vector<std::string>{"a=1"});
}

SCENARIO("a follower that starts while the store is down is complete once it has read all records")
{
    fake_topic topic;
    topic.write("a", "1");
    topic.down = true;
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(5s);
    CHECK(!recorded.complete);
    topic.down = false;
    topic.loop.advance(2s);
    CHECK(recorded.complete);
    CHECK(recorded.values == strings{{"a", "1"}});
}

SCENARIO("an answer that arrives after the follower's destruction is ignored")
{
    fake_topic topic;
    change_recorder recorded;
    {
        topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
        follower.set_reading(true);
    }
    topic.loop.advance(1s);
    CHECK(!recorded.complete);
}

SCENARIO("records from another VM are applied without gaps, and never restore removed keys")
{
    fake_topic topic;
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    // Changes are ignored until the newest records have been read or received.
    follower.apply_changes(store_era{}, 0, 1, {{"a", "1", 0}});
    CHECK(!recorded.complete);
    follower.apply_newest(store_era{}, 4, {{"a", "1", 0}, {"b", "2", 3}});
    CHECK(recorded.complete);
    CHECK(follower.end() == 4);
    CHECK(recorded.values == strings{{"a", "1"}, {"b", "2"}});

    WHEN("changes follow, some of which were reported before")
    {
        follower.apply_changes(store_era{}, 2, 6, {{"b", "2", 3}, {"a", std::nullopt, 4}, {"c", "3", 5}});
        CHECK(recorded.values == strings{{"b", "2"}, {"c", "3"}});
        CHECK(follower.end() == 6);
        AND_WHEN("a VM that is behind forwards its records")
        {
            follower.apply_newest(store_era{}, 4, {{"a", "1", 0}, {"b", "2", 3}});
            follower.apply_changes(store_era{}, 0, 1, {{"a", "1", 0}});
            CHECK(recorded.values == strings{{"b", "2"}, {"c", "3"}});
            CHECK(follower.end() == 6);
        }
        AND_WHEN("a VM requests the changes since an offset")
        {
            const auto changes = follower.changes_since(5);
            REQUIRE(changes);
            REQUIRE(changes->size() == 1);
            CHECK(changes->front().key == "c");
            CHECK(!follower.changes_since(3));
            CHECK(follower.newest().size() == 2);
        }
    }
    WHEN("changes in between are missing, later ones are not applied")
    {
        follower.apply_changes(store_era{}, 5, 6, {{"c", "3", 5}});
        CHECK(recorded.values == strings{{"a", "1"}, {"b", "2"}});
        AND_WHEN("all newest records arrive, the keys that they lack are removed")
        {
            follower.apply_newest(store_era{}, 6, {{"a", "1", 0}, {"c", "3", 5}});
            CHECK(recorded.values == strings{{"a", "1"}, {"c", "3"}});
        }
    }
    WHEN("reading is enabled, it reads the store at once, from its present offset")
    {
        for (const char* key : {"a", "x", "x", "b", "d"}) {
            topic.write(key, "9");
        }
        follower.set_reading(true);
        CHECK(topic.waits == std::vector<std::chrono::milliseconds>{0ms});
        topic.loop.advance(10ms);
        CHECK(recorded.values == strings{{"a", "1"}, {"b", "2"}, {"d", "9"}});
        AND_WHEN("reading is disabled, the read in flight is the last one")
        {
            follower.set_reading(false);
            topic.loop.advance(60s);
            const int calls = topic.calls;
            topic.write("e", "5");
            topic.loop.advance(60s);
            CHECK(topic.calls == calls);
        }
    }
}

SCENARIO("a read that is answered after other VMs' later records does not restore keys that these removed")
{
    fake_topic topic;
    topic.write("a", "1");
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(5s);
    REQUIRE(recorded.values == strings{{"a", "1"}});
    topic.write("b", "2");
    // The store's answer with "b" is in flight when another VM reports that "b" was added and removed.
    follower.apply_changes(store_era{}, 1, 3, {{"b", "2", 1}, {"b", std::nullopt, 2}});
    topic.loop.advance(10ms);
    CHECK(recorded.values == strings{{"a", "1"}});
}

// Guards against other VMs that never learn of a change, such as of a server that drains: the change was already known
// from a later page when the log was read, and was left out of the history that is forwarded to them.
SCENARIO("a VM that has read the newest records in several pages forwards the changes that its later pages held")
{
    fake_topic topic;
    for (const char* key : {"a", "b", "c", "d"}) {
        topic.write(key, "1");
    }
    change_recorder other_recorded;
    topic_follower other{topic.loop, topic.store, follow(fleet_topic::servers), other_recorded.callbacks()};
    other.apply_newest(store_era{}, 4, {{"a", "1", 0}, {"b", "1", 1}, {"c", "1", 2}, {"d", "1", 3}});

    topic.after_first_page = [&topic] { topic.write("d", "draining"); };
    change_recorder recorded;
    topic_follower restarted{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    restarted.set_reading(true);
    topic.loop.advance(100ms);
    REQUIRE(recorded.values["d"] == "draining");
    REQUIRE(restarted.end() == 5);

    const auto changes = restarted.changes_since(other.end());
    REQUIRE(changes);
    other.apply_changes(store_era{}, other.end(), restarted.end(), *changes);
    CHECK(other.end() == 5);
    CHECK(other_recorded.values["d"] == "draining");
    // Each change is reported once, whichever way it became known.
    CHECK(std::count(recorded.lines.begin(), recorded.lines.end(), "d=draining") == 1);
}

// Guards against a claim of completeness made from pages that were never read to their end.
SCENARIO("a VM whose read of the newest records was broken off does not claim the offset that its first page reached")
{
    fake_topic topic;
    for (const char* key : {"a", "b", "c", "d"}) {
        topic.write(key, "1");
    }
    const std::uint64_t older_end = topic.log.size();
    topic.write("d", "draining");
    topic.write("a", "2");
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    topic.after_first_page = [&topic] { topic.down = true; };
    follower.set_reading(true);
    topic.loop.advance(10ms);
    REQUIRE(!follower.is_gap_free());
    REQUIRE(recorded.values == strings{{"a", "2"}, {"b", "1"}});

    follower.apply_newest(store_era{}, older_end, {{"a", "1", 0}, {"b", "1", 1}, {"c", "1", 2}, {"d", "1", 3}});
    CHECK(follower.end() == older_end);
    topic.down = false;
    topic.loop.advance(2s);
    CHECK(recorded.values == strings{{"a", "2"}, {"b", "1"}, {"c", "1"}, {"d", "draining"}});
}

// Guards against removed keys, such as revoked ones, that are in use again: a VM whose history had a gap took over
// records of another VM that was further behind.
SCENARIO("records that are older than those held do not restore removed keys, even after a gap")
{
    fake_topic topic;
    change_recorder recorded;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), recorded.callbacks()};
    follower.apply_newest(store_era{}, 2, {{"a", "1", 0}, {"b", "1", 1}});
    follower.apply_changes(store_era{}, 2, 3, {{"b", std::nullopt, 2}});
    for (int i = 0; i < 6; ++i) {
        topic.write("a", std::to_string(i));
    }
    topic.write("c", "1");
    topic.first = 5;
    topic.page_size = 1;
    topic.after_first_page = [&topic] { topic.down = true; };
    follower.set_reading(true);
    topic.loop.advance(10ms);
    REQUIRE(!follower.is_gap_free());

    follower.apply_newest(store_era{}, 2, {{"a", "1", 0}, {"b", "1", 1}});
    CHECK(!recorded.values.contains("b"));
}

/// @return for each key of a log the offset of its newest record, of records before an end.
static std::map<std::string, std::uint64_t> newest_offsets(const std::vector<keyed_record>& log, std::uint64_t end)
{
    std::map<std::string, std::uint64_t> offsets;
    for (std::uint64_t i = 0; i < end; ++i) {
        offsets[log[i].key] = i;
    }
    return offsets;
}

/// Checks that a follower without a gap holds, for each key, a state at least as new as the last one before its end.
static void check_no_change_is_missing(const fake_topic& topic, const topic_follower& follower)
{
    if (!follower.is_gap_free()) {
        return;
    }
    std::map<std::string, std::uint64_t> held;
    for (const keyed_record& record : follower.newest()) {
        held[record.key] = record.offset;
    }
    REQUIRE(follower.end() <= topic.log.size());
    for (const auto& [key, offset] : newest_offsets(topic.log, follower.end())) {
        CAPTURE(key, offset, follower.end());
        const bool is_deleted = !topic.log[offset].value;
        if (const auto found = held.find(key); found != held.end()) {
            CHECK((is_deleted ? found->second > offset : found->second >= offset));
            continue;
        }
        const auto is_later_deletion = [&wanted = key](const keyed_record& record) {
            return record.key == wanted && !record.value;
        };
        CHECK(std::any_of(topic.log.begin() + static_cast<std::ptrdiff_t>(offset), topic.log.end(), is_later_deletion));
    }
}

// Guards against any order of pages, writes between pages, outages, discarded history, hand-over between VMs and
// restarts after which a VM claims an offset without all records before it.
SCENARIO("no VM claims an offset without every change before it, in any order of reads, hand-overs and restarts")
{
    const int seed = GENERATE(range(1, 201));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    fake_topic topic;
    topic.page_size = 1 + draw(4);
    constexpr std::size_t vm_count = 4;
    follower_settings settings = follow(fleet_topic::servers);
    settings.wait = 0ms;
    settings.short_wait = 0ms;
    settings.poll_interval = 3ms;
    std::array<change_recorder, vm_count> recorded;
    std::array<std::unique_ptr<topic_follower>, vm_count> vms;
    const auto restart = [&](std::size_t vm) {
        vms[vm].reset();
        recorded[vm] = {};
        vms[vm] = std::make_unique<topic_follower>(topic.loop, topic.store, settings, recorded[vm].callbacks());
        vms[vm]->set_reading(vm < 2);
    };
    const auto hand_over = [&](const topic_follower& from, topic_follower& to) {
        if (!from.is_gap_free()) {
            return;
        }
        const auto changes = to.is_gap_free() ? from.changes_since(to.end()) : std::nullopt;
        if (changes) {
            to.apply_changes(store_era{}, to.end(), from.end(), *changes);
            return;
        }
        to.apply_newest(store_era{}, from.end(), from.newest());
    };
    for (std::size_t vm = 0; vm < vm_count; ++vm) {
        restart(vm);
    }
    for (int step = 0; step < 300; ++step) {
        const std::uint64_t action = draw(20);
        if (action < 9) {
            const std::string key(1, static_cast<char>('a' + draw(9)));
            topic.write(key, draw(4) == 0 ? std::nullopt : std::optional{std::to_string(step)});
        }
        else if (action < 14) {
            hand_over(*vms[draw(vm_count)], *vms[draw(vm_count)]);
        }
        else if (action == 14) {
            restart(draw(vm_count));
        }
        else if (action == 15) {
            topic.down = !topic.down;
        }
        else if (action == 16 && !topic.log.empty()) {
            topic.first = std::max<std::uint64_t>(topic.first, draw(topic.log.size()));
        }
        topic.loop.advance(std::chrono::milliseconds{draw(3)});
        for (const auto& vm : vms) {
            check_no_change_is_missing(topic, *vm);
        }
    }
    topic.down = false;
    topic.loop.advance(10s);
    hand_over(*vms[0], *vms[2]);
    hand_over(*vms[1], *vms[3]);
    for (std::size_t vm = 0; vm < vm_count; ++vm) {
        CHECK(recorded[vm].values == recorded[0].values);
        CHECK(vms[vm]->end() == topic.log.size());
    }
}

// Guards against values of other writers that take the VMs' memory and links.
SCENARIO("a value beyond the topic's limit counts as the removal of its key")
{
    fake_topic topic;
    topic.write("a", "1");
    topic.write("large", std::string(11, 'x'));
    change_recorder recorded;
    follower_settings settings = follow(fleet_topic::servers);
    settings.max_value_bytes = 10;
    topic_follower follower{topic.loop, topic.store, settings, recorded.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(100ms);
    CHECK(recorded.values == strings{{"a", "1"}});
    topic.write("a", std::string(11, 'x'));
    topic.write("b", std::string(10, 'x'));
    topic.loop.advance(100ms);
    CHECK(recorded.values == strings{{"b", std::string(10, 'x')}});
    CHECK(follower.newest().size() == 1);
    CHECK(follower.end() == topic.log.size());
    const auto changes = follower.changes_since(2);
    REQUIRE(changes);
    CHECK(!changes->front().value);
}
