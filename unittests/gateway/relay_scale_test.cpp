// Tests of record_relay with hundreds of VMs: first starts, power losses, outages of the store, and random faults.
#include "relay_fleet.h"

#include <catch2/catch.hpp>

#include <random>

using namespace agatespar;
using namespace agatespar::relay_test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vm_count = 300;
constexpr std::size_t server_count = 3000;
constexpr int zone_count = 6;

/// Creates VMs in six zones, three in each with fast links, as the users deploy them.
std::unique_ptr<fleet> make_large_fleet(std::size_t count)
{
    auto test = std::make_unique<fleet>();
    for (std::size_t i = 0; i < count; ++i) {
        const bool fast = i < 3 * zone_count;
        test->add(i, "zone-" + std::to_string(i % zone_count), fast ? 200 : 20);
    }
    return test;
}

/// Starts all VMs within 0.3 s, in random order.
void start_all(fleet& test, std::mt19937_64& random)
{
    std::vector<std::size_t> order(test.vms.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random);
    for (const std::size_t i : order) {
        if (!test.vms[i]->running) {
            test.start(i);
        }
        test.loop.advance(300ms / test.vms.size());
    }
}

void write_servers(fleet& test, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        // As long as the row of a real server, and with a unique part.
        const std::string row = "{\"backend\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"zone-1\","
                                "\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":"
                                "\"both\",\"models\":[{\"name\":\"daka510000\",\"version\":1,\"adapters\":[]}],"
                                "\"born\":" +
                                std::to_string(1'700'000'000'000 + 7919 * i) + "}";
        test.store.write(1, "i-" + std::to_string(i * 2654435761U % 4294967296U), row);
    }
}

void reset_counts(fleet& test)
{
    for (const auto& each : test.vms) {
        each->calls = 0;
        each->calls_by_topic = {};
        each->bytes_sent = 0;
        each->max_queued_bytes = 0;
    }
}

/// @return the maximum number of bytes that any VM has sent.
std::size_t max_bytes_sent(const fleet& test)
{
    std::size_t most = 0;
    for (const auto& each : test.vms) {
        most = std::max(most, each->bytes_sent);
    }
    return most;
}

} // namespace

SCENARIO("hundreds of VMs that start together for the first time need at most two calls of the store each", "[scale]")
{
    // 300 VMs start within 0.3 s. Each reads the list, writes its row, and receives the rows of all other VMs.
    const int seed = GENERATE(range(1, 4));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    auto test = make_large_fleet(vm_count);
    test->first_start = true;
    test->order(1);
    write_servers(*test, 204);
    start_all(*test, random);
    test->loop.advance(6s);
    CHECK(test->vms_behind(1) == 0);
    CHECK(test->vms_lacking(1) == 0);
    for (const auto& each : test->vms) {
        CHECK(each->relay->vms() == vm_count);
    }
    CHECK(test->readers().size() == reader_count(vm_count));
    // On a day without load, the users' limit leaves 1,200 calls for the start and 48 s of reading.
    CAPTURE(test->describe_calls());
    CHECK(test->calls() <= 2 * static_cast<int>(vm_count));
}

SCENARIO("after a power loss hundreds of VMs know thousands of servers again within the operators' limit", "[scale]")
{
    // Each of 300 VMs with slow links needs the rows of 3,000 servers. The readers can't send them at once,
    // and receive repeated pull requests.
    auto test = make_large_fleet(vm_count);
    // A VM with 0.12 of a core takes half a second to process the list, which has about 100 KB when compressed.
    test->time_per_byte = 5us;
    std::mt19937_64 random{7};
    test->order(1);
    write_servers(*test, server_count);
    start_all(*test, random);
    test->loop.advance(10s);
    REQUIRE(test->vms_lacking(1) == 0);
    for (std::size_t i = 0; i < vm_count; ++i) {
        test->kill(i);
    }
    test->loop.advance(1s);
    reset_counts(*test);
    start_all(*test, random);
    test->loop.advance(2200ms);
    CHECK(test->vms_behind(1) == 0);
    CHECK(test->vms_lacking(1) == 0);
    // Bytes queued for a link take memory of its VM, which has 40 MB in the largest deployment.
    for (const auto& each : test->vms) {
        CHECK(each->max_queued_bytes <= 8'000'000);
    }
    // Each VM reads the list of VMs. Those that forward records read the other topics, too, in pages.
    CAPTURE(test->describe_calls());
    CHECK(test->calls() <= 2 * static_cast<int>(vm_count));
}

