// Tests of the gateway's decisions, which need no network: routes, servers, cold ones, and event streams.
#include <agatespar/gateway/event_splitter.h>
#include <agatespar/gateway/fleet_state.h>
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

SCENARIO("a request falls on the route of its host with the longest prefix")
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

SCENARIO("a split route divides its requests by weight")
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

SCENARIO("only safe requests and resumable streams may run again")
{
    service_route route = make_route("a", "/");
    route.kind = request_kind::unsafe;
    CHECK(!may_repeat(route));
    route.kind = request_kind::safe;
    CHECK(may_repeat(route));
    route.kind = request_kind::streaming;
    CHECK(!may_repeat(route));
    route.resumable = true;
    CHECK(may_repeat(route));
}

SCENARIO("events are handed on whole")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata";
    const std::size_t piece = GENERATE(1U, 3U, 100U);
    event_splitter splitter;
    std::string passed;
    for (std::size_t i = 0; i < stream.size(); i += piece) {
        passed.append(splitter.take(std::string_view{stream}.substr(i, piece)));
    }
    CHECK(passed == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(splitter.last_id() == "2");
    CHECK(splitter.has_partial());
    WHEN("the stream breaks there and goes on elsewhere")
    {
        splitter.drop_partial();
        CHECK(splitter.take("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
        CHECK(splitter.last_id() == "3");
        CHECK(!splitter.has_partial());
    }
}

SCENARIO("requests with the same prompt meet at one server until its load passes the bound")
{
    std::mt19937_64 random{3};
    std::vector<server_option> options(4, {2, 10, 0, false, 0});
    options[2].prompt_weight = 9;
    options[1].prompt_weight = 5;
    const choice_settings settings{1.25, 1};
    CHECK(choose_server(options, true, settings, random) == 2U);
    WHEN("its load passes the bound, the next in the order takes over")
    {
        options[2].load = 8;
        CHECK(choose_server(options, true, settings, random) == 1U);
    }
    WHEN("it failed lately")
    {
        options[2].avoided = true;
        CHECK(choose_server(options, true, settings, random) == 1U);
    }
    WHEN("all others are full, it is used though it failed")
    {
        for (auto& option : options) {
            option.load = 10;
        }
        options[2] = {0, 10, 0, true, 9};
        CHECK(choose_server(options, true, settings, random) == 2U);
    }
    WHEN("every place is taken")
    {
        for (auto& option : options) {
            option.load = 10;
        }
        CHECK(!choose_server(options, true, settings, random));
    }
}

SCENARIO("requests without a prompt spread over servers, by load")
{
    std::mt19937_64 random{3};
    std::vector<server_option> options(4, {0, 10, 0, false, 0});
    options[0].load = 9;
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        ++chosen[*choose_server(options, false, {}, random)];
    }
    // The loaded one is taken only when both draws fall on it: one in sixteen.
    CHECK(chosen[0] < 120);
    CHECK(chosen[1] > 200);
    CHECK(chosen[2] > 200);
    CHECK(chosen[3] > 200);
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

SCENARIO("a version serves while one of its servers takes requests")
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

SCENARIO("a server's entry goes away")
{
    manual_clock time;
    server_directory directory;
    const server_name name{"s"};
    directory.set(make_record("s"), time.now());

    WHEN("the store was there all along, the server has left")
    {
        directory.remove(name, time.now());
        CHECK(directory.all().empty());
    }
    WHEN("the store has just come back after an outage, the entry may have lapsed meanwhile")
    {
        directory.note_store_lost(time.now());
        time.advance(4s);
        directory.note_store_back(time.now());
        directory.remove(name, time.now());
        CHECK(directory.all().size() == 1);
        THEN("the server that puts it back is kept")
        {
            time.advance(2s);
            directory.set(make_record("s"), time.now());
            time.advance(2s);
            CHECK(directory.expire(time.now()).empty());
            CHECK(directory.all().size() == 1);
        }
        THEN("one that stays away is gone")
        {
            time.advance(2499ms);
            CHECK(directory.expire(time.now()).empty());
            time.advance(1ms);
            CHECK(directory.expire(time.now()).size() == 1);
            CHECK(directory.all().empty());
        }
    }
    WHEN("only this VM was turned away, and the store took other records meanwhile")
    {
        // Pattern: a server leaves without notice while some VMs can't reach the store, which others can.
        directory.note_store_lost(time.now());
        time.advance(4s);
        directory.note_store_back(time.now());
        directory.set(make_record("newcomer"), time.now());
        directory.remove(name, time.now());
        CHECK(directory.all().size() == 1);
    }
    WHEN("one of many is gone after an outage, it has left; others would have lapsed with it")
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
    WHEN("the store only hesitated, too short for any entry to lapse")
    {
        // Pattern: one read fails, and a server leaves without notice right after it.
        directory.note_store_lost(time.now());
        time.advance(200ms);
        directory.note_store_back(time.now());
        directory.remove(name, time.now());
        CHECK(directory.all().empty());
    }
    WHEN("the server had said that it leaves")
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

SCENARIO("another start under an old name knows nothing of before")
{
    manual_clock time;
    server_directory directory;
    auto record = make_record("s");
    record.born = 1;
    directory.set(record, time.now());
    const auto before = directory.all().begin()->second;
    before->in_flight = 3;
    directory.set(record, time.now());
    CHECK(directory.all().begin()->second == before);
    record.born = 2;
    directory.set(record, time.now());
    CHECK(directory.all().begin()->second != before);
    CHECK(directory.all().begin()->second->in_flight == 0);
    CHECK(before->gone);
}

SCENARIO("a server's load is its last report and what this VM did since")
{
    manual_clock time;
    fleet_server server;
    server.in_flight = 2;
    CHECK(estimated_load(server, time.now()) == 2);
    answer_facts facts;
    facts.load = reported_load{6, 1, 8};
    note_answer(server, facts, time.now());
    CHECK(estimated_load(server, time.now()) == 7);
    server.in_flight = 4;
    CHECK(estimated_load(server, time.now()) == 9);
    server.in_flight = 0;
    CHECK(estimated_load(server, time.now()) == 5);
    WHEN("the report grows old, it counts less: a server that was full is asked again")
    {
        // Pattern: all servers of a small service report that they are full once, and are then never asked.
        time.advance(2s);
        CHECK(estimated_load(server, time.now()) == 2);
        time.advance(10s);
        CHECK(estimated_load(server, time.now()) == 0);
    }
}

SCENARIO("a failing server is avoided for longer each time, and trusted again after an answer")
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

SCENARIO("a cold server gets this VM's share of what it bears")
{
    manual_clock time;
    fleet_server server;
    server.cold_refilled = time.now();
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        time.advance(10ms);
        sent += take_cold_turn(server, 32.0, 16, time.now()) ? 1 : 0;
    }
    // Two a second for ten seconds.
    CHECK(sent >= 19);
    CHECK(sent <= 20);
}

SCENARIO("a server that turns cold again gets no more from hundreds of VMs than it bears")
{
    // Pattern: each of 300 VMs has known the server for long, and has a request for it as soon as it turns cold.
    manual_clock time;
    constexpr std::size_t vms = 300;
    constexpr double rate = 11;
    server_record record = make_record("a");
    std::vector<server_directory> directories(vms);
    for (server_directory& directory : directories) {
        directory.set(record, time.now());
    }
    time.advance(60s);
    record.cold_left = 3000ms;
    for (server_directory& directory : directories) {
        directory.set(record, time.now());
    }
    int sent = 0;
    for (int step = 0; step < 10; ++step) {
        time.advance(100ms);
        for (server_directory& directory : directories) {
            fleet_server& server = *directory.all().begin()->second;
            sent += take_cold_turn(server, rate, 1.25 * vms, time.now()) ? 1 : 0;
        }
    }
    // What the users allow in one second.
    CHECK(sent <= rate * 1.5 + 5);
}

SCENARIO("hundreds of VMs keep a cold server's bound, whenever they hear of it")
{
    // Pattern: a server turns cold time and again, and each VM has a request for it at every moment.
    const int seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    manual_clock time;
    constexpr std::size_t vms = 300;
    constexpr double rate = 11;
    constexpr auto step = 20ms;
    constexpr int steps_a_second = 50;
    // The list has grown from 170 within seconds; some know of it, others do not yet.
    std::vector<double> assumed(vms);
    std::vector<server_directory> directories(vms);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        assumed[vm] = 1.25 * static_cast<double>(std::uniform_int_distribution<int>{230, 300}(random));
        // Each sees a part of the others before itself.
        const double place = static_cast<double>(vm) / vms * std::uniform_real_distribution<double>{0.95, 1}(random);
        directories[vm].set_cold_place([place](const server_record&) { return place; });
    }
    std::vector<int> heard_at(vms);
    std::deque<int> sent;
    for (int now = 0; now < 60 * steps_a_second; ++now) {
        time.advance(step);
        const int since_cold = now % (20 * steps_a_second);
        if (since_cold == 0) {
            for (int& at : heard_at) {
                at = std::uniform_int_distribution<int>{0, steps_a_second / 2}(random);
            }
        }
        int sent_now = 0;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (since_cold == heard_at[vm]) {
                server_record record = make_record("a");
                record.cold_left = 10s;
                directories[vm].set(record, time.now());
            }
            const auto& known = directories[vm].all();
            if (!known.empty() && known.begin()->second->cold_until > time.now()) {
                sent_now += take_cold_turn(*known.begin()->second, rate, assumed[vm], time.now()) ? 1 : 0;
            }
        }
        sent.push_back(sent_now);
        if (sent.size() > steps_a_second) {
            sent.pop_front();
        }
        // What the users allow in one second.
        REQUIRE(std::accumulate(sent.begin(), sent.end(), 0) <= rate * 1.5 + 5);
    }
}

