// Tests of the HTTP server and client within a memory budget: refusals, evictions, and that nothing stays reserved.
// Guards against clients that together exceed the memory of the VM, each within the limits of a message.
#include "loopback.h"

#include <agatespar/http/client.h>
#include <agatespar/http/server.h>

#include <algorithm>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

static constexpr std::size_t kb = 1024;

namespace {

struct memory_fixture {
    glib_event_loop loop;
    std::shared_ptr<memory_budget> budget{std::make_shared<memory_budget>()};
    std::vector<std::shared_ptr<server_exchange>> exchanges;
    std::unique_ptr<http_listener> listener;
    std::vector<std::unique_ptr<raw_peer>> clients;

    explicit memory_fixture(std::size_t limit)
    {
        budget->set_limit(limit);
        auto opened = http_listener::open(
            loop, "127.0.0.1:0", server_limits{{}, 20s, 20s},
            [this](const auto& exchange) { exchanges.push_back(exchange); }, budget);
        REQUIRE(opened);
        listener = std::move(*opened);
    }
    raw_peer& send(const std::string& text)
    {
        clients.push_back(std::make_unique<raw_peer>());
        clients.back()->connect(loop, listener->address());
        clients.back()->stream->write(text);
        return *clients.back();
    }
    raw_peer& send_body(std::size_t length, std::size_t sent)
    {
        return send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
                    std::string(sent, 'b'));
    }
    std::size_t held(memory_holder holder) const { return budget->held_by(holder); }
    void wait(duration time)
    {
        bool over = false;
        loop.schedule(time, [&over] { over = true; });
        run_until(loop, [&over] { return over; });
    }
    void end_all()
    {
        for (const auto& client : clients) {
            client->stream->close();
        }
        exchanges.clear();
        run_until(loop, [this] { return listener->connections() == 0; });
        CHECK(budget->state().reserved == 0);
    }
};

} // namespace

