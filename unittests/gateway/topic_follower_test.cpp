// Tests of following a topic on a manual loop, while the store answers, fails, forgets, and changes between pages.
#include <agatespar/gateway/topic_follower.h>
#include <agatespar/kernel/manual_event_loop.h>

#include <catch2/catch.hpp>

#include <map>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

/// A keyed topic whose answers the test can hold back or refuse.
struct fake_topic {
    manual_event_loop loop;
    fleet_store store{};
    std::vector<keyed_record> log;
    std::uint64_t first{0};
    std::size_t page_size{2};
    bool down{false};
    int calls{0};
    std::vector<std::chrono::milliseconds> waits;
    std::function<void()> held_read;
    int held_count{0};
    duration latency{0};
    /// The store does not wake the reads that wait.
    bool deaf{false};
    std::function<void()> after_first_page;

    fake_topic()
    {
        store.read_newest = [this](fleet_topic, const std::string& after,
                                   const fleet_store::callback<newest_page>& callback) {
            ++calls;
            loop.schedule(1ms, [this, after, callback] { callback(newest(after)); });
        };
        store.read_from = [this](fleet_topic, std::uint64_t from, std::chrono::milliseconds wait,
                                 const fleet_store::callback<log_stretch>& callback) {
            ++calls;
            waits.push_back(wait);
            answer_read(from, wait, callback);
        };
    }
    void answer_read(std::uint64_t from, std::chrono::milliseconds wait,
                     const fleet_store::callback<log_stretch>& callback)
    {
        if (!down && from >= log.size() && wait > 0ms) {
            const int read = ++held_count;
            held_read = [this, from, callback] { answer_read(from, 0ms, callback); };
            loop.schedule(wait + latency, [this, read] {
                if (held_read && held_count == read) {
                    std::exchange(held_read, nullptr)();
                }
            });
            return;
        }
        loop.schedule(1ms, [this, from, callback] { callback(stretch(from)); });
    }
    outcome<newest_page> newest(const std::string& after)
    {
        if (down) {
            return failure(error_code::unavailable, "down");
        }
        std::map<std::string, keyed_record> newest;
        for (std::size_t i = 0; i < log.size(); ++i) {
            newest[log[i].key] = {log[i].key, log[i].value, i};
        }
        newest_page page;
        for (const auto& [key, record] : newest) {
            if (!record.value || key <= after) {
                continue;
            }
            if (page.records.size() == page_size) {
                page.more = true;
                break;
            }
            page.records.push_back(record);
        }
        if (after.empty() && after_first_page) {
            std::exchange(after_first_page, nullptr)();
        }
        return page;
    }
    outcome<log_stretch> stretch(std::uint64_t from)
    {
        if (down) {
            return failure(error_code::unavailable, "down");
        }
        log_stretch read;
        read.lost = from < first;
        read.first = first;
        for (std::uint64_t i = from; i < log.size() && !read.lost; ++i) {
            read.records.push_back({log[i].key, log[i].value, i});
        }
        read.end = log.size();
        return read;
    }
    void write(const std::string& key, std::optional<std::string> value)
    {
        log.push_back({key, std::move(value), 0});
        if (held_read && !deaf) {
            std::exchange(held_read, nullptr)();
        }
    }
};

/// What a follower told.
struct told {
    std::map<std::string, std::string> values;
    std::vector<std::string> lines;
    bool complete{false};
    bool reachable{true};

    follower_callbacks callbacks()
    {
        follower_callbacks made;
        made.changed = [this](const keyed_record& record) {
            lines.push_back(record.key + "=" + record.value.value_or("-"));
            if (record.value) {
                values[record.key] = *record.value;
            }
            else {
                values.erase(record.key);
            }
        };
        made.complete = [this] { complete = true; };
        made.reachable = [this](bool now, const std::string&, steady_time) { reachable = now; };
        return made;
    }
};

