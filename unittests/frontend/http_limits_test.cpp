// Tests of the limits that all callers of the product's own HTTP server share: connections, and bytes that are held.
#include "../http/loopback.h"

#include <agatespar/frontend/http_server.h>

#include <array>

using namespace agatespar;
using namespace agatespar::test;

namespace {

constexpr std::size_t kibibyte = 1024;

struct limited_server {
    glib_event_loop loop;
    std::unique_ptr<http_server> server;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    std::array<raw_peer, 5> clients;

    limited_server()
    {
        http_server_settings settings;
        settings.listen_address = "127.0.0.1:0";
        settings.max_connections = 4;
        settings.max_held_bytes = 1024 * kibibyte;
        auto opened = http_server::open(
            loop, settings, [this](const std::shared_ptr<http_exchange>& call) { exchanges.push_back(call); });
        REQUIRE(opened);
        server = std::move(*opened);
    }
    void send(std::size_t client, const std::string& text)
    {
        clients.at(client).connect(loop, server->address());
        clients.at(client).stream->write(text);
        run_until(loop, [&] { return clients.at(client).connected && clients.at(client).stream->unsent() == 0; });
    }
    /// Sends a request. @param body_bytes the length that it announces. @param sent_bytes the part that it sends.
    void send_body(std::size_t client, std::size_t body_bytes, std::size_t sent_bytes)
    {
        send(client, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                         std::string(sent_bytes, 'b'));
    }
    void wait_for(const std::function<bool()>& condition) { run_until(loop, condition); }
    void check_served(std::size_t client)
    {
        exchanges.back()->respond(200, "text/plain", "answer");
        exchanges.pop_back();
        wait_for([&] { return clients.at(client).received.ends_with("answer"); });
        CHECK(clients.at(client).received.starts_with("HTTP/1.1 200 "));
    }
};

} // namespace

// Guards against bodies, each within the limit of one request, that together exceed the memory of the VM.
SCENARIO("a body for which there is no room is refused before it is read, and small requests are still served")
{
    limited_server test;
    test.send_body(0, 700 * kibibyte, 690 * kibibyte);
    test.wait_for([&test] { return test.server->held() >= 690 * kibibyte; });

    WHEN("another client announces a large body")
    {
        test.send_body(1, 500 * kibibyte, 10);
        test.wait_for([&test] { return test.clients[1].ended.has_value(); });
        THEN("it is told that nothing has run and when to try again")
        {
            CHECK(test.clients[1].received.starts_with("HTTP/1.1 503 "));
            CHECK(test.clients[1].received.find("\r\nRetry-After: 1\r\n") != std::string::npos);
            CHECK(test.clients[1].received.find(R"("ran":"not_run","retry_after_ms":1000)") != std::string::npos);
            CHECK(test.server->counters().without_room == 1);
            CHECK(test.exchanges.empty());
        }
    }
    WHEN("another client sends a large body in chunks")
    {
        const std::string chunk = "10000\r\n" + std::string(64 * kibibyte, 'b') + "\r\n";
        std::string text = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 8; ++i) {
            text += chunk;
        }
        test.send(1, text + "0\r\n\r\n");
        test.wait_for([&test] { return test.clients[1].ended.has_value(); });
        CHECK(test.clients[1].received.starts_with("HTTP/1.1 503 "));
        CHECK(test.exchanges.empty());
        CHECK(test.server->held() <= 1024 * kibibyte);
    }
    WHEN("another client sends a small body")
    {
        test.send_body(1, 60 * kibibyte, 60 * kibibyte);
        test.wait_for([&test] { return test.exchanges.size() == 1; });
        test.check_served(1);
    }
    WHEN("the client that holds most leaves")
    {
        test.clients[0].stream->close();
        test.wait_for([&test] { return test.server->held() == 0; });
        test.send_body(1, 700 * kibibyte, 700 * kibibyte);
        test.wait_for([&test] { return test.exchanges.size() == 1; });
        test.check_served(1);
        test.clients[1].stream->close();
        test.wait_for([&test] { return test.server->held() == 0; });
    }
}

// Guards against callers that request answers and do not read them.
SCENARIO("a complete answer is kept until it is read, and a stream that nobody reads is ended")
{
    limited_server test;
    test.send(0, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    test.wait_for([&test] { return test.exchanges.size() == 1; });
    test.clients[0].stream->pause_reading(true);

    WHEN("the answer is larger than the room")
    {
        // Larger than what the operating system buffers on both sides.
        const std::size_t answer_bytes = 16 * 1024 * kibibyte;
        test.exchanges.back()->respond(200, "text/plain", std::string(answer_bytes, 'a'));
        test.exchanges.clear();
        test.send_body(1, 10, 10);
        test.wait_for([&test] { return test.clients[1].ended.has_value(); });
        CHECK(test.clients[1].received.starts_with("HTTP/1.1 503 "));
        CHECK(test.server->held() == answer_bytes);
        test.clients[0].stream->pause_reading(false);
        test.wait_for([&] { return test.clients[0].received.size() > answer_bytes; });
        test.wait_for([&test] { return test.server->held() == 0; });
    }
    WHEN("a stream is sent, and another caller reads its own")
    {
        test.send(1, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        test.wait_for([&test] { return test.exchanges.size() == 2; });
        const std::string piece(32 * kibibyte, 'p');
        bool has_ended = false;
        test.exchanges[0]->on_disconnect([&has_ended] { has_ended = true; });
        for (const auto& exchange : test.exchanges) {
            exchange->start_stream(200, "text/plain");
        }
        while (test.server->counters().slow_readers_disconnected == 0) {
            test.exchanges[0]->write(piece);
        }
        test.exchanges[1]->write(piece);
        test.exchanges[1]->finish_stream();
        test.wait_for([&test] { return test.clients[1].received.ends_with("0\r\n\r\n"); });
        CHECK(test.server->counters().slow_readers_disconnected == 1);
        CHECK(test.server->held() <= 1024 * kibibyte);
    }
}

// Guards against connections that use up the descriptors of the VM.
SCENARIO("a new connection closes the one that has been idle longest, and none whose request is in progress")
{
    limited_server test;
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

    GIVEN("idle connections")
    {
        for (std::size_t client = 0; client < 4; ++client) {
            test.send(client, "");
            test.wait_for([&] { return test.server->counters().open_connections == client + 1; });
        }
        test.send(4, request);
        test.wait_for([&test] { return test.clients[0].ended.has_value(); });
        test.wait_for([&test] { return test.exchanges.size() == 1; });
        test.check_served(4);
        CHECK(test.server->counters().evicted_connections == 1);
        CHECK(!test.clients[1].ended);
    }
    GIVEN("requests in progress on all connections")
    {
        for (std::size_t client = 0; client < 4; ++client) {
            test.send(client, request);
            test.wait_for([&] { return test.exchanges.size() == client + 1; });
        }
        test.clients[4].connect(test.loop, test.server->address());
        test.wait_for([&test] { return test.clients[4].ended.has_value(); });
        CHECK(test.server->counters().over_connection_limit == 1);
        CHECK(test.clients[4].received.empty());
        test.check_served(3);
    }
}
