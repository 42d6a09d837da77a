// Tests of the limit on client connections: which connection gives way to a new one, and what a listener does when no
// descriptor is left. The load is clients that open more connections than the process has descriptors.
#include "loopback.h"

#include <agatespar/http/server.h>

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <limits>
#include <string>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

// Guards against clients whose connections leave no descriptor for servers, the store and other VMs.
SCENARIO("a quarter of the descriptors is reserved for servers, the store and other VMs")
{
    constexpr std::size_t no_limit = std::numeric_limits<std::size_t>::max();
    CHECK(client_connection_limit(400, no_limit) == 150);
    CHECK(client_connection_limit(2870, no_limit) == 2003);

    WHEN("the operating system's limit is lower")
    {
        CHECK(client_connection_limit(2870, 1024) == 768);
    }
    WHEN("the operators' limit leaves nothing beside the files")
    {
        CHECK(client_connection_limit(200, no_limit) == 1);
        CHECK(client_connection_limit(10, no_limit) == 1);
    }
}

// Guards against idle clients that keep others out, and against the loss of requests in progress.
SCENARIO("a new connection evicts the one that has been idle longest, then one whose head makes no progress")
{
    const steady_time now{1h};
    const connection_state in_request{client_activity::in_request, now - 50s};
    const connection_state idle_long{client_activity::idle, now - 10s};
    const connection_state idle_briefly{client_activity::idle, now};
    const connection_state stalled_head{client_activity::sending_head, now - 30s};
    const connection_state older_stalled_head{client_activity::sending_head, now - 31s};
    const connection_state moving_head{client_activity::sending_head, now - head_progress_timeout};

    GIVEN("connections in each state")
    {
        const std::array all{in_request, stalled_head, idle_briefly, idle_long, moving_head};
        CHECK(choose_evicted(all, now) == 3);
    }
    GIVEN("an idle connection that is newer than a head without progress")
    {
        CHECK(choose_evicted(std::array{stalled_head, idle_briefly}, now) == 1);
    }
    GIVEN("no idle connection")
    {
        CHECK(choose_evicted(std::array{moving_head, in_request, stalled_head, older_stalled_head}, now) == 3);
    }
    GIVEN("only connections in use")
    {
        CHECK(!choose_evicted(std::array{in_request, moving_head}, now));
        CHECK(!choose_evicted({}, now));
    }
}

namespace {

/// A listener with a limit of two connections, and its clients.
struct limited_listener {
    glib_event_loop loop;
    std::vector<std::shared_ptr<server_exchange>> exchanges;
    std::unique_ptr<http_listener> listener;
    std::array<raw_peer, 3> clients;

    limited_listener()
    {
        auto opened = http_listener::open(loop, "127.0.0.1:0", server_limits{},
                                          [this](const auto& exchange) { exchanges.push_back(exchange); });
        REQUIRE(opened);
        listener = std::move(*opened);
        listener->set_connection_limit(2);
    }
    /// Connects a client and waits until the listener has accepted or refused it.
    /// @param text what the client sends at once.
    void connect(std::size_t client, const std::string& text = {})
    {
        clients.at(client).connect(loop, listener->address());
        clients.at(client).stream->write(text);
        run_until(loop, [&] {
            const connection_counters counters = listener->counters();
            return clients.at(client).connected &&
                   listener->connections() + counters.evicted + counters.refused == client + 1;
        });
    }
    void wait_for_requests(std::size_t count)
    {
        run_until(loop, [this, count] { return exchanges.size() == count; });
    }
    void wait_for_end(std::size_t client)
    {
        run_until(loop, [this, client] { return clients.at(client).ended.has_value(); });
    }
    void check_served(std::size_t client)
    {
        exchanges.back()->answer(local_answer_head(200), "answer");
        run_until(loop, [&] { return clients.at(client).received.ends_with("answer"); });
    }
};

} // namespace

