// Tests of when a server that says nothing is asked, or left for another.
#include <agatespar/gateway/silence.h>

#include <catch2/catch.hpp>

#include <vector>

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

SCENARIO("a stream that has begun and stalls goes on elsewhere, however alive its server is")
{
    // Pattern: a server that is well sends a byte now and then, but no further event.
    manual_clock time;
    const steady_time start = time.now();
    service_route route;
    route.kind = request_kind::streaming;
    route.resumable = true;
    waiting_request request{&route, true, start, start};
    const auto judge_at = [&](duration after) {
        request.server_heard = start + after;
        return judge_silence(request, start + after);
    };
    GIVEN("a goal whose four times are what clients bear")
    {
        route.goal = 2s;
        route.gap_goal = 500ms;
        CHECK(judge_at(3999ms) == silence_verdict::wait);
        CHECK(judge_at(4s) == silence_verdict::go_elsewhere);
    }
    GIVEN("long pauses, eight of which clients bear: slow but sound streams are waited for")
    {
        route.goal = 2s;
        route.gap_goal = 1200ms;
        CHECK(judge_at(4799ms) == silence_verdict::wait);
        CHECK(judge_at(4800ms) == silence_verdict::go_elsewhere);
    }
    GIVEN("neither, clients bear two seconds")
    {
        CHECK(judge_at(999ms) == silence_verdict::wait);
        CHECK(judge_at(1s) == silence_verdict::go_elsewhere);
    }
    GIVEN("a stream that has not begun: its prompt waits its turn, and another server would make it wait anew")
    {
        route.goal = 2s;
        request.answer_begun = false;
        CHECK(judge_at(20s) == silence_verdict::wait);
    }
    GIVEN("a client that does not take what came, so that its server is not read")
    {
        route.goal = 2s;
        request.held_by_client = true;
        CHECK(judge_at(20s) == silence_verdict::wait);
        request.server_heard = start;
        CHECK(judge_silence(request, start + 20s) == silence_verdict::wait);
    }
    GIVEN("a stream that must not run again")
    {
        route.resumable = false;
        CHECK(judge_at(20s) == silence_verdict::wait);
    }
}

SCENARIO("a server that answers probes is asked ever more rarely")
{
    // Pattern: all servers are busy for seconds, each VM has streams waiting at all of them, and probes are priced.
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
        if (judge_silence(request, now) == silence_verdict::probe) {
            probes.push_back(after);
            ++request.answered_probes;
            request.server_heard = now;
        }
    }
    CHECK(probes == std::vector<std::chrono::milliseconds>{500ms, 1500ms, 3500ms, 7500ms});
}