using strings = std::map<std::string, std::string>;

} // namespace

static follower_settings follow(fleet_topic topic)
{
    follower_settings settings;
    settings.topic = topic;
    settings.wait = 30s;
    return settings;
}

SCENARIO("a follower learns the newest records, then each change once")
{
    fake_topic topic;
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        topic.write(key, "1");
    }
    topic.write("b", std::nullopt);
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), seen.callbacks()};
    follower.set_reading(true);
    WHEN("a record changes between two pages")
    {
        topic.after_first_page = [&topic] {
            topic.write("a", "2");
            topic.write("e", std::nullopt);
        };
    }
    topic.loop.advance(100ms);
    REQUIRE(seen.complete);
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
    CHECK(seen.values == expected);
    CHECK(std::count(seen.lines.begin(), seen.lines.end(), "f=1") == 1);
    CHECK(follower.end() == topic.log.size());

    WHEN("nothing changes, one call waits at the store")
    {
        topic.loop.advance(1500ms);
        const int calls = topic.calls;
        topic.loop.advance(20s);
        CHECK(topic.calls == calls);
    }
    WHEN("the store forgets its history while keys come and go")
    {
        topic.down = true;
        topic.write("f", std::nullopt);
        topic.write("g", "1");
        topic.loop.advance(1s);
        CHECK(!seen.reachable);
        topic.first = topic.log.size();
        topic.down = false;
        topic.loop.advance(2s);
        CHECK(seen.reachable);
        CHECK(!seen.values.contains("f"));
        CHECK(seen.values.contains("g"));
    }
}

SCENARIO("a record that is written while the first page is on its way is not missed")
{
    // Pattern: a VM starts while the store is slow, and the operator writes at that moment. The store's answer holds
    // the records of before and tells the end of after.
    fake_topic topic;
    topic.page_size = 10;
    topic.write("config", "1");
    topic.after_first_page = [&topic] { topic.write("config", "2"); };
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::operator_orders), seen.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(1s);
    CHECK(seen.values == strings{{"config", "2"}});
}

SCENARIO("a slow store that holds a read in spite of a new record is asked again soon")
{
    // Pattern: a VM reads while the store is slow, and the operator writes right after; the read is not woken.
    fake_topic topic;
    topic.write("config", "1");
    topic.latency = 240ms;
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::operator_orders), seen.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(200ms);
    topic.deaf = true;
    topic.write("config", "2");
    topic.loop.advance(1500ms);
    CHECK(seen.values == strings{{"config", "2"}});
    WHEN("it stays slow, no read is left to wait for long")
    {
        topic.loop.advance(10s);
        topic.write("config", "3");
        topic.loop.advance(1500ms);
        CHECK(seen.values == strings{{"config", "3"}});
    }
}

SCENARIO("a follower starts on a topic whose old records are gone and whose keys were all dropped")
{
    fake_topic topic;
    topic.write("a", "1");
    topic.write("a", std::nullopt);
    topic.first = 2;
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), seen.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(2s);
    const int calls = topic.calls;
    topic.loop.advance(20s);
    CHECK(topic.calls == calls);
    topic.write("b", "1");
    topic.loop.advance(100ms);
    CHECK(seen.values == strings{{"b", "1"}});
}

SCENARIO("a follower notices the store's return at once, also when nothing has changed")
{
    fake_topic topic;
    topic.write("a", "1");
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), seen.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(100ms);
    topic.down = true;
    std::exchange(topic.held_read, nullptr)();
    topic.loop.advance(3s);
    CHECK(!seen.reachable);
    // About one call a second while it is down.
    const int calls = topic.calls;
    topic.loop.advance(10s);
    CHECK(topic.calls - calls <= 11);
    topic.down = false;
    topic.loop.advance(1100ms);
    CHECK(seen.reachable);
    topic.loop.advance(1100ms);
    CHECK(topic.waits.back() == 30s);
    CHECK(seen.lines == std::vector<std::string>{"a=1"});
}