SCENARIO("a body that does not fit is refused at once, and small requests go on")
{
    memory_fixture test{1024 * kb};
    raw_peer& first = test.send_body(600 * kb, 500 * kb);
    run_until(test.loop, [&] { return test.held(memory_holder::request_body) >= 500 * kb; });
    raw_peer& second = test.send_body(600 * kb, 300 * kb);
    run_until(test.loop, [&] { return second.ended.has_value(); });
    CHECK(second.received.starts_with("HTTP/1.1 503 "));
    CHECK(second.received.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(second.ended == stream_end::closed);
    CHECK(test.held(memory_holder::request_body) <= 600 * kb);
    CHECK(test.budget->refusals(memory_refusal::request) == 1);

    raw_peer& expecting =
        test.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\nExpect: 100-continue\r\n\r\n");
    run_until(test.loop, [&] { return expecting.ended.has_value(); });
    CHECK(expecting.received.starts_with("HTTP/1.1 503 "));

    test.send_body(10, 10);
    run_until(test.loop, [&] { return test.exchanges.size() == 1; });
    first.stream->write(std::string(100 * kb, 'b'));
    run_until(test.loop, [&] { return test.exchanges.size() == 2; });
    CHECK(test.exchanges.back()->body() == std::string(600 * kb, 'b'));
    test.end_all();
}

SCENARIO("a stalled request gives way to one that makes progress")
{
    memory_fixture test{1024 * kb};
    raw_peer& stalled = test.send_body(700 * kb, 500 * kb);
    run_until(test.loop, [&] { return test.held(memory_holder::request_body) >= 500 * kb; });
    test.wait(max_stall_time);
    test.send_body(600 * kb, 600 * kb);
    run_until(test.loop, [&] { return stalled.ended && test.exchanges.size() == 1; });
    CHECK(stalled.received.starts_with("HTTP/1.1 503 "));
    CHECK(test.budget->refusals(memory_refusal::stalled_request) == 1);
    test.end_all();
}

SCENARIO(
    "of the clients that do not read, those that hold most are closed, and not those whose request may run once only")
{
    memory_fixture test{100'000 * kb};
    for (int count = 0; count < 3; ++count) {
        test.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").stream->pause_reading(true);
        run_until(test.loop, [&] { return test.exchanges.size() == static_cast<std::size_t>(count) + 1; });
        budgeted_string body{test.budget, memory_holder::client_output};
        body.append(std::string((20'000U + 1000U * static_cast<unsigned>(count)) * kb, 'a'));
        test.exchanges.back()->answer_shared(local_answer_head(200), share(std::move(body)), count == 2);
    }
    CHECK(test.held(memory_holder::client_output) >= 63'000 * kb);
    const auto has_room = [&] { return test.held(memory_holder::client_output) < 43'000 * kb; };
    CHECK_FALSE(test.listener->make_room(has_room));
    CHECK(test.listener->close_most_unread(has_room));
    CHECK(test.budget->refusals(memory_refusal::most_unread) == 1);
    CHECK(test.listener->connections() == 2);
    CHECK_FALSE(test.listener->close_most_unread([] { return false; }));
    CHECK(test.listener->connections() == 1);

    raw_peer& reading = *test.clients.back();
    reading.stream->pause_reading(false);
    run_until(test.loop, [&] { return reading.received.size() > 22'000 * kb; });
    CHECK(test.held(memory_holder::client_output) == 0);
    test.end_all();
}

SCENARIO("a running request is not closed to free memory, though its client reads nothing")
{
    memory_fixture test{100'000 * kb};
    raw_peer& client = test.send("GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\n\r\n");
    client.stream->pause_reading(true);
    run_until(test.loop, [&] { return test.exchanges.size() == 1; });
    test.exchanges.front()->answer_shared(local_answer_head(200), std::make_shared<const std::string>(20'000 * kb, 'a'),
                                          false);
    run_until(test.loop, [&] { return test.exchanges.size() == 2; });
    CHECK_FALSE(test.listener->close_most_unread([] { return false; }));
    CHECK(test.exchanges.back()->is_open());
    test.end_all();
}

SCENARIO("a body that a server does not read is shared by the attempts, not copied")
{
    glib_event_loop loop;
    const auto budget = std::make_shared<memory_budget>();
    raw_server server{loop};
    connection_pool pool{loop, pool_limits{}, budget};
    client_request request;
    request.key = "server-1";
    request.address = server.listener->address();
    request.head = {"POST", "/x", {{"Host", "a"}}, true};
    request.shared_body = std::make_shared<const std::string>(20'000 * kb, 'b');
    request.may_reuse = false;
    const client_callbacks callbacks{[](const auto&) {}, [](auto) {}, [] {}, [](const auto&) {}};
    std::vector<std::shared_ptr<client_call>> calls;
    for (int count = 0; count < 2; ++count) {
        calls.push_back(*pool.start(request, callbacks));
    }
    run_until(loop, [&] { return server.peers.size() == 2 && !server.peers[1]->received.empty(); });
    CHECK(request.shared_body.use_count() == 3);
    CHECK(budget->held_by(memory_holder::server_output) <= 2 * kb);
    run_until(loop, [&] {
        return std::all_of(server.peers.begin(), server.peers.end(),
                           [](const auto& peer) { return peer->received.size() > 20'000 * kb; });
    });
    CHECK(request.shared_body.use_count() == 1);
    calls.clear();
    CHECK(budget->state().reserved == 0);
}

SCENARIO("a queue returns its bytes in order, whatever part of them is sent at a time")
{
    const auto budget = std::make_shared<memory_budget>();
    output_queue queue;
    queue.count_in(budget, memory_holder::client_output);
    std::string expected;
    for (int count = 0; count < 40; ++count) {
        const std::string text(static_cast<std::size_t>(count) * 997, static_cast<char>('a' + count % 26));
        queue.append(text);
        queue.append(std::make_shared<const std::string>("xx" + text), 2);
        expected += text + text;
    }
    CHECK(queue.size() == expected.size());
    CHECK(budget->held_by(memory_holder::client_output) >= expected.size() / 2);
    std::string sent;
    for (std::size_t step = 1; !queue.empty(); step = step * 3 + 1) {
        std::string front;
        for (const std::string_view part : queue.front()) {
            front += part;
        }
        const std::size_t count = std::min(step, front.size());
        sent += front.substr(0, count);
        queue.consume(count);
    }
    CHECK(sent == expected);
    CHECK(budget->state().reserved == 0);
}
