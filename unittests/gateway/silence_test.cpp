// Tests of when a server that says nothing is asked, or left for another.
#include <agatespar/gateway/silence.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a plain answer that is overdue is asked for elsewhere, if the request may run again")
{
    manual_clock time;
    service_route route;
    route.kind = request_kind::safe;
    route.goal = 300ms;
    waiting_request request{&route, false, time.now(), time.now()};
    CHECK(next_look(request, time.now()) == 240ms);
    CHECK(judge_silence(request, time.now() + 239ms) == silence_verdict::wait);
    // Its answer may be lost though the server talks to others.
    request.server_heard = time.now() + 239ms;
    CHECK(judge_silence(request, time.now() + 240ms) == silence_verdict::go_elsewhere);
    WHEN("the goal is short, answers that are merely slow are waited for")
    {
        route.goal = 100ms;
        CHECK(next_look(request, time.now()) == 150ms);
    }
    WHEN("it may run once only")
    {
        route.kind = request_kind::unsafe;
        CHECK(!next_look(request, time.now()));
        CHECK(judge_silence(request, time.now() + 10s) == silence_verdict::wait);
    }
    WHEN("it is a stream that can't be resumed")
    {
        route.kind = request_kind::streaming;
        CHECK(!next_look(request, time.now()));
    }
}

SCENARIO("a stream's server is asked whether it lives before it is left")
{
    // Pattern: a long prompt is read for seconds, in which its server says nothing to any of its streams.
    manual_clock time;
    const steady_time start = time.now();
    service_route route;
    route.kind = request_kind::streaming;
    route.resumable = true;
    route.goal = 2s;
    route.gap_goal = 1s;
    waiting_request request{&route, false, start, start - 5s};
    CHECK(judge_silence(request, start + 999ms) == silence_verdict::wait);
    CHECK(judge_silence(request, start + 1s) == silence_verdict::probe);
    WHEN("the server has said something to another request lately")
    {
        request.server_heard = start + 500ms;
        CHECK(judge_silence(request, start + 1s) == silence_verdict::wait);
        CHECK(judge_silence(request, start + 1501ms) == silence_verdict::probe);
    }
    WHEN("other servers of its zone can't be reached, it is asked soon")
    {
        CHECK(next_look(request, start) == 250ms);
        request.zone_suspected = true;
        CHECK(judge_silence(request, start + 299ms) == silence_verdict::wait);
        CHECK(judge_silence(request, start + 300ms) == silence_verdict::probe);
    }
    WHEN("events were coming, the pause that clients bear counts")
    {
        request.answer_begun = true;
        request.server_heard = start;
        CHECK(judge_silence(request, start + 499ms) == silence_verdict::wait);
        CHECK(judge_silence(request, start + 500ms) == silence_verdict::probe);
    }
}
