// Tests of the HTTP server: persistent connections, limits, clients that disconnect, and aborted answers.
#include "loopback.h"

#include <agatespar/http/server.h>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

namespace {

struct server_fixture {
    glib_event_loop loop;
    std::vector<std::shared_ptr<server_exchange>> exchanges;
    std::unique_ptr<http_listener> listener;
    raw_peer client;

    explicit server_fixture(const server_limits& limits = {})
    {
        auto opened = http_listener::open(loop, "127.0.0.1:0", limits,
                                          [this](const auto& exchange) { exchanges.push_back(exchange); });
        REQUIRE(opened);
        listener = std::move(*opened);
        client.connect(loop, listener->address());
    }
    void wait_for_requests(std::size_t count)
    {
        run_until(loop, [this, count] { return exchanges.size() == count; });
    }
    void wait_for_text(const std::string& text)
    {
        run_until(loop, [this, &text] { return client.received.find(text) != std::string::npos; });
    }
    void wait_for_end()
    {
        run_until(loop, [this] { return client.ended.has_value(); });
    }
};

} // namespace

// Guards against running the text in the body of a request as a request of its own.
SCENARIO("a request that cannot be delimited is refused, and its connection ends before its body is read as a request")
{
    server_fixture test;
    test.client.stream->write("POST /order HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n"
                              "POST /inside HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    test.wait_for_end();
    CHECK(test.exchanges.empty());
    CHECK(test.client.received.starts_with("HTTP/1.1 400 "));
    CHECK(test.client.received.find("Connection: close") != std::string::npos);
}

SCENARIO("a persistent connection processes one request after the other")
{
    server_fixture test;
    test.client.stream->write("GET /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    test.wait_for_requests(1);
    CHECK(test.exchanges[0]->head().target == "/one");
    test.exchanges[0]->answer(local_answer_head(200), "first");
    test.wait_for_requests(2);
    CHECK(test.exchanges[1]->head().target == "/two");
    test.exchanges[1]->answer(local_answer_head(200), "second");
    test.wait_for_text("second");
    CHECK(test.client.received.find("first") < test.client.received.find("second"));

    WHEN("the listener stops")
    {
        test.listener->stop();
        test.wait_for_end();
        CHECK(test.client.ended == stream_end::closed);
    }
}

SCENARIO("a streamed answer is sent in chunks, and an aborted one can't be mistaken for a complete one")
{
    server_fixture test;
    test.client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    test.wait_for_requests(1);
    test.exchanges[0]->begin(local_answer_head(200));
    test.exchanges[0]->send_chunk("event");
    test.wait_for_text("5\r\nevent\r\n");
    WHEN("it is finished")
    {
        test.exchanges[0]->finish();
        test.wait_for_text("0\r\n\r\n");
    }
    WHEN("it is aborted")
    {
        test.exchanges[0]->abort();
        test.wait_for_end();
        CHECK(test.client.received.find("0\r\n\r\n") == std::string::npos);
    }
    WHEN("its exchange is destroyed without being finished")
    {
        test.exchanges.clear();
        test.wait_for_end();
        CHECK(test.client.received.find("0\r\n\r\n") == std::string::npos);
    }
}

// Guards against chunk sizes inside the body that an HTTP/1.0 client sees: it does not know the encoding.
SCENARIO("a streamed answer to a client of HTTP/1.0 ends with its connection")
{
    server_fixture test;
    test.client.stream->write("GET /old HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
    test.wait_for_requests(1);
    test.exchanges[0]->begin(local_answer_head(200));
    test.exchanges[0]->send_chunk("first ");
    test.exchanges[0]->send_chunk("second");
    test.exchanges[0]->finish();
    test.wait_for_end();
    CHECK(test.client.ended == stream_end::closed);
    CHECK(test.client.received == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst second");
}

// Guards against bytes that a client reads as the beginning of the next answer: a body where the status or the method
// permits none.
SCENARIO("a streamed answer without a body is followed by the next answer on the same connection")
{
    server_fixture test;
    std::string method = "GET";
    http_answer_head head;
    head.reason = "None";
    WHEN("its status permits no body")
    {
        head.status = GENERATE(204, 304);
    }
    WHEN("its request's method permits none")
    {
        method = "HEAD";
        head.status = 200;
    }
    test.client.stream->write(method + " /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    test.wait_for_requests(1);
    test.exchanges[0]->begin(head);
    test.exchanges[0]->send_chunk("event");
    test.exchanges[0]->finish();
    test.wait_for_requests(2);
    test.exchanges[1]->answer(local_answer_head(200), "second");
    test.wait_for_text("second");
    CHECK(test.client.received == "HTTP/1.1 " + std::to_string(head.status) +
                                      " None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
}

SCENARIO("an aborted answer to a client of HTTP/1.0 can't be mistaken for a complete one")
{
    server_fixture test;
    test.client.stream->write("GET /old HTTP/1.0\r\nHost: a\r\n\r\n");
    test.wait_for_requests(1);
    test.exchanges[0]->begin(local_answer_head(200));
    test.exchanges[0]->send_chunk("first ");
    test.wait_for_text("first ");
    test.exchanges[0]->abort();
    test.wait_for_end();
    CHECK(test.client.ended == stream_end::broken);
}

SCENARIO("the disconnect of a client is reported while its request is being answered")
{
    server_fixture test;
    test.client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    test.wait_for_requests(1);
    bool disconnected = false;
    test.exchanges[0]->on_disconnect([&disconnected] { disconnected = true; });
    test.client.stream->close();
    run_until(test.loop, [&disconnected] { return disconnected; });
    CHECK(!test.exchanges[0]->is_open());
    // An answer after the disconnect is dropped.
    test.exchanges[0]->answer(local_answer_head(200), "late");
}

SCENARIO("a client that exceeds a limit gets the status of that limit, and the connection is closed")
{
    server_limits limits;
    limits.message = {256, 8};
    limits.request_timeout = 30ms;
    limits.idle_timeout = 30ms;
    server_fixture test{limits};
    WHEN("the head is too long")
    {
        test.client.stream->write("GET / HTTP/1.1\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
        test.wait_for_text("HTTP/1.1 431 ");
    }
    WHEN("the body is too long")
    {
        test.client.stream->write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n");
        test.wait_for_text("HTTP/1.1 413 ");
    }
    WHEN("the request is not complete in time")
    {
        test.client.stream->write("GET / HTTP/1.1\r\nHost:");
        test.wait_for_text("HTTP/1.1 408 ");
    }
    WHEN("it has no Host field")
    {
        test.client.stream->write("GET / HTTP/1.1\r\n\r\n");
        test.wait_for_text("HTTP/1.1 400 ");
    }
    WHEN("it sends nothing at all")
    {
        test.wait_for_end();
        CHECK(test.client.received.empty());
    }
    test.wait_for_end();
    CHECK(test.exchanges.empty());
}

SCENARIO("answers of a stopping listener announce the close of the connection, and are counted until they are received")
{
    server_fixture test;
    test.client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    test.wait_for_requests(1);
    test.listener->close_after_answers();
    test.client.stream->pause_reading(true);
    test.exchanges[0]->answer(local_answer_head(200), "last");
    CHECK(test.listener->open_exchanges() == 0);
    CHECK(test.listener->lingering() == 1);
    test.client.stream->pause_reading(false);
    test.wait_for_text("Connection: close");
    test.wait_for_end();
    run_until(test.loop, [&test] { return test.listener->lingering() == 0; });
}

// Guards against answers that are cut off one second after they were queued, while the client still takes their bytes.
SCENARIO("an answer is sent completely before its connection closes, for as long as the client takes it")
{
    server_fixture test;
    const blocking_client client{test.listener->address()};
    constexpr int receive_buffer = 64 * 1024;
    REQUIRE(setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer) == 0);
    client.send_text("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    test.wait_for_requests(1);
    // More than the operating system holds, and than a client that takes 32 KB in 10 ms receives in a second.
    const std::string body(12U << 20U, 'x');
    test.exchanges[0]->answer(local_answer_head(200), body);
    std::size_t received = 0;
    WHEN("the client reads slowly, it gets all of it")
    {
        while (test.listener->lingering() > 0) {
            std::size_t taken = 0;
            for (std::string text = client.receive_text(); !text.empty(); text = client.receive_text()) {
                taken += text.size();
                if (taken >= 32U * 1024) {
                    break;
                }
            }
            received += taken;
            bool waited = false;
            test.loop.schedule(10ms, [&waited] { waited = true; });
            run_until(test.loop, [&waited] { return waited; });
        }
        for (std::string text = client.receive_text(); !text.empty(); text = client.receive_text()) {
            received += text.size();
        }
        CHECK(received > body.size());
    }
    WHEN("the client takes nothing, its connection is closed")
    {
        run_until(test.loop, [&test] { return test.listener->lingering() == 0; });
    }
}

SCENARIO("a stopping listener answers the requests that the operating system had received before the stop")
{
    // Guards against requests that are lost in a planned stop under load, when clients connect and send at the moment
    // of the stop.
    const std::string request = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";
    server_fixture test;
    const auto answer_late_request = [&test](std::size_t number) {
        test.wait_for_requests(number);
        CHECK(test.exchanges.back()->head().target == "/late");
        CHECK(test.listener->open_exchanges() == 1);
        test.exchanges.back()->answer(local_answer_head(200), "late");
        CHECK(test.listener->open_exchanges() == 0);
    };

    WHEN("a connection with a request has not been accepted yet")
    {
        test.client.stream->close();
        run_until(test.loop, [&test] { return test.listener->connections() == 0; });
        const blocking_client late{test.listener->address()};
        late.send_text(request);
        test.listener->stop();
        answer_late_request(1);
        std::string received;
        run_until(test.loop, [&] {
            received += late.receive_text();
            return received.find("Connection: close") != std::string::npos;
        });
    }
    WHEN("a persistent connection has a request that has not been read yet")
    {
        test.client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        test.wait_for_requests(1);
        test.exchanges[0]->answer(local_answer_head(200), "first");
        test.wait_for_text("first");
        test.client.stream->write(request);
        test.listener->stop();
        answer_late_request(2);
        test.wait_for_text("Connection: close");
    }
    WHEN("half of a request has been read")
    {
        test.client.stream->write(request.substr(0, 10));
        run_until(test.loop, [&test] { return test.client.connected && test.client.stream->unsent() == 0; });
        const steady_time sent = test.loop.time().now();
        run_until(test.loop, [&] { return test.loop.time().now() - sent > 20ms; });
        test.listener->stop();
        CHECK(test.listener->open_exchanges() == 1);
        test.client.stream->write(request.substr(10));
        answer_late_request(1);
        test.wait_for_text("Connection: close");
    }
    WHEN("a client has just connected")
    {
        run_until(test.loop, [&test] { return test.client.connected; });
        test.listener->stop();
        THEN("its request, which may be in transit, is waited for")
        {
            CHECK(test.listener->open_exchanges() == 1);
            test.client.stream->write(request);
            answer_late_request(1);
            test.wait_for_text("Connection: close");
        }
        THEN("the wait is short")
        {
            test.wait_for_end();
            CHECK(test.client.ended == stream_end::closed);
            CHECK(test.listener->open_exchanges() == 0);
        }
    }
}
