// Tests of the gateway's decisions without network access: routes, server choice, cold servers, and event streams.
#include <agatespar/gateway/event_splitter.h>
#include <agatespar/gateway/fleet_state.h>
#include <agatespar/gateway/run_times.h>
#include <agatespar/gateway/server_choice.h>
#include <agatespar/gateway/service_map.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <random>

using namespace agatespar;
using namespace std::chrono_literals;

static service_route make_route(const std::string& host, const std::string& prefix)
{
    service_route route;
    route.name = route_name{host + prefix};
    route.host = host;
    route.path_prefix = prefix;
    route.services = {{service_name{"one"}, 90}, {service_name{"two"}, 10}};
    return route;
}

SCENARIO("a request matches the route of its host with the longest prefix")
{
    service_map map;
    map.routes = {make_route("a.example", "/x/"), make_route("a.example", "/x/y/"), make_route("b.example", "/x/")};
    CHECK(find_route(map, "a.example", "/x/1")->path_prefix == "/x/");
    CHECK(find_route(map, "A.example:8080", "/x/y/1?q=/z/")->path_prefix == "/x/y/");
    CHECK(find_route(map, "b.example", "/x/y/1")->host == "b.example");
    CHECK(find_route(map, "a.example", "/x") == nullptr);
    CHECK(find_route(map, "a.example", "/z/?p=/x/") == nullptr);
    CHECK(find_route(map, "c.example", "/x/1") == nullptr);
}

SCENARIO("a split route distributes its requests by weight")
{
    service_route route = make_route("a", "/");
    CHECK(draw_service(route, 0.0)->value() == "one");
    CHECK(draw_service(route, 0.899)->value() == "one");
    CHECK(draw_service(route, 0.901)->value() == "two");
    CHECK(draw_service(route, 0.9999999)->value() == "two");
    route.services[0].weight = 0;
    CHECK(draw_service(route, 0.0)->value() == "two");
    route.services.clear();
    CHECK(draw_service(route, 0.5) == nullptr);
}

SCENARIO("only safe requests and resumable streams may be retried")
{
    service_route route = make_route("a", "/");
    route.kind = request_kind::unsafe;
    CHECK(!is_safe_to_retry(route));
    route.kind = request_kind::safe;
    CHECK(is_safe_to_retry(route));
    route.kind = request_kind::streaming;
    CHECK(!is_safe_to_retry(route));
    route.resumable = true;
    CHECK(is_safe_to_retry(route));
}