SCENARIO("in a zone whose VMs restart one after the other each VM has all records soon after its start", "[scale]")
{
    // A zone loses power, and the VMs that forward records within the zone restart last. A VM that starts before them
    // gets no answer from any VM of its zone.
    const int seed = GENERATE(range(1, 4));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    auto test = make_large_fleet(vm_count);
    test->time_per_byte = 5us;
    test->order(1);
    write_servers(*test, server_count);
    start_all(*test, random);
    test->loop.advance(10s);
    REQUIRE(test->vms_lacking(1) == 0);
    std::vector<std::size_t> lost;
    for (std::size_t i = 0; i < vm_count; i += zone_count) {
        test->kill(i);
        lost.push_back(i);
    }
    test->loop.advance(2s);
    reset_counts(*test);
    std::shuffle(lost.begin(), lost.end(), random);
    std::stable_partition(lost.begin(), lost.end(),
                          [&test](std::size_t i) { return test->vms[i]->self.link_mbps < 100; });
    std::map<std::size_t, steady_time> started;
    std::map<std::size_t, duration> known_after;
    constexpr auto spread = 800ms;
    constexpr auto step = 10ms;
    const steady_time begin = test->loop.time().now();
    for (auto passed = 0ms; passed < 2500ms + spread; passed += step) {
        while (started.size() < lost.size() && passed * lost.size() >= spread * started.size()) {
            const std::size_t next = lost[started.size()];
            test->start(next);
            started[next] = test->loop.time().now();
        }
        test->loop.advance(step);
        for (const auto& [i, at] : started) {
            if (test->vms[i]->last_order == 1 && test->vms[i]->values.size() > server_count) {
                known_after.try_emplace(i, test->loop.time().now() - at);
            }
        }
    }
    REQUIRE(started.size() == lost.size());
    // The operators' limit is 2.5 s from the power loss to serving again. Receiving the records takes most of it.
    for (const auto& [i, at] : started) {
        CAPTURE(i, (at - begin).count());
        REQUIRE(known_after.contains(i));
        CHECK(known_after[i] <= 1s);
    }
    CHECK(test->calls() <= 3 * static_cast<int>(lost.size()));
}

SCENARIO("with hundreds of VMs and no changes, no VM sends more than the operators allow for control traffic",
         "[scale]")
{
    auto test = make_large_fleet(340);
    std::mt19937_64 random{3};
    test->order(1);
    start_all(*test, random);
    test->loop.advance(10s);
    reset_counts(*test);
    constexpr int seconds = 20;
    test->loop.advance(std::chrono::seconds{seconds});
    CHECK(max_bytes_sent(*test) / seconds <= 9000);
    // Each reader reads the orders once a second. Its reads of the other topics wait much longer.
    CAPTURE(test->describe_calls());
    CHECK(test->calls() <= 2 * seconds * static_cast<int>(reader_count(340)));
    test->order(2);
    test->loop.advance(100ms);
    CHECK(test->vms_behind(2) == 0);
}

SCENARIO("during an outage only a few of hundreds of VMs poll the store", "[scale]")
{
    // Guards against each of 300 VMs polling the store for each topic while it is down for eight seconds.
    auto test = make_large_fleet(vm_count);
    std::mt19937_64 random{5};
    test->order(1);
    start_all(*test, random);
    test->loop.advance(10s);
    reset_counts(*test);
    SECTION("it is down for all VMs")
    {
        test->store.down = true;
    }
    SECTION("it refuses the calls of all readers and of two VMs in three")
    {
        for (std::size_t i = 0; i < vm_count; ++i) {
            test->vms[i]->refused = i % 3 != 0 || test->vms[i]->relay->reads_store();
        }
    }
    test->loop.advance(8s);
    CAPTURE(test->describe_calls());
    CHECK(test->calls() <= 1000);
    test->store.down = false;
    for (const auto& each : test->vms) {
        each->refused = false;
    }
    test->order(2);
    // Servers whose entries expired register again within two seconds. The VMs must know of them by then,
    // so records have to reach all VMs earlier.
    test->loop.advance(1500ms);
    CHECK(test->vms_behind(2) == 0);
}

SCENARIO("after random faults hundreds of VMs have the same records, and none has reverted to an older order",
         "[scale-faults]")
{
    const int seed = GENERATE(range(1, 7));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    const auto draw = [&random](std::size_t below) {
        return std::uniform_int_distribution<std::size_t>{0, below - 1}(random);
    };
    auto test = make_large_fleet(vm_count);
    test->order(1);
    start_all(*test, random);
    test->loop.advance(5s);
    int order = 1;
    for (int step = 0; step < 25; ++step) {
        const std::size_t some = 1 + draw(vm_count / 2);
        switch (draw(8)) {
        case 0:
            for (std::size_t i = 0; i < some; ++i) {
                test->kill(draw(vm_count));
            }
            break;
        case 1:
            start_all(*test, random);
            break;
        case 2:
            for (std::size_t i = 0; i < some; ++i) {
                vm& one = *test->vms[draw(vm_count)];
                one.store_unreachable = !one.store_unreachable;
            }
            break;
        case 3:
            for (std::size_t i = 0; i < some; ++i) {
                vm& one = *test->vms[draw(vm_count)];
                one.refused = !one.refused;
            }
            break;
        case 4:
            test->store.down = !test->store.down;
            break;
        case 5: {
            const std::size_t zone = draw(zone_count);
            test->is_link_cut = [zone](std::size_t a, std::size_t b) {
                return (a % zone_count == zone) != (b % zone_count == zone);
            };
            break;
        }
        case 6:
            test->store.write(1, "i-" + std::to_string(draw(40)),
                              draw(3) == 0 ? std::nullopt : std::optional{std::to_string(step)});
            break;
        default:
            test->order(++order);
        }
        test->loop.advance(std::chrono::milliseconds{100 * draw(20)});
    }
    test->order(++order);
    test->store.down = false;
    test->is_link_cut = [](std::size_t, std::size_t) { return false; };
    for (const auto& each : test->vms) {
        each->store_unreachable = each->refused = false;
    }
    start_all(*test, random);
    test->loop.advance(12s);
    CHECK(test->vms_behind(order) == 0);
    CHECK(test->vms_lacking(1) == 0);
    CHECK(std::none_of(test->vms.begin(), test->vms.end(), [](const auto& each) { return each->order_regressed; }));
}