SCENARIO("hundreds of VMs use what a cold server bears")
{
    // Pattern: half of all servers are back after a crash, cold for three seconds, and all requests wait for them.
    manual_clock time;
    constexpr std::size_t vms = 300;
    constexpr double rate = 11;
    server_record record = make_record("a");
    record.cold_left = 3s;
    std::vector<server_directory> directories(vms);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        directories[vm].set_cold_place([vm](const server_record&) { return static_cast<double>(vm) / vms; });
        directories[vm].set(record, time.now());
    }
    int sent = 0;
    for (int i = 0; i < 150; ++i) {
        time.advance(20ms);
        for (server_directory& directory : directories) {
            sent += take_cold_turn(*directory.all().begin()->second, rate, 1.25 * vms, time.now()) ? 1 : 0;
        }
    }
    // A bound that is kept by never using it is a loss: half of what the users allow.
    CHECK(sent >= 0.5 * 3 * rate);
}

SCENARIO("turns at a cold server that nobody used are not all used in one second")
{
    // Pattern: a cold server is asked by nobody while there are warm ones; when these fail, all VMs turn to it at once.
    const std::size_t vms = GENERATE(9, 17, 30, 75, 300);
    const std::chrono::seconds idle{GENERATE(2, 3, 10, 60)};
    CAPTURE(vms, idle.count());
    manual_clock time;
    constexpr double rate = 11;
    const double assumed = std::max(16.0, 1.25 * static_cast<double>(vms));
    server_record record = make_record("a");
    record.cold_left = 120s;
    std::vector<server_directory> directories(vms);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        directories[vm].set_cold_place(
            [vm, vms](const server_record&) { return static_cast<double>(vm) / static_cast<double>(vms); });
        directories[vm].set(record, time.now());
    }
    time.advance(idle);
    int sent = 0;
    for (int i = 0; i < 50; ++i) {
        time.advance(20ms);
        for (server_directory& directory : directories) {
            sent += take_cold_turn(*directory.all().begin()->second, rate, assumed, time.now()) ? 1 : 0;
        }
    }
    CHECK(sent <= rate * 1.5 + 5);
}