SCENARIO("only complete events are forwarded")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata";
    const std::size_t piece = GENERATE(1U, 3U, 100U);
    event_splitter splitter;
    std::string passed;
    for (std::size_t i = 0; i < stream.size(); i += piece) {
        passed.append(splitter.append_bytes(std::string_view{stream}.substr(i, piece)));
    }
    CHECK(passed == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(splitter.last_id() == "2");
    CHECK(splitter.completed() == 2);
    CHECK(splitter.has_partial());
    WHEN("the stream breaks there and is resumed on another server")
    {
        splitter.drop_partial();
        CHECK(splitter.append_bytes("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
        CHECK(splitter.last_id() == "3");
        CHECK(!splitter.has_partial());
    }
}

SCENARIO("which events are complete does not depend on how a stream is divided")
{
    const int seed = GENERATE(range(1, 101));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    std::string stream;
    for (int i = 0; i < 60; ++i) {
        static constexpr std::array<std::string_view, 7> pieces{"id: 7", "data", "\r", "\n", "\n", "\n\n", "\r\n\r\n"};
        stream += pieces[random() % pieces.size()];
    }
    event_splitter undivided;
    const std::string expected{undivided.append_bytes(stream)};
    event_splitter divided;
    std::string passed;
    for (std::size_t i = 0; i < stream.size();) {
        const std::size_t size = 1 + random() % 5;
        passed.append(divided.append_bytes(std::string_view{stream}.substr(i, size)));
        i += size;
    }
    CHECK(passed == expected);
    CHECK(divided.completed() == undivided.completed());
    CHECK(divided.last_id() == undivided.last_id());
    CHECK(divided.partial_size() == undivided.partial_size());
}

SCENARIO("requests with the same prompt go to one server until its load exceeds the bound")
{
    std::mt19937_64 random{3};
    std::vector<server_option> options(4, {2, 10, 0, false, 0});
    options[2].prompt_weight = 9;
    options[1].prompt_weight = 5;
    const choice_settings settings{1.25, 1};
    CHECK(choose_server(options, true, settings, random) == 2U);
    WHEN("its load exceeds the bound, the server with the next highest weight is chosen")
    {
        options[2].load = 8;
        CHECK(choose_server(options, true, settings, random) == 1U);
    }
    WHEN("it failed recently")
    {
        options[2].avoided = true;
        CHECK(choose_server(options, true, settings, random) == 1U);
    }
    WHEN("all others are full, it is used although it failed")
    {
        for (auto& option : options) {
            option.load = 10;
        }
        options[2] = {0, 10, 0, true, 9};
        CHECK(choose_server(options, true, settings, random) == 2U);
    }
    WHEN("every slot is in use")
    {
        for (auto& option : options) {
            option.load = 10;
        }
        CHECK(!choose_server(options, true, settings, random));
    }
}

SCENARIO("requests without a prompt are spread over the servers by load")
{
    std::mt19937_64 random{3};
    std::vector<server_option> options(4, {0, 10, 0, false, 0});
    options[0].load = 9;
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        ++chosen[*choose_server(options, false, {}, random)];
    }
    // The loaded server is chosen only if both random choices select it: one in sixteen.
    CHECK(chosen[0] < 120);
    CHECK(chosen[1] > 200);
    CHECK(chosen[2] > 200);
    CHECK(chosen[3] > 200);
}

// Guards against new requests that are sent to a server whose machine others are using.
SCENARIO("a server is weighed by its present speed")
{
    std::mt19937_64 random{3};
    std::vector<server_option> options(2, {2, 10, 0, false, 0});
    const auto share_of_first = [&](bool prefer_prompt_affinity) {
        int chosen = 0;
        for (int i = 0; i < 1000; ++i) {
            chosen += choose_server(options, prefer_prompt_affinity, {1.25, 1}, random) == 0U ? 1 : 0;
        }
        return chosen;
    };
    options[0].slowness = 2;
    // It is chosen only if both random choices select it: one in four.
    CHECK(share_of_first(false) < 350);
    WHEN("it is idle, and the other one has little load")
    {
        options[0].load = 0;
        CHECK(share_of_first(false) > 650);
        options[0].slowness = 4;
        CHECK(share_of_first(false) < 350);
    }
    WHEN("it is preferred for its prompts, until its load would be over the bound at its speed")
    {
        options[0].prompt_weight = 9;
        CHECK(share_of_first(true) == 1000);
        options[0].slowness = 4;
        CHECK(share_of_first(true) == 0);
    }
}

SCENARIO("servers that do not report their speed are chosen as before it was known")
{
    // Drawn with the code before servers were weighed by their speed.
    const std::string before = "1224421242213130433130414333341243400204434130113424200011223103";
    std::mt19937_64 random{11};
    std::string chosen;
    for (std::size_t round = 0; round < before.size(); ++round) {
        std::vector<server_option> options(5);
        for (server_option& option : options) {
            option.load = static_cast<std::uint32_t>(random() % 9);
            option.slots = 8;
            option.backlog = static_cast<double>(random() % 4) / 2;
            option.avoided = random() % 4 == 0;
            option.prompt_weight = random();
            option.slowness = present_slowness({}, steady_time{1h});
        }
        chosen += std::to_string(choose_server(options, round % 2 == 1, {1.25, 1.01}, random).value_or(9));
    }
    CHECK(chosen == before);
}

SCENARIO("a server's reports of its slowness are smoothed and expire")
{
    manual_clock time;
    fleet_server server;
    const auto report = [&](std::optional<std::uint32_t> percent) {
        answer_metadata facts;
        facts.load = reported_load{1, 0, 8, percent};
        note_answer(server, facts, time.now());
    };
    const auto slowness = [&] { return present_slowness(server, time.now()); };
    report(std::nullopt);
    CHECK(slowness() == 1);
    WHEN("the values are noise around the usual one")
    {
        for (int i = 0; i < 200; ++i) {
            time.advance(10ms);
            report(i % 2 == 0 ? 20 : 180);
            CHECK(slowness() > 0.5);
            CHECK(slowness() < 1.5);
        }
        CHECK(slowness() == Approx(1).epsilon(0.05));
    }
    WHEN("work takes longer from now on, this is known within a few seconds")
    {
        for (int i = 0; i < 100; ++i) {
            time.advance(30ms);
            report(300);
        }
        CHECK(slowness() > 2.8);
        THEN("it is not used some seconds after the last report")
        {
            time.advance(2900ms);
            CHECK(slowness() > 1);
            time.advance(200ms);
            CHECK(slowness() == 1);
        }
    }
    WHEN("a single value is out of range, the server is not excluded")
    {
        report(1'000'000);
        CHECK(slowness() < 6);
    }
}

static server_record make_record(const std::string& name)
{
    server_record record;
    record.name = server_name{name};
    record.service = service_name{"one"};
    record.address = "127.0.0.1:1";
    record.zone = zone_name{"z"};
    record.version = version_name{"v1"};
    record.slots = 4;
    return record;
}

SCENARIO("a version is served while one of its servers accepts requests")
{
    server_directory directory;
    server_record record;
    record.name = server_name{"i-1"};
    record.service = service_name{"one"};
    record.version = version_name{"v2"};
    const steady_time now{1h};
    CHECK(!directory.serves(record.service, record.version));
    directory.set(record, now);
    CHECK(directory.serves(record.service, record.version));
    CHECK(!directory.serves(record.service, version_name{"v1"}));
    CHECK(!directory.serves(service_name{"two"}, record.version));
    record.leaving = true;
    directory.set(record, now);
    CHECK(!directory.serves(record.service, record.version));
}

SCENARIO("a server's entry is removed")
{
    manual_clock time;
    server_directory directory;
    const server_name name{"s"};
    directory.set(make_record("s"), time.now());

    WHEN("the store was never unreachable, the server has stopped")
    {
        directory.remove(name, time.now());
        CHECK(directory.all().empty());
    }
    WHEN("the store is back after an outage, the entry may have lapsed in the meantime")
    {
        directory.note_store_lost(time.now());
        time.advance(4s);
        directory.note_store_back(time.now());
        directory.remove(name, time.now());
        CHECK(directory.all().size() == 1);
        THEN("a server whose entry is restored is kept")
        {
            time.advance(2s);
            directory.set(make_record("s"), time.now());
            time.advance(2s);
            CHECK(directory.expire(time.now()).empty());
            CHECK(directory.all().size() == 1);
        }
        THEN("a server whose entry is not restored is removed")
        {
            time.advance(2499ms);
            CHECK(directory.expire(time.now()).empty());
            time.advance(1ms);
            CHECK(directory.expire(time.now()).size() == 1);
            CHECK(directory.all().empty());
        }
    }
    WHEN("only this VM could not reach the store, which accepted other records in the meantime")
    {
        // Failure: a server stops without notice while some VMs cannot reach the store, and others can.
        directory.note_store_lost(time.now());
        time.advance(4s);
        directory.note_store_back(time.now());
        directory.set(make_record("newcomer"), time.now());
        directory.remove(name, time.now());
        CHECK(directory.all().size() == 1);
    }
    WHEN("one of many entries is missing after an outage, its server has stopped; an outage makes all entries lapse")
    {
        for (const char* other : {"a", "b", "c", "d", "e"}) {
            directory.set(make_record(other), time.now());
        }
        directory.note_store_lost(time.now());
        time.advance(4s);
        directory.note_store_back(time.now());
        directory.remove(name, time.now());
        CHECK(directory.expire(time.now()) == std::vector<server_name>{name});
    }
    WHEN("the outage was too short for any entry to lapse")
    {
        // Failure: one read fails, and a server stops without notice right after it.
        directory.note_store_lost(time.now());
        time.advance(200ms);
        directory.note_store_back(time.now());
        directory.remove(name, time.now());
        CHECK(directory.all().empty());
    }
    WHEN("the server had announced that it stops")
    {
        auto record = make_record("s");
        record.leaving = true;
        directory.set(record, time.now());
        directory.note_store_lost(time.now());
        time.advance(4s);
        directory.note_store_back(time.now());
        directory.remove(name, time.now());
        CHECK(directory.all().empty());
    }
}

// Guards against requests to a leaving server whose entry is read again from an older copy of the store.
SCENARIO("a server that is leaving does not go back, until it starts again")
{
    manual_clock time;
    server_directory directory;
    server_record record = make_record("s");
    record.started_unix_ms = 1000;
    record.leaving = true;
    directory.set(record, time.now());
    record.leaving = false;
    directory.set(record, time.now());
    CHECK(!accepts_requests(*directory.all().at(server_name{"s"})));
    record.started_unix_ms = 2000;
    directory.set(record, time.now());
    CHECK(accepts_requests(*directory.all().at(server_name{"s"})));
}

// Guards against requests to a server that has said in an answer that it is leaving (DRAIN).
SCENARIO("a server's own word that it is leaving holds until the server starts again")
{
    manual_clock time;
    server_directory directory;
    server_record record = make_record("s");
    record.started_unix_ms = 1000;
    directory.set(record, time.now());
    directory.set(make_record("other"), time.now());
    const auto accepts = [&directory] { return accepts_requests(*directory.all().at(server_name{"s"})); };
    CHECK(accepts());
    CHECK(directory.note_says_leaving(record));
    CHECK(!directory.note_says_leaving(record));
    CHECK(!accepts());
    CHECK(accepts_requests(*directory.all().at(server_name{"other"})));

    WHEN("a record says that it is ready")
    {
        directory.set(record, time.now());
        CHECK(!accepts());
    }
    WHEN("its entry lapses and returns")
    {
        directory.remove(record.name, time.now());
        directory.set(record, time.now());
        CHECK(!accepts());
    }
    WHEN("it is the only server of its version, the version is not served")
    {
        directory.remove(server_name{"other"}, time.now());
        CHECK(!directory.serves(record.service, record.version));
    }
    WHEN("it starts again under its name, or another server gets the name")
    {
        if (GENERATE(true, false)) {
            record.started_unix_ms = 2000;
        }
        else {
            record.address = "127.0.0.1:2";
        }
        directory.set(record, time.now());
        CHECK(accepts());
        AND_WHEN("a late answer of the earlier start arrives")
        {
            server_record earlier = make_record("s");
            earlier.started_unix_ms = 1000;
            CHECK(!directory.note_says_leaving(earlier));
            CHECK(accepts());
        }
    }
}

SCENARIO("a server that restarts under a known name has no state from before")
{
    manual_clock time;
    server_directory directory;
    auto record = make_record("s");
    record.started_unix_ms = 1;
    directory.set(record, time.now());
    const auto before = directory.all().begin()->second;
    before->in_flight = 3;
    directory.set(record, time.now());
    CHECK(directory.all().begin()->second == before);
    record.started_unix_ms = 2;
    directory.set(record, time.now());
    CHECK(directory.all().begin()->second != before);
    CHECK(directory.all().begin()->second->in_flight == 0);
    CHECK(before->presence == directory_presence::replaced);
}

// Guards against runs that are taken off the count because a server is silent: requests then run on more servers than
// their route permits.
SCENARIO("a silent server's run counts until the server is known to have ended")
{
    manual_clock time;
    server_directory directory;
    for (const char* name : {"a", "b", "c"}) {
        auto record = make_record(name);
        record.started_unix_ms = 1;
        directory.set(record, time.now());
    }
    std::vector<std::shared_ptr<fleet_server>> runs;
    for (const auto& [name, server] : directory.all()) {
        runs.push_back(server);
    }
    time.advance(1s);
    for (const auto& server : runs) {
        server->last_received_at = time.now();
    }
    time.advance(500ms);
    runs[0]->probe_failed_at = time.now();
    runs[1]->probe_failed_at = time.now();
    CHECK(count_runs(runs) == 3);

    SECTION("the store gives it up, and it is silent for this VM too")
    {
        directory.remove(server_name{"a"}, time.now());
        CHECK(count_runs(runs) == 2);
    }
    SECTION("its entry is gone, but it has answered since")
    {
        directory.remove(server_name{"a"}, time.now());
        time.advance(100ms);
        runs[0]->last_received_at = time.now();
        CHECK(count_runs(runs) == 3);
    }
    SECTION("a server that this VM has not found silent leaves without saying so")
    {
        directory.remove(server_name{"c"}, time.now());
        CHECK(count_runs(runs) == 3);
    }
    SECTION("it has started again")
    {
        auto record = make_record("b");
        record.started_unix_ms = 2;
        directory.set(record, time.now());
        CHECK(count_runs(runs) == 2);
    }
}

SCENARIO("a server's load is its last report, corrected by this VM's requests since then")
{
    manual_clock time;
    fleet_server server;
    server.in_flight = 2;
    const auto load = [&](duration report_lifetime = 4s) {
        return estimated_load(server, report_lifetime, time.now());
    };
    CHECK(load() == 2);
    answer_metadata facts;
    facts.load = reported_load{6, 1, 8, {}};
    note_answer(server, facts, time.now());
    CHECK(load() == 7);
    server.in_flight = 4;
    CHECK(load() == 9);
    server.in_flight = 0;
    CHECK(load() == 5);
    WHEN("the report ages, it counts less: a server that was full gets requests again")
    {
        // Failure: all servers of a small service report a full load once, and then never get a request.
        time.advance(2s);
        CHECK(load() == 2);
        time.advance(10s);
        CHECK(load() == 0);
    }
    WHEN("it ages at a service whose requests end soon")
    {
        time.advance(100ms);
        CHECK(load(200ms) == 2);
        time.advance(100ms);
        CHECK(load(200ms) == 0);
    }
}

// Guards against refusals at a plain service, all of whose reports are a second old and say that its servers are full,
// while a request runs for 20 ms.
SCENARIO("load reports age according to how long requests run at the service")
{
    manual_clock time;
    service_run_times times;
    const auto lifetime = [&] { return load_report_lifetime(times, time.now()); };
    const auto note = [&](request_kind kind, duration run_time, int answers = 1) {
        for (int i = 0; i < answers; ++i) {
            note_run_time(times, kind, run_time, time.now());
        }
    };
    WHEN("no request has been answered yet")
    {
        CHECK(lifetime() == 4s);
    }
    WHEN("requests take 20 ms")
    {
        note(request_kind::safe, 20ms, 3);
        CHECK(lifetime() == 100ms);
        fleet_server server;
        answer_metadata facts;
        facts.load = reported_load{8, 0, 8, {}};
        note_answer(server, facts, time.now());
        CHECK(estimated_load(server, lifetime(), time.now()) == 8);
        time.advance(1s);
        CHECK(estimated_load(server, lifetime(), time.now()) == 0);
    }
    WHEN("requests take 5 s, a report from half a second ago is still valid")
    {
        note(request_kind::unsafe, 5s);
        CHECK(lifetime() == 4s);
    }
    WHEN("some requests are streams, which run longest")
    {
        note(request_kind::streaming, 500ms);
        note(request_kind::safe, 20ms, 100);
        CHECK(lifetime() == 1500ms);
        THEN("they do not count any more some time after the last one")
        {
            time.advance(40s);
            note(request_kind::safe, 20ms);
            CHECK(lifetime() == 100ms);
        }
    }
    WHEN("run times change, the newer ones count more")
    {
        note(request_kind::safe, 20ms, 4);
        time.advance(10s);
        note(request_kind::safe, 400ms, 4);
        CHECK(lifetime() > 900ms);
        CHECK(lifetime() < 1200ms);
    }
    WHEN("nothing has been answered for a long time, nothing is known")
    {
        note(request_kind::safe, 20ms, 4);
        time.advance(24h);
        CHECK(lifetime() == 4s);
    }
}

SCENARIO("a failing server is avoided for longer each time, and no longer after an answer")
{
    manual_clock time;
    fleet_server server;
    note_failure(server, time.now());
    const auto first = server.avoid_until - time.now();
    note_failure(server, time.now());
    CHECK(server.avoid_until - time.now() == 2 * first);
    for (int i = 0; i < 20; ++i) {
        note_failure(server, time.now());
    }
    CHECK(server.avoid_until - time.now() == 16 * first);
    note_answer(server, {}, time.now());
    CHECK(server.avoid_until <= time.now());
}

SCENARIO("a cold server gets this VM's share of its permitted rate")
{
    manual_clock time;
    fleet_server server;
    server.cold_credits_updated_at = time.now();
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        time.advance(10ms);
        sent += take_cold_credit(server, 32.0, 16, time.now()) ? 1 : 0;
    }
    // Two requests per second for ten seconds.
    CHECK(sent >= 19);
    CHECK(sent <= 20);
}

