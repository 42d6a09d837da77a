// Tests of the HTTP client: each call sends its request once; reuse of connections; answers to other requests.
#include "loopback.h"

#include <agatespar/http/client.h>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

namespace {

struct call_result {
    std::optional<http_answer_head> head;
    std::string body;
    bool done{false};
    std::optional<send_failure> failed;

    bool ended() const { return done || failed; }
};

struct client_fixture {
    glib_event_loop loop;
    raw_server server{loop};
    connection_pool pool{loop, pool_limits{}};
    client_request request;

    client_fixture()
    {
        request.key = "server-1";
        request.address = server.listener->address();
        request.head = {"GET", "/x", {{"Host", "a"}, {"X-Id", "7"}}, true};
        request.id_header = "X-Id";
    }
    std::shared_ptr<client_call> start(call_result& result)
    {
        client_callbacks callbacks;
        callbacks.head = [&result](const http_answer_head& head) { result.head = head; };
        callbacks.body = [&result](std::string_view bytes) { result.body.append(bytes); };
        callbacks.done = [&result] { result.done = true; };
        callbacks.failed = [&result](const send_failure& failure) { result.failed = failure; };
        auto call = pool.start(request, std::move(callbacks));
        REQUIRE(call);
        return *call;
    }
    void wait_for_request(std::size_t peer)
    {
        run_until(loop, [this, peer] {
            return server.peers.size() > peer && server.peers[peer]->received.ends_with("\r\n\r\n");
        });
    }
    void answer(std::size_t peer, const std::string& bytes) { server.peers[peer]->stream->write(bytes); }
};

const std::string complete_answer = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok";

} // namespace

SCENARIO("a connection is reused after a complete answer, for the same server only")
{
    client_fixture test;
    call_result first;
    const auto call = test.start(first);
    test.wait_for_request(0);
    test.answer(0, complete_answer);
    run_until(test.loop, [&first] { return first.ended(); });
    REQUIRE(first.done);
    CHECK(first.body == "ok");

    call_result second;
    WHEN("the next call goes to the same server")
    {
        test.server.peers[0]->received.clear();
        const auto next = test.start(second);
        test.wait_for_request(0);
        CHECK(test.server.peers.size() == 1);
        CHECK(test.pool.counters().reused == 1);
    }
    WHEN("the next call requires a new connection")
    {
        test.request.may_reuse = false;
        const auto next = test.start(second);
        test.wait_for_request(1);
    }
    WHEN("another server has the same address")
    {
        test.request.key = "server-2";
        const auto next = test.start(second);
        test.wait_for_request(1);
    }
    WHEN("the server sends more bytes on the idle connection")
    {
        test.answer(0, complete_answer);
        run_until(test.loop, [&test] { return test.server.peers[0]->ended.has_value(); });
        const auto next = test.start(second);
        test.wait_for_request(1);
    }
}

SCENARIO("an answer to another request is skipped, and the connection is not reused")
{
    client_fixture test;
    call_result result;
    const auto call = test.start(result);
    test.wait_for_request(0);
    test.answer(0, "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nother" + complete_answer);
    run_until(test.loop, [&result] { return result.ended(); });
    REQUIRE(result.done);
    CHECK(result.body == "ok");
    CHECK(test.pool.counters().mismatched_answers == 1);
    run_until(test.loop, [&test] { return test.server.peers[0]->ended.has_value(); });
}

SCENARIO("a call reports when an answer with an incomplete head began to arrive")
{
    client_fixture test;
    call_result result;
    const auto call = test.start(result);
    test.wait_for_request(0);
    CHECK(!call->partial_head_since());
    test.answer(0, "HTTP/1.1 200");
    run_until(test.loop, [&call] { return call->partial_head_since().has_value(); });
    const steady_time first_byte_time = *call->partial_head_since();
    test.answer(0, " OK\r\nX-Id: 7\r\n");
    WHEN("more of it arrives, the time does not change")
    {
        test.loop.schedule(20ms, [&test] { test.answer(0, "Content-"); });
        run_until(test.loop, [&] { return test.loop.time().now() - first_byte_time > 40ms; });
        CHECK(call->partial_head_since() == first_byte_time);
    }
    WHEN("it is complete")
    {
        test.answer(0, "Content-Length: 2\r\n\r\n");
        run_until(test.loop, [&result] { return result.head.has_value(); });
        CHECK(!call->partial_head_since());
    }
}

SCENARIO("a connection with bytes after the answer is closed, and the bytes are dropped")
{
    client_fixture test;
    call_result result;
    const auto call = test.start(result);
    test.wait_for_request(0);
    test.answer(0, complete_answer + "HTTP/1.1 200 OK\r\n");
    run_until(test.loop, [&result] { return result.ended(); });
    REQUIRE(result.done);
    CHECK(result.body == "ok");
    run_until(test.loop, [&test] { return test.server.peers[0]->ended.has_value(); });
}