SCENARIO("servers are narrowed to those that may take a request")
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
        record.cold_left = text == "cold" ? 1000ms : 0ms;
        if (text == "broken") {
            return failure(error_code::malformed, "no record");
        }
        return record;
    };
    fleet_state fleet{store, {}, 1};
    const auto set = [&](const std::string& name, const std::string& text) {
        fleet.take_server_record({name, text, 1}, time.now());
    };
    set("a", "");
    set("b", "leaving");
    set("c", "cold");
    set("d", "far");
    set("e", "new");
    const service_name service{"one"};
    const version_name target{"v2"};
    server_need need;
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
    WHEN("a zone is evacuated and taken back")
    {
        fleet.take_operator_record({"far", "{}", 1}, time.now());
        CHECK(names() == "ae");
        fleet.take_operator_record({"far", std::nullopt, 2}, time.now());
        CHECK(names() == "ade");
    }
    WHEN("only one version may answer")
    {
        need.version = version_choice::others_only;
        CHECK(names() == "ad");
        need.version = version_choice::target_only;
        CHECK(names() == "e");
    }
    WHEN("some were tried")
    {
        const std::vector<server_name> tried{server_name{"a"}, server_name{"d"}};
        need.tried = tried;
        CHECK(names() == "e");
    }
    WHEN("only a cold one is left")
    {
        const std::vector<server_name> tried{server_name{"a"}, server_name{"d"}, server_name{"e"}};
        need.tried = tried;
        CHECK(names() == "c");
        time.advance(1s);
        need.tried = {};
        CHECK(names() == "acde");
    }
    WHEN("an entry can't be read any more, it names no server and the others hold")
    {
        set("a", "broken");
        CHECK(names() == "de");
    }
}

