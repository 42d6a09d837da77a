// Tests of the HTTP client: the requests that it sends, its limits on answers, and the run state of failed calls.
#include "test_server.h"

#include <agatespar/platform/soup_http_client.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

static outcome<http_response> send(const http_client& client, const http_request& request)
{
    return wait_for<http_response>([&](const auto& callback) { client.send(request, callback); });
}

static http_request get(const std::string& url)
{
    http_request request;
    request.url = url;
    return request;
}

static http_request post(const std::string& url, bool fresh)
{
    http_request request = get(url);
    request.method = "POST";
    request.body = "{}";
    request.fresh_connection = fresh;
    return request;
}

SCENARIO("a call returns the complete answer up to the size limit")
{
    glib_event_loop loop;
    soup_http_settings settings;
    settings.max_response_bytes = 1000;
    soup_http_client owner{loop, settings};
    const http_client client = owner.client();
    std::size_t answer_size = 1000;
    answering_server server{[&](const received_request&) {
        return planned_answer{201, {{"X-One", "1"}}, std::string(answer_size, 'a')};
    }};

    WHEN("the answer has the maximum size")
    {
        http_request request = post(server.url() + "/p?q=1", false);
        request.headers.push_back({"X-Two", "2"});
        const auto answer = send(client, request);
        THEN("the server receives the request, and the caller the answer")
        {
            REQUIRE(answer);
            CHECK(answer->head.status == 201);
            CHECK(answer->head.find_header("x-one") == "1");
            CHECK(answer->body.size() == 1000);
            REQUIRE(server.requests.size() == 1);
            CHECK(server.requests[0].method == "POST");
            CHECK(server.requests[0].path == "/p");
            CHECK(server.requests[0].query == "q=1");
            CHECK(server.requests[0].header("X-Two") == "2");
            CHECK(server.requests[0].body == "{}");
        }
    }
    WHEN("the answer exceeds the limit by one byte")
    {
        answer_size = 1001;
        const auto answer = send(client, get(server.url()));
        THEN("it is refused")
        {
            REQUIRE(!answer);
            CHECK(answer.error().code == error_code::too_large);
            CHECK(answer.error().ran == run_state::outcome_unknown);
        }
    }
}

SCENARIO("a failed call reports whether it may have reached the server")
{
    glib_event_loop loop;
    soup_http_client owner{loop};
    const http_client client = owner.client();

    WHEN("no process listens at the address")
    {
        std::string url;
        {
            const raw_server gone{"", raw_server::after_answer::close};
            url = gone.url();
        }
        const auto answer = send(client, post(url, true));
        THEN("it did not run")
        {
            REQUIRE(!answer);
            CHECK(answer.error().code == error_code::unavailable);
            CHECK(answer.error().ran == run_state::not_run);
        }
    }
    WHEN("the URL or a header is invalid")
    {
        http_request split = get("http://127.0.0.1:9/");
        split.headers.push_back({"X-Key", "a\r\nX-Other: b"});
        const auto answers = {send(client, get("no url")), send(client, split)};
        THEN("it did not run")
        {
            for (const auto& answer : answers) {
                REQUIRE(!answer);
                CHECK(answer.error().code == error_code::invalid_argument);
                CHECK(answer.error().ran == run_state::not_run);
            }
        }
    }
    WHEN("the server closes without an answer")
    {
        raw_server server{"", raw_server::after_answer::close};
        const auto answer = send(client, post(server.url(), true));
        THEN("the outcome is unknown, and the request was sent once")
        {
            REQUIRE(!answer);
            CHECK(answer.error().ran == run_state::outcome_unknown);
            CHECK(server.connections == 1);
        }
    }
    WHEN("the server closes the connection within its answer")
    {
        raw_server server{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", raw_server::after_answer::close};
        const auto answer = send(client, post(server.url(), true));
        THEN("the truncated answer is a failure")
        {
            REQUIRE(!answer);
            CHECK(answer.error().ran == run_state::outcome_unknown);
        }
    }
    WHEN("the server never answers, or never ends its answer")
    {
        raw_server silent{"", raw_server::after_answer::hang};
        raw_server endless{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", raw_server::after_answer::hang};
        for (const std::string& url : {silent.url(), endless.url()}) {
            http_request request = post(url, true);
            request.timeout = 20ms;
            const auto answer = send(client, request);
            REQUIRE(!answer);
            CHECK(answer.error().code == error_code::deadline_exceeded);
            CHECK(answer.error().ran == run_state::outcome_unknown);
        }
    }
    WHEN("the server sends bytes that are not HTTP")
    {
        raw_server server{"\x00\xff garbage\r\n\r\n", raw_server::after_answer::close};
        CHECK(!send(client, get(server.url())));
    }
}

SCENARIO("a non-idempotent call never shares a connection")
{
    glib_event_loop loop;
    soup_http_client owner{loop};
    const http_client client = owner.client();
    raw_server server{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", raw_server::after_answer::hang};
    for (int call = 1; call <= 3; ++call) {
        const auto answer = send(client, post(server.url(), true));
        REQUIRE(answer);
        CHECK(server.connections == call);
    }
}

SCENARIO("a streamed answer is passed on in chunks")
{
    glib_event_loop loop;
    soup_http_client owner{loop};
    const http_client client = owner.client();
    raw_server server{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst", raw_server::after_answer::hang};
    http_request request = get(server.url());
    request.idle_timeout = 20ms;
    std::string bytes;
    int heads = 0;
    std::optional<outcome<void>> end;
    cancel_handle cancel;
    http_stream_callbacks callbacks;
    callbacks.on_head = [&](const http_head& head) { heads += head.status == 200 ? 1 : 0; };
    callbacks.on_bytes = [&](std::string_view chunk) { bytes += chunk; };
    callbacks.on_end = [&](const outcome<void>& result) { end = result; };

    WHEN("the server stops sending within the answer")
    {
        cancel = client.stream(request, callbacks);
        run_until([&] { return end.has_value(); });
        THEN("the received bytes are passed on, and the call ends with a failure")
        {
            CHECK(heads == 1);
            CHECK(bytes == "first");
            REQUIRE(!*end);
            CHECK(end->error().code == error_code::deadline_exceeded);
        }
    }
    WHEN("the caller cancels from within a callback")
    {
        callbacks.on_bytes = [&](std::string_view chunk) {
            bytes += chunk;
            cancel();
        };
        cancel = client.stream(request, callbacks);
        run_until([&] { return !bytes.empty(); });
        bool later = false;
        loop.schedule(50ms, [&] { later = true; });
        run_until([&] { return later; });
        THEN("no further callback runs, and cancelling again has no effect")
        {
            CHECK(!end);
            cancel();
        }
    }
}
