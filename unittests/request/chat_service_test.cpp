// Tests of chat requests: complete answers, resumed streams, cascades, refusals, and billing exactly once.
#include "fake_request_path.h"

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

static engine_tokens tokens(std::uint64_t offset, const char* text)
{
    return {token_offset{offset}, token_count{1}, text};
}

static error broken_stream()
{
    return {error_code::unavailable, "the stream broke", run_state::outcome_unknown, std::nullopt};
}

SCENARIO("a request gets the complete answer and is billed once")
{
    fake_request_path path;
    const auto answer = path.send("strong");
    REQUIRE(path.attempts.size() == 1);
    path.last().callbacks.on_tokens(tokens(0, "a"));
    path.last().callbacks.on_tokens(tokens(1, "b"));

    WHEN("the end mark's token count equals the number of tokens received")
    {
        path.finish_last(2);
        THEN("the caller gets the complete answer exactly once")
        {
            CHECK(answer->text == "ab");
            REQUIRE(answer->end);
            CHECK(answer->end_count == 1);
            CHECK(path.bills.size() == 1);
            CHECK(path.bills[0].request == request_id{"request-1"});
            CHECK(path.open_permits == 0);
            CHECK(path.counters.running == 0);
        }
    }
    WHEN("the end mark's token count exceeds the number of tokens received")
    {
        path.finish_last(3);
        path.loop.advance(3s);
        THEN("the answer is not complete: another attempt resumes after the tokens received")
        {
            CHECK(!answer->end);
            REQUIRE(path.attempts.size() == 2);
            CHECK(path.last().request.resume_from == token_offset{2});
        }
    }
    WHEN("the caller disconnects")
    {
        path.stop();
        path.finish_last(2);
        THEN("the attempt is cancelled, the tokens generated so far are billed once, and nothing more is sent")
        {
            CHECK(path.last().cancelled);
            CHECK(answer->end_count == 0);
            REQUIRE(path.bills.size() == 1);
            CHECK(path.bills[0].result == usage_outcome::caller_gone);
            CHECK(path.open_permits == 0);
        }
    }
}

SCENARIO("a broken stream is resumed at its offset on the same version")
{
    fake_request_path path;
    const auto answer = path.send("strong");
    path.last().callbacks.on_tokens(tokens(0, "a"));
    received_attempt& first = path.last();
    first.callbacks.on_error(broken_stream());
    path.loop.advance(3s);
    REQUIRE(path.attempts.size() == 2);
    CHECK(path.last().request.resume_from == token_offset{1});
    CHECK(path.last().request.server_url != first.request.server_url);
    CHECK(path.last().request.attempt != first.request.attempt);

    WHEN("events of the first attempt arrive late, and the second attempt resends a token")
    {
        first.callbacks.on_tokens(tokens(1, "LATE"));
        first.callbacks.on_end({"stop", {}});
        path.last().callbacks.on_tokens(tokens(0, "a"));
        path.last().callbacks.on_tokens(tokens(1, "b"));
        path.finish_last(2);
        THEN("they are dropped and counted, and the answer is unaffected")
        {
            CHECK(answer->text == "ab");
            CHECK(answer->end_count == 1);
            CHECK(path.counters.late_events_dropped == 2);
            REQUIRE(path.bills.size() == 1);
            CHECK(path.bills[0].attempts.size() == 2);
        }
    }
    WHEN("the token offsets are not contiguous")
    {
        path.last().callbacks.on_tokens(tokens(5, "f"));
        path.loop.advance(3s);
        THEN("the tokens are not sent to the caller")
        {
            CHECK(answer->text == "a");
        }
    }
}

SCENARIO("retries end with the budget or the deadline, and a request ends only once")
{
    fake_request_path path;
    const auto answer = path.send("strong");
    for (int i = 0; i < 40 && answer->end_count == 0; ++i) {
        path.last().callbacks.on_error(broken_stream());
        path.loop.advance(3s);
    }
    REQUIRE(answer->failure);
    CHECK(answer->end_count == 1);
    CHECK(answer->failure->ran == run_state::outcome_unknown);
    CHECK(path.attempts.size() <= 4);
    CHECK(path.bills.empty());
    CHECK(path.unreserved == 1);
    CHECK(path.open_permits == 0);
}