SCENARIO("a server that becomes cold again gets no more than its permitted rate from hundreds of VMs")
{
    // Failure: each of 300 VMs has known the server for long, and has a request for it as soon as it becomes cold.
    manual_clock time;
    constexpr std::size_t vms = 300;
    constexpr double rate = 11;
    server_record record = make_record("a");
    std::vector<server_directory> directories(vms);
    for (server_directory& directory : directories) {
        directory.set(record, time.now());
    }
    time.advance(60s);
    record.remaining_cold_time = 3000ms;
    for (server_directory& directory : directories) {
        directory.set(record, time.now());
    }
    int sent = 0;
    for (int step = 0; step < 10; ++step) {
        time.advance(100ms);
        for (server_directory& directory : directories) {
            fleet_server& server = *directory.all().begin()->second;
            sent += take_cold_credit(server, rate, 1.25 * vms, time.now()) ? 1 : 0;
        }
    }
    // The limit that the users set for one second.
    CHECK(sent <= rate * 1.5 + 5);
}

SCENARIO("hundreds of VMs keep a cold server's rate limit, whenever they learn that it is cold")
{
    // Failure: a server becomes cold repeatedly, and each VM has a request for it at every moment.
    const int seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    manual_clock time;
    constexpr std::size_t vms = 300;
    constexpr double rate = 11;
    constexpr auto step = 20ms;
    constexpr int steps_per_second = 50;
    // The VM list has grown from 170 entries within seconds; some VMs know of it, others do not yet.
    std::vector<double> assumed(vms);
    std::vector<server_directory> directories(vms);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        assumed[vm] = 1.25 * static_cast<double>(std::uniform_int_distribution<int>{230, 300}(random));
        // Each VM sees only some of the others that precede it.
        const double phase = static_cast<double>(vm) / vms * std::uniform_real_distribution<double>{0.95, 1}(random);
        directories[vm].set_cold_phase([phase](const server_record&) { return phase; });
    }
    std::vector<int> learned_at(vms);
    std::deque<int> sent;
    for (int now = 0; now < 60 * steps_per_second; ++now) {
        time.advance(step);
        const int since_cold = now % (20 * steps_per_second);
        if (since_cold == 0) {
            for (int& at : learned_at) {
                at = std::uniform_int_distribution<int>{0, steps_per_second / 2}(random);
            }
        }
        int sent_now = 0;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (since_cold == learned_at[vm]) {
                server_record record = make_record("a");
                record.remaining_cold_time = 10s;
                directories[vm].set(record, time.now());
            }
            const auto& known = directories[vm].all();
            if (!known.empty() && known.begin()->second->cold_until > time.now()) {
                sent_now += take_cold_credit(*known.begin()->second, rate, assumed[vm], time.now()) ? 1 : 0;
            }
        }
        sent.push_back(sent_now);
        if (sent.size() > steps_per_second) {
            sent.pop_front();
        }
        // The limit that the users set for one second.
        REQUIRE(std::accumulate(sent.begin(), sent.end(), 0) <= rate * 1.5 + 5);
    }
}

