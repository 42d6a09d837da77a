// Tests of the in-memory log service and its faults.
#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/platform/memory_log.h>

#include <catch2/catch.hpp>

#include <optional>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a stream keeps its records in order, and the oldest can be trimmed")
{
    manual_event_loop loop;
    memory_log log{loop, 1};
    const stream_name stream{"config"};
    log.append_now({stream, {"a", "b", "c"}});
    log.trim(stream, log_offset{2});
    const read_batch batch = log.read_now({stream, log_offset{1}});
    CHECK(batch.first_retained == log_offset{2});
    CHECK(batch.next == log_offset{4});
    REQUIRE(batch.records.size() == 2);
    CHECK(batch.records[0].payload == "b");
}

SCENARIO("answers can be lost after the append took effect")
{
    manual_event_loop loop;
    memory_log log{loop, 1};
    const log_service service = log.service();
    log.set_faults({false, 1.0, 10ms});

    GIVEN("an append whose answer is lost")
    {
        std::optional<outcome<append_receipt>> answer;
        service.append({stream_name{"s"}, {"x"}}, [&](const outcome<append_receipt>& result) { answer = result; });
        loop.advance(10ms);
        THEN("the caller gets an error and the record is in the log")
        {
            REQUIRE(answer);
            CHECK(!answer->has_value());
            CHECK(log.read_now({stream_name{"s"}, log_offset{1}}).records.size() == 1);
        }
    }
}

SCENARIO("a read waits for a record")
{
    manual_event_loop loop;
    memory_log log{loop, 1};
    const log_service service = log.service();
    std::optional<outcome<read_batch>> batch;
    service.read({stream_name{"s"}, log_offset{1}, 10, 1s}, [&](const outcome<read_batch>& result) { batch = result; });
    loop.advance(500ms);
    CHECK(!batch);

    WHEN("a record is appended")
    {
        log.append_now({stream_name{"other"}, {"y"}});
        loop.run_pending();
        CHECK(!batch);
        log.append_now({stream_name{"s"}, {"x"}});
        loop.run_pending();
        REQUIRE(batch);
        CHECK(batch->value().records.size() == 1);
    }
    WHEN("no record is appended within the wait")
    {
        loop.advance(499ms);
        CHECK(!batch);
        loop.advance(1ms);
        REQUIRE(batch);
        CHECK(batch->value().records.empty());
    }
    WHEN("the log goes down during the wait")
    {
        log.set_faults({.down = true, .lost_answer_probability = 0.0, .delay = 0ms, .appends_per_second = 0});
        loop.run_pending();
        REQUIRE(batch);
        CHECK(!batch->has_value());
    }
}

SCENARIO("the number of appends per second is limited")
{
    manual_event_loop loop;
    memory_log log{loop, 1};
    const log_service service = log.service();
    log.set_faults({.down = false, .lost_answer_probability = 0.0, .delay = 0ms, .appends_per_second = 100});
    int receipts = 0;
    for (int call = 0; call < 200; ++call) {
        service.append({stream_name{"s"}, {"x"}}, [&](const outcome<append_receipt>& receipt) {
            // Appends take effect in the order of the calls.
            CHECK(receipt->first.value() == static_cast<std::uint64_t>(++receipts));
        });
    }
    loop.advance(995ms);
    CHECK(receipts == 100);
    loop.advance(1s);
    CHECK(receipts == 200);
}