SCENARIO("a failed call reports whether the server may have received the request, and does not retry it")
{
    client_fixture test;
    call_result result;
    WHEN("the server does not listen")
    {
        test.server.listener.reset();
        const auto call = test.start(result);
        run_until(test.loop, [&result] { return result.ended(); });
        REQUIRE(result.failed);
        CHECK(result.failed->state == send_state::not_sent);
    }
    WHEN("the server closes without an answer")
    {
        const auto call = test.start(result);
        test.wait_for_request(0);
        test.server.peers[0]->stream->close();
        run_until(test.loop, [&result] { return result.ended(); });
        REQUIRE(result.failed);
        CHECK(result.failed->state == send_state::sent);
        CHECK(test.server.peers.size() == 1);
    }
    WHEN("the server closes a reused connection while the request is being sent")
    {
        const auto first = test.start(result);
        test.wait_for_request(0);
        test.answer(0, complete_answer);
        run_until(test.loop, [&result] { return result.ended(); });
        call_result second;
        const auto call = test.start(second);
        test.server.peers[0]->stream->close();
        run_until(test.loop, [&second] { return second.ended(); });
        REQUIRE(second.failed);
        CHECK(second.failed->state == send_state::sent);
        CHECK(test.server.peers.size() == 1);
    }
    WHEN("it has not failed yet, it is known whether a part of the request may have left")
    {
        // Guards against a request that is reported as possibly run while its connection is still being opened.
        const auto call = test.start(result);
        CHECK(call->state() == send_state::not_sent);
        test.wait_for_request(0);
        CHECK(call->state() == send_state::sent);
        call->cancel();
        CHECK(call->state() == send_state::sent);
    }
    WHEN("the answer is truncated")
    {
        const auto call = test.start(result);
        test.wait_for_request(0);
        test.answer(0, "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 20\r\n\r\nok");
        run_until(test.loop, [&result] { return result.body == "ok"; });
        test.server.peers[0]->stream->close();
        run_until(test.loop, [&result] { return result.ended(); });
        CHECK(result.failed);
    }
    WHEN("the answer is not HTTP")
    {
        const auto call = test.start(result);
        test.wait_for_request(0);
        test.answer(0, "\x01\x02 nonsense\r\n\r\n");
        run_until(test.loop, [&result] { return result.ended(); });
        CHECK(result.failed);
    }
}

SCENARIO("cancelling a call closes its connection, so that the server stops processing")
{
    client_fixture test;
    call_result result;
    auto call = test.start(result);
    test.wait_for_request(0);
    call->cancel();
    run_until(test.loop, [&test] { return test.server.peers[0]->ended.has_value(); });
    CHECK(!result.ended());
}

SCENARIO("the connection is closed after an answer that arrives before the request was sent completely")
{
    client_fixture test;
    call_result result;
    const std::string body(4U << 20U, 'b');
    test.request.head.method = "POST";
    test.request.body = body;
    const auto call = test.start(result);
    run_until(test.loop, [&test] { return test.server.peers.size() == 1; });
    test.server.peers[0]->stream->pause_reading(true);
    test.answer(0, complete_answer);
    run_until(test.loop, [&result] { return result.ended(); });
    REQUIRE(result.done);
    test.server.peers[0]->stream->pause_reading(false);
    run_until(test.loop, [&test] { return test.server.peers[0]->ended.has_value(); });
}

// Guards against a part of an answer that is taken for all of it.
SCENARIO("an answer without a length is complete only if its server has taken the complete request")
{
    client_fixture test;
    call_result result;
    const std::string part = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\npart";
    const auto answer_during_upload = [&] {
        run_until(test.loop, [&test] { return test.server.peers.size() == 1; });
        test.server.peers[0]->stream->pause_reading(true);
        test.answer(0, part);
        run_until(test.loop, [&result] { return result.body == "part"; });
    };
    const std::string body(std::size_t{16} << 20U, 'b');
    test.request.head.method = "POST";

    WHEN("the server resets the connection during the upload")
    {
        test.request.body = body;
        const auto call = test.start(result);
        answer_during_upload();
        test.server.peers[0]->stream->reset();
        run_until(test.loop, [&result] { return result.ended(); });
        REQUIRE(result.failed);
        CHECK(result.failed->state == send_state::sent);
    }
    WHEN("the server closes the connection during the upload")
    {
        test.request.body = body;
        const auto call = test.start(result);
        answer_during_upload();
        test.server.peers[0]->stream->close_when_sent();
        run_until(test.loop, [&result] { return result.ended(); });
        REQUIRE(result.failed);
        CHECK(result.failed->state == send_state::sent);
    }
    WHEN("the server closes the connection when it has received the request")
    {
        const auto call = test.start(result);
        run_until(test.loop, [&test] { return test.server.peers.size() == 1; });
        run_until(test.loop, [&test] { return test.server.peers[0]->received.ends_with("\r\n\r\n"); });
        test.answer(0, part);
        test.server.peers[0]->stream->close_when_sent();
        run_until(test.loop, [&result] { return result.ended(); });
        CHECK(result.done);
        CHECK(result.body == "part");
    }
}