SCENARIO("hundreds of VMs use a cold server's permitted rate")
{
    // Failure: half of all servers are back after a crash and cold for three seconds, and all requests wait for them.
    manual_clock time;
    constexpr std::size_t vms = 300;
    constexpr double rate = 11;
    server_record record = make_record("a");
    record.remaining_cold_time = 3s;
    std::vector<server_directory> directories(vms);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        directories[vm].set_cold_phase([vm](const server_record&) { return static_cast<double>(vm) / vms; });
        directories[vm].set(record, time.now());
    }
    int sent = 0;
    for (int i = 0; i < 150; ++i) {
        time.advance(20ms);
        for (server_directory& directory : directories) {
            sent += take_cold_credit(*directory.all().begin()->second, rate, 1.25 * vms, time.now()) ? 1 : 0;
        }
    }
    // The limit must also be used: at least half of the requests that the users allow.
    CHECK(sent >= 0.5 * 3 * rate);
}

SCENARIO("unused credits for a cold server are not all used in the same second")
{
    // Failure: a cold server gets no requests while there are warm ones; when these fail, all VMs send to it at once.
    const std::size_t vms = GENERATE(9, 17, 30, 75, 300);
    const std::chrono::seconds idle{GENERATE(2, 3, 10, 60)};
    CAPTURE(vms, idle.count());
    manual_clock time;
    constexpr double rate = 11;
    const double assumed = std::max(16.0, 1.25 * static_cast<double>(vms));
    server_record record = make_record("a");
    record.remaining_cold_time = 120s;
    std::vector<server_directory> directories(vms);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        directories[vm].set_cold_phase(
            [vm, vms](const server_record&) { return static_cast<double>(vm) / static_cast<double>(vms); });
        directories[vm].set(record, time.now());
    }
    time.advance(idle);
    int sent = 0;
    for (int i = 0; i < 50; ++i) {
        time.advance(20ms);
        for (server_directory& directory : directories) {
            sent += take_cold_credit(*directory.all().begin()->second, rate, assumed, time.now()) ? 1 : 0;
        }
    }
    CHECK(sent <= rate * 1.5 + 5);
}