SCENARIO("a plan for models that no server has loaded is ignored")
{
    fake_request_path path;
    for (const char* name : {"strong-1", "strong-2"}) {
        path.table.apply_versions({path.fleet, server_name{name}}, {});
    }
    path.send("assistant");
    REQUIRE(path.attempts.size() == 1);
    CHECK(path.last().request.version.model == model_name{"cheap"});
}

SCENARIO("a request waits during a change of its servers' owners")
{
    fake_request_path path;
    path.permit_refusal = error{error_code::unavailable, "not the owner yet", run_state::not_run, std::nullopt};
    const auto answer = path.send("strong");
    path.loop.advance(5s);
    CHECK(answer->end_count == 0);
    CHECK(path.waiting.waiting() == 1);

    WHEN("the new owner issues permits")
    {
        path.permit_refusal.reset();
        path.loop.advance(1s);
        THEN("the request runs")
        {
            REQUIRE(path.attempts.size() == 1);
            CHECK(path.waiting.waiting() == 0);
        }
    }
    WHEN("no owner issues a permit")
    {
        path.loop.advance(6s);
        THEN("the request is refused as not run and no longer waits")
        {
            REQUIRE(answer->failure);
            CHECK(answer->failure->ran == run_state::not_run);
            CHECK(path.attempts.empty());
            CHECK(path.waiting.waiting() == 0);
        }
    }
    WHEN("its caller disconnects")
    {
        path.stop();
        path.loop.advance(20s);
        CHECK(path.waiting.waiting() == 0);
        CHECK(path.counters.running == 0);
    }
}

SCENARIO("a request that crashes servers is not run again after the second crash")
{
    fake_request_path path;
    path.next_report = failure(error_code::unavailable, "refused");

    GIVEN("a request that crashes each server that runs it, sent repeatedly")
    {
        for (int sends = 0; sends < 20; ++sends) {
            const auto answer = path.send("strong");
            for (int i = 0; i < 10 && answer->end_count == 0; ++i) {
                path.last().callbacks.on_error(broken_stream());
                path.loop.advance(3s);
            }
            REQUIRE(answer->failure);
        }
        THEN("two servers crash, the second run has its server to itself, and both verdicts are published")
        {
            CHECK(path.attempts.size() == 2);
            CHECK(path.counters.crashes == 2);
            CHECK(path.counters.quarantined >= 19);
            CHECK(path.published.size() == 2);
        }
    }
    GIVEN("servers that break the stream but do not crash")
    {
        path.next_report = load_report{};
        path.send("strong");
        path.last().callbacks.on_start(server_start_id{0});
        path.last().callbacks.on_error(broken_stream());
        path.loop.advance(3s);
        THEN("the request is not treated as a suspect")
        {
            CHECK(path.counters.crashes == 0);
            CHECK(path.attempts.size() == 2);
        }
    }
}

SCENARIO("a request ends when its deadline passes")
{
    fake_request_path path;
    const auto answer = path.send("strong");
    path.last().callbacks.on_tokens(tokens(0, "a"));
    path.loop.advance(31s);
    REQUIRE(answer->failure);
    CHECK(answer->failure->code == error_code::deadline_exceeded);
    CHECK(answer->failure->ran == run_state::outcome_unknown);
    CHECK(path.last().cancelled);
    CHECK(path.bills.size() == 1);
}

// Guards against "not run" for a request that another zone runs, and against the contrary for one that all servers
// refused: the state is derived from the number of attempts of this zone.
SCENARIO("a failed request is reported as not run only if each server proved that")
{
    fake_request_path path;
    const error refusal{error_code::overloaded, "the queue is full", run_state::not_run, std::nullopt};
    const auto fail_attempts = [&path](const received_answer& answer, const std::vector<error>& problems) {
        for (std::size_t i = 0; i < 40 && answer.end_count == 0; ++i) {
            path.last().callbacks.on_error(problems[std::min(i, problems.size() - 1)]);
            path.loop.advance(3s);
        }
    };
    WHEN("each server refuses it")
    {
        const auto answer = path.send("strong");
        fail_attempts(*answer, {refusal});
        REQUIRE(answer->failure);
        CHECK(path.attempts.size() > 1);
        CHECK(answer->failure->ran == run_state::not_run);
    }
    WHEN("one server breaks its stream and all others refuse it")
    {
        const auto answer = path.send("strong");
        fail_attempts(*answer, {broken_stream(), refusal});
        REQUIRE(answer->failure);
        CHECK(path.attempts.size() > 1);
        CHECK(answer->failure->ran == run_state::outcome_unknown);
    }
    GIVEN("servers of another zone only")
    {
        path.table.apply_vm_list({});
        other_zone remote;
        remote.capacity = {{{path.pinned, std::nullopt}, 8}};
        path.table.set_zone(zone_id{path.fleet, zone_name{"remote"}}, remote);
        const auto answer = path.send("strong");
        REQUIRE(path.forwards.size() == 1);
        WHEN("the deadline passes while the other zone runs it")
        {
            path.loop.advance(31s);
            REQUIRE(answer->failure);
            CHECK(answer->failure->code == error_code::deadline_exceeded);
            CHECK(answer->failure->ran == run_state::outcome_unknown);
        }
        WHEN("the other zone refuses it")
        {
            path.forwards[0].fail(refusal);
            REQUIRE(answer->failure);
            CHECK(answer->failure->ran == run_state::not_run);
        }
    }
}

