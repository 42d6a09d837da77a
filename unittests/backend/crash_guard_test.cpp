// Tests of crash attribution.
// Failure: a client retries a request that crashes its server, through a different VM each time, and each VM runs it
// on another server.
#include <agatespar/backend/crash_guard.h>

#include <catch2/catch.hpp>

#include <random>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

/// VMs that receive each other's verdicts before the caller receives its response.
struct guarded_zone {
    std::vector<crash_guard> vms = std::vector<crash_guard>(8);
    steady_time now{1h};
    int crashes{0};
    int refused{0};

    // Sends a request that crashes its server; `others` are in flight on the same server unless the request must run
    // alone.
    void send_crashing_request(std::size_t vm, request_fingerprint crashing_request,
                               const std::vector<request_fingerprint>& others)
    {
        const crash_verdict verdict = vms[vm].verdict(crashing_request, now);
        if (verdict == crash_verdict::guilty) {
            ++refused;
            return;
        }
        ++crashes;
        const bool alone = verdict == crash_verdict::suspect;
        std::vector<gossip_item> items{vms[vm].on_crash(crashing_request, alone, now, wall_time{1h}).item};
        if (!alone) {
            for (std::size_t index = 0; index < others.size(); ++index) {
                items.push_back(vms[index % vms.size()].on_crash(others[index], false, now, wall_time{1h}).item);
            }
        }
        deliver_to_all(items);
    }

    void deliver_to_all(const std::vector<gossip_item>& items)
    {
        for (const gossip_item& item : items) {
            for (crash_guard& guard : vms) {
                REQUIRE(guard.on_item(item, now));
            }
        }
        now += 2s;
    }
};

} // namespace

SCENARIO("a request that crashes its servers is refused after two crashes at most")
{
    guarded_zone zone;
    const request_fingerprint crashing_request{666};
    const std::vector<request_fingerprint> concurrent_requests{request_fingerprint{1}, request_fingerprint{2}};

    WHEN("its caller sends it 20 times through different VMs")
    {
        for (std::size_t attempt = 0; attempt < 20; ++attempt) {
            zone.send_crashing_request(attempt % zone.vms.size(), crashing_request, concurrent_requests);
        }
        THEN("it crashes two servers at most and is then refused")
        {
            CHECK(zone.crashes <= 2);
            CHECK(zone.refused == 20 - zone.crashes);
        }
        THEN("requests that were in flight at the crash are cleared once they complete alone on a server")
        {
            CHECK(zone.vms[5].verdict(concurrent_requests[0], zone.now) == crash_verdict::suspect);
            const auto item = zone.vms[3].on_completed_alone(concurrent_requests[0], zone.now, wall_time{1h});
            REQUIRE(item);
            zone.deliver_to_all({*item});
            CHECK(zone.vms[5].verdict(concurrent_requests[0], zone.now) == crash_verdict::clear);
            CHECK_FALSE(zone.vms[3].on_completed_alone(concurrent_requests[0], zone.now, wall_time{1h}));
        }
        THEN("a guilty verdict is not cleared by completion and expires after its lifetime")
        {
            CHECK_FALSE(zone.vms[0].on_completed_alone(crashing_request, zone.now, wall_time{1h}));
            CHECK(zone.vms[0].verdict(crashing_request, zone.now + 2h) == crash_verdict::clear);
        }
    }
    WHEN("there are more verdicts than a VM may store")
    {
        for (std::uint64_t index = 0; index < 2000; ++index) {
            zone.vms[0].on_crash(request_fingerprint{index}, false, zone.now + std::chrono::seconds{index},
                                 wall_time{1h});
        }
        THEN("the oldest verdicts are evicted")
        {
            CHECK(zone.vms[0].size() == crash_guard_settings{}.max_verdicts);
            CHECK(zone.vms[0].verdict(request_fingerprint{1999}, zone.now + 2000s) == crash_verdict::suspect);
        }
    }
    THEN("a malformed gossip item is rejected")
    {
        CHECK_FALSE(zone.vms[0].on_item({gossip_kind::quarantine_verdict, "\xc1", 1, 0, "\xc1"}, zone.now));
    }
}