static const std::string request = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against idle clients that keep others out, and against the loss of requests in progress.
SCENARIO("a listener at its limit serves new clients in place of idle ones, and completes the requests in progress")
{
    limited_listener test;

    GIVEN("a connection that waits for its first request, and one that has been served since")
    {
        test.connect(0);
        test.connect(1, request);
        test.wait_for_requests(1);
        test.check_served(1);
        test.connect(2, request);
        THEN("the first one is closed, and the new client is served")
        {
            test.wait_for_end(0);
            CHECK(test.clients[0].ended == stream_end::closed);
            test.wait_for_requests(2);
            test.check_served(2);
            CHECK(!test.clients[1].ended);
            CHECK(test.listener->connections() == 2);
            CHECK(test.listener->counters().evicted == 1);
            CHECK(test.listener->counters().refused == 0);
        }
    }
    GIVEN("connections whose requests are in progress, and one whose head has just begun")
    {
        test.connect(0, request);
        test.wait_for_requests(1);
        test.connect(1, request.substr(0, 9));
        run_until(test.loop, [&test] { return test.listener->open_exchanges() == 2; });
        test.connect(2, request);
        THEN("the new connection is closed, and the others go on")
        {
            test.wait_for_end(2);
            CHECK(test.clients[2].received.empty());
            test.check_served(0);
            test.clients[1].stream->write(request.substr(9));
            test.wait_for_requests(2);
            test.check_served(1);
            CHECK(test.listener->counters().evicted == 0);
            CHECK(test.listener->counters().refused == 1);
        }
    }
    GIVEN("an idle connection whose request the operating system has received")
    {
        test.connect(0, request);
        test.wait_for_requests(1);
        test.check_served(0);
        test.connect(1);
        const blocking_client next{test.listener->address()};
        test.clients[0].stream->write(request);
        THEN("the request is read, and the other connection is closed")
        {
            test.wait_for_requests(2);
            test.check_served(0);
            test.wait_for_end(1);
        }
    }
    GIVEN("connections that are closing, whose clients do not read the last bytes")
    {
        const std::array<blocking_client, 3> clients{blocking_client{test.listener->address()},
                                                     blocking_client{test.listener->address()},
                                                     blocking_client{test.listener->address()}};
        for (const blocking_client& client : clients) {
            client.send_text("malformed\r\n\r\n");
        }
        run_until(test.loop, [&test] { return test.listener->lingering() + test.listener->counters().refused >= 2; });
        run_until(test.loop, [&test] { return test.listener->connections() == 0; });
        CHECK(test.listener->lingering() <= 2);
    }
}

namespace {

/// Leaves the process no free descriptor until it is destroyed.
class descriptor_shortage {
public:
    descriptor_shortage()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &usual_) == 0);
        const int lowest_free = dup(STDIN_FILENO);
        REQUIRE(lowest_free >= 0);
        close(lowest_free);
        const rlimit none{static_cast<rlim_t>(lowest_free), usual_.rlim_max};
        began_ = setrlimit(RLIMIT_NOFILE, &none) == 0;
    }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;
    ~descriptor_shortage() { setrlimit(RLIMIT_NOFILE, &usual_); }
    bool began() const { return began_; }

private:
    rlimit usual_{};
    bool began_{false};
};

} // namespace

// Guards against a listener that uses all of a processor core while the process has no descriptor left.
SCENARIO("a listener without descriptors pauses, and accepts the waiting client once there is one")
{
    limited_listener test;
    test.clients[0].connect(test.loop, test.listener->address());
    bool began = false;
    duration two_pauses{0};
    {
        // Nothing is checked before it ends: the undefined behaviour sanitizer needs descriptors for a pipe when it
        // first sees an object of Catch2's with virtual functions.
        const descriptor_shortage shortage;
        began = shortage.began();
        const auto wait_for_pauses = [&test](std::uint64_t count) {
            run_until(test.loop, [&] { return test.listener->counters().accept_pauses >= count; });
            return test.loop.time().now();
        };
        const steady_time first = wait_for_pauses(1);
        two_pauses = wait_for_pauses(3) - first;
    }
    CHECK(began);
    // A timer never fires early, so a listener that pauses takes at least this long.
    CHECK(two_pauses > 100ms);
    test.clients[0].stream->write(request);
    test.wait_for_requests(1);
    test.check_served(0);
}