SCENARIO("a refused request is reported as not run and starts no attempt")
{
    fake_request_path path;
    const auto refusal = [&](const std::shared_ptr<received_answer>& answer) {
        REQUIRE(answer->failure);
        CHECK(answer->failure->ran == run_state::not_run);
        CHECK(path.attempts.empty());
        CHECK(path.bills.empty());
        return answer->failure->code;
    };
    WHEN("the name is unknown")
    {
        CHECK(refusal(path.send("other")) == error_code::not_found);
    }
    WHEN("the class is unknown")
    {
        CHECK(refusal(path.send("strong", "none")) == error_code::not_found);
    }
    WHEN("the session token is forged")
    {
        path.session_token = "forged";
        CHECK(refusal(path.send("strong")) == error_code::unauthenticated);
    }
    WHEN("the zone has been cut off for longer than the service accepts new work")
    {
        path.log_age = 6min;
        CHECK(refusal(path.send("assistant")) == error_code::unavailable);
    }
    WHEN("too many usage records are waiting to be written to the log")
    {
        path.usage_has_space = false;
        CHECK(refusal(path.send("strong")) == error_code::overloaded);
    }
}

SCENARIO("a session stays on its pinned version")
{
    fake_request_path path;
    path.session_token = "good";
    path.send("strong");
    CHECK(path.last().request.version.model == model_name{"strong"});
    CHECK(path.last().request.session == "s");
}

SCENARIO("an answer that may be withheld is first generated by the cheap model and rated")
{
    fake_request_path path;
    GIVEN("a cheap model with enough ratings for a cascade to be planned")
    {
        const version_id cheap{{path.fleet, model_name{"cheap"}}, version_name{"1"}};
        const version_id strong{{path.fleet, model_name{"strong"}}, version_name{"1"}};
        const request_class_name draft{"draft"};
        for (int i = 0; i < 1000; ++i) {
            path.quality.record_rating(cheap, draft, i % 10 < 7);
            path.quality.record_rating(strong, draft, true);
            path.quality.record_rating(cheap, request_class_name{"lookup"}, false);
        }
        path.quality.tick();
        const auto answer = path.send("assistant", "draft");
        REQUIRE(path.last().request.version.model == model_name{"cheap"});
        path.last().callbacks.on_tokens(tokens(0, "quick"));
        path.finish_last(1);
        CHECK(!answer->head);

        WHEN("the answer is rated good")
        {
            path.loop.advance(1s);
            THEN("the answer is sent unchanged")
            {
                CHECK(answer->text == "quick");
                CHECK(answer->head->version == cheap);
                CHECK(path.attempts.size() == 1);
                CHECK(path.bills.size() == 1);
            }
        }
        WHEN("the answer is rated bad, or the rating service is unavailable")
        {
            path.next_rating = GENERATE(true, false) ? outcome<rating>{rating::bad}
                                                     : outcome<rating>{failure(error_code::unavailable, "out")};
            path.loop.advance(1s);
            REQUIRE(path.attempts.size() == 2);
            CHECK(path.last().request.version.model == model_name{"strong"});
            CHECK(path.last().request.resume_from == token_offset{0});
            path.last().callbacks.on_tokens(tokens(0, "thorough"));
            path.finish_last(1);
            THEN("only the strong model's answer is sent, and one usage record contains both attempts")
            {
                CHECK(answer->text == "thorough");
                CHECK(answer->head->version == strong);
                REQUIRE(path.bills.size() == 1);
                CHECK(path.bills[0].attempts.size() == 2);
            }
        }
    }
}
