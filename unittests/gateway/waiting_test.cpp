// Tests of the use of servers beyond their slots, and of the switch for waiting requests.
#include <agatespar/gateway/service_queues.h>
#include <agatespar/kernel/manual_event_loop.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("requests wait for room only where the configuration tells them apart")
{
    service_map map;
    map.routes.resize(2);
    CHECK_FALSE(uses_waiting_queue(map, false));
    THEN("routes of different priorities do")
    {
        map.routes[1].priority = 2;
        CHECK(uses_waiting_queue(map, false));
    }
    THEN("an account whose priority is not that of the routes does")
    {
        map.keys["one"] = {client_account_name{"a"}, 0};
        CHECK_FALSE(uses_waiting_queue(map, false));
        map.keys["two"] = {client_account_name{"b"}, 1};
        CHECK(uses_waiting_queue(map, false));
    }
    THEN("servers that report how long work takes do")
    {
        CHECK(uses_waiting_queue(map, true));
    }
}

static queueing_option make_option(std::uint32_t load, std::uint32_t slots)
{
    return {load, slots, true, false, std::nullopt};
}

// Guards against full queues at servers whose answers then are late, and against sends that are refused.
SCENARIO("a server without a free slot gets a request only if its queue is short")
{
    const steady_time now = steady_time{} + 1h;
    queueing_option idle_queue = make_option(8, 8);
    CHECK(choose_queueing_server(std::vector{idle_queue}, 100ms, 300ms, now) == 0U);
    THEN("it is not used if the request would be late")
    {
        CHECK_FALSE(choose_queueing_server(std::vector{idle_queue}, 400ms, 300ms, now));
    }
    THEN("the one with the shortest wait is chosen, and none that is avoided")
    {
        const queueing_option larger = make_option(33, 32);
        const queueing_option longer = make_option(9, 8);
        queueing_option avoided = make_option(8, 16);
        avoided.avoided = true;
        CHECK(choose_queueing_server(std::vector{longer, larger, avoided}, 100ms, 300ms, now) == 1U);
    }
    THEN("it is not used if it reports no load")
    {
        idle_queue.reports_load = false;
        CHECK_FALSE(choose_queueing_server(std::vector{idle_queue}, 100ms, 300ms, now));
    }
    THEN("a refusal with proof limits its queue for some seconds")
    {
        const std::uint32_t length = queue_length_at_refusal(reported_load{8, 1, 8, {}}, 20, 8);
        CHECK(length == 1);
        CHECK(queue_length_at_refusal(std::nullopt, 8, 8) == 0);
        idle_queue.refused = refused_queue_length{length, now - 1s};
        CHECK(max_queue_length(idle_queue, now) == 1);
        idle_queue.load = 9;
        CHECK_FALSE(choose_queueing_server(std::vector{idle_queue}, 100ms, 300ms, now));
        CHECK(choose_queueing_server(std::vector{idle_queue}, 100ms, 300ms, now + 10s) == 0U);
    }
}

SCENARIO("waiting requests are tried again when a place becomes free, and by a timer")
{
    manual_event_loop loop;
    metrics_registry metrics;
    service_queues queues{loop, metrics, 1};
    const service_name service{"s"};
    int room = 0;
    std::vector<std::string> ended;
    const auto enter = [&](const std::string& name, int priority, duration delay = 0ms) {
        queued_request request;
        request.not_before = loop.time().now() + delay;
        request.priority = priority;
        request.arrived_at = loop.time().now();
        request.goal = 2s;
        request.goal_at = loop.time().now() + 2s;
        request.deadline = loop.time().now() + 4s;
        request.run_time = request.first_byte_time = 100ms;
        auto ticket = std::make_shared<std::optional<queue_ticket>>();
        const auto end = [&ended, &queues, service, ticket, name](const char* how) {
            ended.push_back(name + " " + how);
            if (*ticket) {
                queues.leave(service, **ticket, how);
            }
        };
        waiting_callbacks callbacks;
        callbacks.try_start = [&room, end] {
            if (room == 0) {
                return false;
            }
            --room;
            end("sent");
            return true;
        };
        callbacks.refuse = [end](const char*, std::optional<std::chrono::milliseconds>) { end("refused"); };
        *ticket = queues.enter(service, request, std::move(callbacks));
    };
    enter("usual", 1);
    enter("urgent", 0);
    CHECK(ended.empty());
    CHECK(queues.has_waiting(service, 0));
    WHEN("an attempt of the service ends")
    {
        room = 1;
        queues.on_attempt_ended(service, route_name{"r"}, typical_times{100ms, 100ms});
        loop.advance(0ms);
        THEN("the most urgent one is sent at once, after the caller has returned")
        {
            CHECK(ended == std::vector<std::string>{"urgent sent"});
        }
    }
    WHEN("nothing happens but that load estimates decay")
    {
        room = 2;
        loop.advance(30ms);
        THEN("a timer finds the room")
        {
            CHECK(ended == std::vector<std::string>{"urgent sent", "usual sent"});
            CHECK_FALSE(queues.has_waiting(service, 0));
        }
    }
    WHEN("a request waits that all servers have just refused")
    {
        room = 2;
        loop.advance(30ms);
        enter("refused by all servers", 0, 100ms);
        room = 1;
        loop.advance(50ms);
        THEN("others need not wait for it, and it is sent some time later")
        {
            CHECK_FALSE(queues.has_waiting(service, 0));
            CHECK(ended.size() == 2);
            loop.advance(100ms);
            CHECK(ended.back() == "refused by all servers sent");
        }
    }
    WHEN("no room appears, and no rate is known")
    {
        loop.advance(300ms);
        THEN("they are refused after an eighth of the goal")
        {
            CHECK(ended.size() == 2);
            CHECK(ended.front().ends_with("refused"));
        }
    }
    WHEN("the queue is full and a more urgent request comes")
    {
        for (std::size_t i = 2; i < waiting_queue_settings{}.max_waiting; ++i) {
            enter("more", 1);
        }
        enter("most urgent", 0);
        THEN("one of the others is refused, after the caller has returned")
        {
            CHECK(ended.empty());
            loop.run_pending();
            CHECK(ended == std::vector<std::string>{"more refused"});
        }
    }
    WHEN("the VM stops")
    {
        queues.stop();
        enter("late", 0);
        THEN("those that wait and those that come later are refused at once")
        {
            CHECK(ended == std::vector<std::string>{"usual refused", "urgent refused", "late refused"});
        }
    }
}
