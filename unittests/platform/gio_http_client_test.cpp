// Tests of the HTTP client: the requests that it sends, its limits on answers, and the run state of failed calls.
#include "http_calls.h"
#include "test_server.h"

#include <agatespar/platform/gio_http_client.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

SCENARIO("a call returns the complete answer up to the size limit")
{
    glib_event_loop loop;
    gio_http_settings settings;
    settings.max_response_bytes = 1000;
    gio_http_client owner{loop, settings};
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

SCENARIO("the URL of a request names the server and the resource")
{
    glib_event_loop loop;
    gio_http_client owner{loop};
    raw_server server{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", raw_server::after_answer::close};
    const std::string authority = "localhost" + server.url().substr(server.url().rfind(':'));
    struct sent_resource {
        std::string url;
        std::string resource;
    };
    const auto sent =
        GENERATE(sent_resource{"", "/"}, sent_resource{"/a%2Fb", "/a%2Fb"}, sent_resource{"?q=%20", "/?q=%20"},
                 sent_resource{"/a b", "/a%20b"}, sent_resource{"/a?q=1&r#part", "/a?q=1&r"});
    REQUIRE(send(owner.client(), get("http://" + authority + sent.url)));
    CHECK(server.received == "GET " + sent.resource + " HTTP/1.1\r\nHost: " + authority + "\r\n\r\n");
}

SCENARIO("a failed call reports whether it may have reached the server")
{
    glib_event_loop loop;
    gio_http_client owner{loop};
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
        const auto answers = {send(client, get("no url")), send(client, get("ftp://127.0.0.1:9/")),
                              send(client, get("http:///a")), send(client, split)};
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
    gio_http_client owner{loop};
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
    gio_http_client owner{loop};
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

// Guards against answers of servers in trouble that reach callers as complete ones.
SCENARIO("an answer that is not valid HTTP is a failure")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 2\r\n\r\n{}";
    struct invalid_answer {
        std::string name;
        std::string bytes;
    };
    const auto invalid = GENERATE_COPY(
        invalid_answer{"status 000", "HTTP/1.1 000 OK\r\n" + body},
        invalid_answer{"status 099", "HTTP/1.1 099 OK\r\n" + body},
        invalid_answer{"status 600", "HTTP/1.1 600 OK\r\n" + body},
        invalid_answer{"a status of two digits", "HTTP/1.1 20 OK\r\n" + body},
        invalid_answer{"a status of four digits", "HTTP/1.1 2000 OK\r\n" + body},
        invalid_answer{"another protocol", "RTSP/1.0 200 OK\r\n" + body}, invalid_answer{"no status line", body},
        invalid_answer{"a blank in a name", ok + "X One: 1\r\n" + body},
        invalid_answer{"a blank before the colon", ok + "Content-Length : 2\r\n\r\n{}"},
        invalid_answer{"a tab before the colon", ok + "X-One\t: 1\r\n" + body},
        invalid_answer{"a blank before the first name", ok + " X-One: 1\r\n" + body},
        invalid_answer{"a control byte in a name", ok + "X-\x01One: 1\r\n" + body},
        invalid_answer{"a delete byte in a name", ok + "X-\x7fOne: 1\r\n" + body},
        invalid_answer{"a NUL in a name", ok + std::string{"X-\0One: 1\r\n", 11} + body},
        invalid_answer{"a carriage return in a name", ok + "X-\rOne: 1\r\n" + body},
        invalid_answer{"a byte beyond ASCII in a name", ok + "X-\xe9One: 1\r\n" + body},
        invalid_answer{"an empty name", ok + ": 1\r\n" + body},
        invalid_answer{"a NUL in a value", ok + std::string{"X-One: 1\0\r\n", 11} + body},
        invalid_answer{"a line without a colon", ok + "X-One\r\n" + body},
        invalid_answer{"two lengths", ok + "Content-Length: 5\r\n" + body},
        invalid_answer{"a list of lengths", ok + "Content-Length: 2, 5\r\n\r\n{}"},
        invalid_answer{"a length and chunks", ok + "Transfer-Encoding: chunked\r\n" + body},
        invalid_answer{"a length that is no number", ok + "Content-Length: two\r\n\r\n{}"},
        invalid_answer{"a negative length", ok + "Content-Length: -2\r\n\r\n{}"},
        invalid_answer{"an unknown transfer encoding", ok + "Transfer-Encoding: rot13\r\n\r\n{}"},
        invalid_answer{"chunks of HTTP/1.0",
                       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
        invalid_answer{"a chunk size that is no number", ok + "Transfer-Encoding: chunked\r\n\r\nx\r\n{}\r\n0\r\n\r\n"},
        invalid_answer{"a chunk longer than its size", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n"});
    CAPTURE(invalid.name);
    glib_event_loop loop;
    gio_http_client owner{loop};
    raw_server server{invalid.bytes, raw_server::after_answer::close};
    const auto answer = send(owner.client(), post(server.url(), true));
    REQUIRE(!answer);
    CHECK(answer.error().ran == run_state::outcome_unknown);
}

SCENARIO("an answer that is cut is a failure, however its body is delimited")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    glib_event_loop loop;
    gio_http_client owner{loop};
    const http_client client = owner.client();

    WHEN("the connection ends within the answer")
    {
        const std::string bytes = GENERATE_COPY(
            std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"}, std::string{"HTTP/1.1 200 OK\r\nX-One: 1"},
            std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
            std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{"}, chunked, chunked + "2", chunked + "2\r\n",
            chunked + "2\r\n{", chunked + "2\r\n{}", chunked + "2\r\n{}\r\n", chunked + "2\r\n{}\r\n0",
            chunked + "2\r\n{}\r\n0\r\n", chunked + "2\r\n{}\r\n0\r\nX-One: 1\r\n");
        CAPTURE(bytes);
        raw_server server{bytes, raw_server::after_answer::close};
        THEN("the call fails, whether its answer is read as a whole or as a stream")
        {
            const auto answer = send(client, post(server.url(), true));
            REQUIRE(!answer);
            CHECK(answer.error().ran == run_state::outcome_unknown);

            std::optional<outcome<void>> end;
            http_stream_callbacks callbacks;
            callbacks.on_end = [&end](const outcome<void>& result) { end = result; };
            client.stream(post(server.url(), true), callbacks);
            run_until([&end] { return end.has_value(); });
            CHECK(!*end);
        }
    }
    WHEN("the connection of an answer without a length is reset")
    {
        raw_server server{"HTTP/1.1 200 OK\r\n\r\n{}", raw_server::after_answer::reset};
        CHECK(!send(client, post(server.url(), true)));
    }
    WHEN("an answer without a length begins before the request is sent, and the connection ends during the upload")
    {
        const auto end = GENERATE(raw_server::after_answer::close, raw_server::after_answer::end_sending,
                                  raw_server::after_answer::reset);
        raw_server server{"HTTP/1.1 200 OK\r\n\r\n{}", end};
        http_request request = post(server.url(), true);
        request.body = std::string(std::size_t{8} * 1024 * 1024, 'a');
        THEN("the received part is no answer")
        {
            const auto answer = send(client, request);
            REQUIRE(!answer);
            CHECK(answer.error().ran == run_state::outcome_unknown);
        }
    }
}

SCENARIO("unusual but valid answers are read")
{
    const std::string bytes =
        GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\n\r\n{}", "HTTP/1.0 200 OK\r\n\r\n{}", "HTTP/1.1 200 \r\n\r\n{}",
                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\n{\r\n1\r\n}\r\n0\r\nX-One: 1\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nX-Empty:\r\n!#$%&'*+-.^_`|~09: a\xe9 b\r\nContent-Length: 2\r\n\r\n{}more");
    CAPTURE(bytes);
    glib_event_loop loop;
    gio_http_client owner{loop};
    raw_server server{bytes, raw_server::after_answer::close};
    const auto answer = send(owner.client(), get(server.url()));
    REQUIRE(answer);
    CHECK(answer->head.status == 200);
    CHECK(answer->body == "{}");
}