SCENARIO("servers are filtered to those that may get a request")
{
    manual_clock time;
    fleet_store store{};
    store.read_operator_key = [](std::string_view key) {
        return operator_key{operator_key::subject::evacuation, std::string{key}};
    };
    store.read_server = [](std::string_view key, std::string_view text) -> outcome<server_record> {
        auto record = make_record(std::string{key});
        record.zone = zone_name{text == "far" ? "far" : "z"};
        record.version = version_name{text == "new" ? "v2" : "v1"};
        record.leaving = text == "leaving";
        record.remaining_cold_time = text == "cold" ? 1000ms : 0ms;
        if (text == "broken") {
            return failure(error_code::malformed, "no record");
        }
        return record;
    };
    fleet_state fleet{store, {}, 1};
    const auto set = [&](const std::string& name, const std::string& text) {
        fleet.apply_server_record({name, text, 1}, time.now());
    };
    set("a", "");
    set("b", "leaving");
    set("c", "cold");
    set("d", "far");
    set("e", "new");
    const service_name service{"one"};
    const version_name target{"v2"};
    server_criteria need;
    need.service = &service;
    need.target = &target;
    const auto names = [&] {
        std::string text;
        for (const auto& server : eligible_servers(fleet, need, time.now())) {
            text += server->record.name.value();
        }
        return text;
    };
    CHECK(names() == "ade");
    WHEN("a zone is evacuated and used again")
    {
        fleet.apply_operator_record({"far", "{}", 1}, time.now());
        CHECK(names() == "ae");
        fleet.apply_operator_record({"far", std::nullopt, 2}, time.now());
        CHECK(names() == "ade");
    }
    WHEN("only one version may answer")
    {
        need.version = version_choice::others_only;
        CHECK(names() == "ad");
        need.version = version_choice::target_only;
        CHECK(names() == "e");
    }
    WHEN("some servers have been tried")
    {
        const std::vector<server_name> tried{server_name{"a"}, server_name{"d"}};
        need.tried = tried;
        CHECK(names() == "e");
    }
    WHEN("only a cold server is left")
    {
        const std::vector<server_name> tried{server_name{"a"}, server_name{"d"}, server_name{"e"}};
        need.tried = tried;
        CHECK(names() == "c");
        time.advance(1s);
        need.tried = {};
        CHECK(names() == "acde");
    }
    WHEN("an entry becomes unreadable, its server is removed and the others are kept")
    {
        set("a", "broken");
        CHECK(names() == "de");
    }
}

SCENARIO("a prompt that is being processed keeps others from queueing behind it")
{
    // Failure: long prompts with a common prefix arrive together, and their preferred server would process one after
    // the other.
    std::mt19937_64 random{3};
    manual_clock time;
    fleet_server server;
    server.unread_tokens = 50'000;
    std::vector<server_option> options(4, {2, 48, 0, false, 0});
    options[2].prompt_weight = 9;
    options[1].prompt_weight = 5;
    CHECK(choose_server(options, true, {}, random) == 2U);
    options[2].backlog = estimated_backlog(server, 4s, time.now());
    CHECK(choose_server(options, true, {}, random) == 1U);
    WHEN("the server reports waiting requests, these count too, for a while")
    {
        server.unread_tokens = 0;
        answer_metadata facts;
        facts.load = reported_load{3, 6, 48, {}};
        note_answer(server, facts, time.now());
        CHECK(estimated_backlog(server, 4s, time.now()) > 4);
        time.advance(2s);
        CHECK(estimated_backlog(server, 4s, time.now()) == 0);
    }
}
