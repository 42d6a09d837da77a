// Tests of servers that send an invalid answer without end: the call fails after a bounded number of bytes.
#include "loopback.h"

#include <agatespar/http/client.h>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

SCENARIO("a call fails after a bounded number of bytes if any part of an answer never ends")
{
    // Guards against exhaustion of the VM's memory by many calls to a faulty server that writes until the connection is
    // closed.
    struct endless_answer {
        std::string name;
        std::string prefix;
        std::string repeated;
    };
    const std::string filler(1000, 'a');
    const auto kind = GENERATE_COPY(
        endless_answer{"no line end", "", filler}, endless_answer{"empty lines", "", "\r\n\r\n\r\n\r\n"},
        endless_answer{"a status line", "HTTP/1.1 200 ", filler},
        endless_answer{"a header field", "HTTP/1.1 200 OK\r\nX: ", filler},
        endless_answer{"header fields", "HTTP/1.1 200 OK\r\n", "X: " + filler + "\r\n"},
        endless_answer{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_answer{"answers to another request", "", "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 2\r\n\r\nno"},
        endless_answer{"a chunk's size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000000000"},
        endless_answer{"a chunk's extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", filler},
        endless_answer{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
                       "X: " + filler + "\r\n"});
    CAPTURE(kind.name);
    glib_event_loop loop;
    raw_server server{loop};
    connection_pool pool{loop, pool_limits{}};
    client_request request;
    request.key = "server-1";
    request.address = server.listener->address();
    request.head = {"GET", "/x", {{"Host", "a"}, {"X-Id", "7"}}, true};
    request.id_header = "X-Id";
    std::optional<send_failure> failed;
    std::size_t body = 0;
    client_callbacks callbacks;
    callbacks.head = [](const http_answer_head&) {};
    callbacks.body = [&body](std::string_view bytes) { body += bytes.size(); };
    callbacks.done = [] {};
    callbacks.failed = [&failed](const send_failure& failure) { failed = failure; };
    const auto call = pool.start(request, std::move(callbacks));
    REQUIRE(call);
    run_until(loop, [&server] { return !server.peers.empty() && server.peers[0]->received.ends_with("\r\n\r\n"); });
    server.peers[0]->stream->write(kind.prefix);
    constexpr std::size_t step_bytes = 16 * 1024;
    // Twice the limit of a head, plus the capacity of the buffers between both ends.
    constexpr std::size_t max_sent_bytes = 8 * 1024 * 1024;
    std::size_t sent = 0;
    while (!failed && sent < max_sent_bytes) {
        std::string step;
        while (step.size() < step_bytes) {
            step += kind.repeated;
        }
        sent += step.size();
        server.peers[0]->stream->write(step);
        run_until(loop, [&] { return failed || server.peers[0]->ended || server.peers[0]->stream->unsent() == 0; });
        if (server.peers[0]->ended) {
            break;
        }
    }
    run_until(loop, [&server] { return server.peers[0]->ended.has_value(); });
    CHECK(failed);
    CHECK(body <= 2);
}