SCENARIO("a follower that starts while the store is down is complete once it has read all")
{
    fake_topic topic;
    topic.write("a", "1");
    topic.down = true;
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), seen.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(5s);
    CHECK(!seen.complete);
    topic.down = false;
    topic.loop.advance(2s);
    CHECK(seen.complete);
    CHECK(seen.values == strings{{"a", "1"}});
}

SCENARIO("an answer after the follower's end touches nothing")
{
    fake_topic topic;
    told seen;
    {
        topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), seen.callbacks()};
        follower.set_reading(true);
    }
    topic.loop.advance(1s);
    CHECK(!seen.complete);
}

SCENARIO("records of another VM are taken in without gaps, and never bring back what was dropped")
{
    fake_topic topic;
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), seen.callbacks()};
    // Changes alone are no beginning.
    follower.take_changes(0, 1, {{"a", "1", 0}});
    CHECK(!seen.complete);
    follower.take_newest(4, {{"a", "1", 0}, {"b", "2", 3}});
    CHECK(seen.complete);
    CHECK(follower.end() == 4);
    CHECK(seen.values == strings{{"a", "1"}, {"b", "2"}});

    WHEN("changes follow, some of them told before")
    {
        follower.take_changes(2, 6, {{"b", "2", 3}, {"a", std::nullopt, 4}, {"c", "3", 5}});
        CHECK(seen.values == strings{{"b", "2"}, {"c", "3"}});
        CHECK(follower.end() == 6);
        AND_WHEN("a VM that is behind passes on what it knows")
        {
            follower.take_newest(4, {{"a", "1", 0}, {"b", "2", 3}});
            follower.take_changes(0, 1, {{"a", "1", 0}});
            CHECK(seen.values == strings{{"b", "2"}, {"c", "3"}});
            CHECK(follower.end() == 6);
        }
        AND_WHEN("a VM asks for what came since")
        {
            const auto changes = follower.changes_since(5);
            REQUIRE(changes);
            REQUIRE(changes->size() == 1);
            CHECK(changes->front().key == "c");
            CHECK(!follower.changes_since(3));
            CHECK(follower.newest().size() == 2);
        }
    }
    WHEN("changes are missing in between, they are not taken in")
    {
        follower.take_changes(5, 6, {{"c", "3", 5}});
        CHECK(seen.values == strings{{"a", "1"}, {"b", "2"}});
        AND_WHEN("all newest records come, what they lack is gone")
        {
            follower.take_newest(6, {{"a", "1", 0}, {"c", "3", 5}});
            CHECK(seen.values == strings{{"a", "1"}, {"c", "3"}});
        }
    }
    WHEN("it is to read the store itself, it asks at once and from there")
    {
        for (const char* key : {"a", "x", "x", "b", "d"}) {
            topic.write(key, "9");
        }
        follower.set_reading(true);
        CHECK(topic.waits == std::vector<std::chrono::milliseconds>{0ms});
        topic.loop.advance(10ms);
        CHECK(seen.values == strings{{"a", "1"}, {"b", "2"}, {"d", "9"}});
        AND_WHEN("it is told to stop, the read under way is its last")
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

SCENARIO("a read that comes back after other VMs' later records does not bring back what they dropped")
{
    fake_topic topic;
    topic.write("a", "1");
    told seen;
    topic_follower follower{topic.loop, topic.store, follow(fleet_topic::servers), seen.callbacks()};
    follower.set_reading(true);
    topic.loop.advance(5s);
    REQUIRE(seen.values == strings{{"a", "1"}});
    topic.write("b", "2");
    // The store's answer with "b" is on its way when another VM tells that "b" has come and gone.
    follower.take_changes(1, 3, {{"b", "2", 1}, {"b", std::nullopt, 2}});
    topic.loop.advance(10ms);
    CHECK(seen.values == strings{{"a", "1"}});
}
