// Tests of when a silent server is probed, and when its request is retried on another server.
#include <agatespar/gateway/silence.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a plain request whose answer is overdue is retried on another server, if it may be retried")
{
    manual_clock time;
    service_route route;
    route.kind = request_kind::safe;
    route.goal = 300ms;
    waiting_request request{&route, false, time.now(), time.now()};
    CHECK(next_check_delay(request, time.now()) == 240ms);
    CHECK(evaluate_silence(request, time.now() + 239ms) == silence_action::wait);
    // The answer may be lost although the server answers other requests.
    request.server_last_received_at = time.now() + 239ms;
    CHECK(evaluate_silence(request, time.now() + 240ms) == silence_action::switch_server);
    WHEN("the goal is short, the minimum wait applies, so that merely slow answers arrive in time")
    {
        route.goal = 100ms;
        CHECK(next_check_delay(request, time.now()) == 150ms);
    }
    WHEN("it must not be retried")
    {
        route.kind = request_kind::unsafe;
        CHECK(!next_check_delay(request, time.now()));
        CHECK(evaluate_silence(request, time.now() + 10s) == silence_action::wait);
    }
    WHEN("it is a stream that cannot be resumed")
    {
        route.kind = request_kind::streaming;
        CHECK(!next_check_delay(request, time.now()));
    }
}

SCENARIO("a stream's server is probed before the stream is resumed on another server")
{
    // Failure: a long prompt is processed for seconds, during which the server sends nothing on any of its streams.
    manual_clock time;
    const steady_time start = time.now();
    service_route route;
    route.kind = request_kind::streaming;
    route.resumable = true;
    route.goal = 2s;
    route.gap_goal = 1s;
    waiting_request request{&route, false, start, start - 5s};
    CHECK(evaluate_silence(request, start + 999ms) == silence_action::wait);
    CHECK(evaluate_silence(request, start + 1s) == silence_action::probe);
    WHEN("the server has recently sent data for another request")
    {
        request.server_last_received_at = start + 500ms;
        CHECK(evaluate_silence(request, start + 1s) == silence_action::wait);
        CHECK(evaluate_silence(request, start + 1501ms) == silence_action::probe);
    }
    WHEN("other servers of its zone cannot be reached, it is probed sooner")
    {
        CHECK(next_check_delay(request, start) == 250ms);
        request.zone_suspected = true;
        CHECK(evaluate_silence(request, start + 299ms) == silence_action::wait);
        CHECK(evaluate_silence(request, start + 300ms) == silence_action::probe);
    }
    WHEN("events have arrived, the goal for gaps between events applies")
    {
        request.answer_begun = true;
        request.server_last_received_at = start;
        CHECK(evaluate_silence(request, start + 499ms) == silence_action::wait);
        CHECK(evaluate_silence(request, start + 500ms) == silence_action::probe);
    }
}

SCENARIO("a stream that has begun and stalls is resumed on another server, even if its server is up")
{
    // Failure: a healthy server sends single bytes, but no further event.
    manual_clock time;
    const steady_time start = time.now();
    service_route route;
    route.kind = request_kind::streaming;
    route.resumable = true;
    waiting_request request{&route, true, start, start};
    const auto evaluate_at = [&](duration after) {
        request.server_last_received_at = start + after;
        return evaluate_silence(request, start + after);
    };
    GIVEN("a goal, four times which is the clients' time-out")
    {
        route.goal = 2s;
        route.gap_goal = 500ms;
        CHECK(evaluate_at(3999ms) == silence_action::wait);
        CHECK(evaluate_at(4s) == silence_action::switch_server);
    }
    GIVEN("a long gap goal, eight times which is the clients' time-out: slow but healthy streams are waited for")
    {
        route.goal = 2s;
        route.gap_goal = 1200ms;
        CHECK(evaluate_at(4799ms) == silence_action::wait);
        CHECK(evaluate_at(4800ms) == silence_action::switch_server);
    }
    GIVEN("no goals, the clients' time-out is two seconds")
    {
        CHECK(evaluate_at(999ms) == silence_action::wait);
        CHECK(evaluate_at(1s) == silence_action::switch_server);
    }
    GIVEN("a deadline, half of the time until which is left for the other server")
    {
        // Failure: with a pause of one second between events, streams are waited for until their deadline in four.
        route.gap_goal = 1s;
        request.deadline = start + 4s;
        CHECK(evaluate_at(1999ms) == silence_action::wait);
        CHECK(evaluate_at(2s) == silence_action::switch_server);
        request.deadline = start + 20s;
        CHECK(evaluate_at(3999ms) == silence_action::wait);
        CHECK(evaluate_at(4s) == silence_action::switch_server);
    }
    GIVEN("a deadline that is near, a silence within the limit of the route is still waited for")
    {
        route.gap_goal = 1s;
        request.deadline = start + 600ms;
        CHECK(evaluate_at(499ms) == silence_action::wait);
        CHECK(evaluate_at(500ms) == silence_action::switch_server);
    }
    GIVEN("a stream that has not begun: its prompt is queued, and on another server it would be queued anew")
    {
        route.goal = 2s;
        request.answer_begun = false;
        request.deadline = start + 4s;
        CHECK(evaluate_at(20s) == silence_action::wait);
    }
    GIVEN("a client that does not read what has arrived, so that nothing is read from its server")
    {
        route.goal = 2s;
        request.held_by_client = true;
        CHECK(evaluate_at(20s) == silence_action::wait);
        request.server_last_received_at = start;
        CHECK(evaluate_silence(request, start + 20s) == silence_action::wait);
    }
    GIVEN("a stream that must not be resumed")
    {
        route.resumable = false;
        CHECK(evaluate_at(20s) == silence_action::wait);
    }
}

SCENARIO("a server that answers probes is probed at increasing intervals")
{
    // Failure: all servers are busy for seconds, each VM has streams waiting at all of them, and each probe costs
    // money.
    manual_clock time;
    const steady_time start = time.now();
    service_route route;
    route.kind = request_kind::streaming;
    route.resumable = true;
    route.goal = 1s;
    waiting_request request{&route, false, start, start};
    std::vector<std::chrono::milliseconds> probes;
    for (auto after = 0ms; after <= 10s; after += 10ms) {
        const steady_time now = start + after;
        if (evaluate_silence(request, now) == silence_action::probe) {
            probes.push_back(after);
            ++request.answered_probes;
            request.server_last_received_at = now;
        }
    }
    CHECK(probes == std::vector<std::chrono::milliseconds>{500ms, 1500ms, 3500ms, 7500ms});
}