SCENARIO("a prompt that is being read keeps others from queueing behind it")
{
    // Pattern: long prompts of one subject arrive together, and their usual server would read one after the other.
    std::mt19937_64 random{3};
    manual_clock time;
    fleet_server server;
    server.unread_tokens = 50'000;
    std::vector<server_option> options(4, {2, 48, 0, false, 0});
    options[2].prompt_weight = 9;
    options[1].prompt_weight = 5;
    CHECK(choose_server(options, true, {}, random) == 2U);
    options[2].backlog = estimated_backlog(server, time.now());
    CHECK(choose_server(options, true, {}, random) == 1U);
    WHEN("the server says that requests wait, that counts too, for a while")
    {
        server.unread_tokens = 0;
        answer_facts facts;
        facts.load = reported_load{3, 6, 48};
        note_answer(server, facts, time.now());
        CHECK(estimated_backlog(server, time.now()) > 4);
        time.advance(2s);
        CHECK(estimated_backlog(server, time.now()) == 0);
    }
}

SCENARIO("a zone whose servers fail one after the other is avoided as a whole, until one of them answers")
{
    // Pattern: a zone is cut off, and each of its servers would cost a request its connection time.
    manual_clock time;
    zone_reach zones;
    fleet_server first;
    first.record = make_record("a");
    fleet_server second;
    second.record = make_record("b");
    const zone_name zone{"z"};
    zones.note_unreachable(first, time.now());
    zones.note_unreachable(first, time.now());
    CHECK(!zones.is_avoided(zone, time.now()));
    zones.note_unreachable(second, time.now());
    CHECK(zones.is_avoided(zone, time.now()));
    CHECK(!zones.is_avoided(zone_name{"other"}, time.now()));
    WHEN("one of them answers")
    {
        zones.note_reached(second);
        CHECK(!zones.is_avoided(zone, time.now()));
    }
    WHEN("time passes, a request may find out whether the cut is over")
    {
        time.advance(2s);
        CHECK(!zones.is_avoided(zone, time.now()));
    }
}
