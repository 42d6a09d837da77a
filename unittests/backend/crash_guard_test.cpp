// Tests of crash attribution: one killer request, sent again and again through different VMs.
#include <agatespar/backend/crash_guard.h>

#include <catch2/catch.hpp>

#include <random>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

/// VMs whose verdicts reach each other before the caller gets its answer.
struct guarded_zone {
    std::vector<crash_guard> vms = std::vector<crash_guard>(8);
    steady_time now{1h};
    int crashes{0};
    int refused{0};

    // Sends a request that crashes its server, with others in flight beside it unless it must run alone.
    void send_killer(std::size_t vm, request_fingerprint killer, const std::vector<request_fingerprint>& others)
    {
        const crash_verdict verdict = vms[vm].verdict(killer, now);
        if (verdict == crash_verdict::guilty) {
            ++refused;
            return;
        }
        ++crashes;
        const bool alone = verdict == crash_verdict::suspect;
        std::vector<gossip_item> items{vms[vm].on_crash(killer, alone, now, wall_time{1h}).item};
        if (!alone) {
            for (std::size_t index = 0; index < others.size(); ++index) {
                items.push_back(vms[index % vms.size()].on_crash(others[index], false, now, wall_time{1h}).item);
            }
        }
        spread(items);
    }

    void spread(const std::vector<gossip_item>& items)
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

SCENARIO("a request that crashes servers is stopped")
{
    guarded_zone zone;
    const request_fingerprint killer{666};
    const std::vector<request_fingerprint> innocents{request_fingerprint{1}, request_fingerprint{2}};

    WHEN("its caller sends it twenty times through different VMs")
    {
        for (std::size_t attempt = 0; attempt < 20; ++attempt) {
            zone.send_killer(attempt % zone.vms.size(), killer, innocents);
        }
        THEN("it crashes two servers at most and is then refused")
        {
            CHECK(zone.crashes <= 2);
            CHECK(zone.refused == 20 - zone.crashes);
        }
        THEN("those that were in flight beside it run again, alone, and are cleared")
        {
            CHECK(zone.vms[5].verdict(innocents[0], zone.now) == crash_verdict::suspect);
            const auto item = zone.vms[3].on_completed_alone(innocents[0], zone.now, wall_time{1h});
            REQUIRE(item);
            zone.spread({*item});
            CHECK(zone.vms[5].verdict(innocents[0], zone.now) == crash_verdict::clear);
            CHECK_FALSE(zone.vms[3].on_completed_alone(innocents[0], zone.now, wall_time{1h}));
        }
        THEN("the verdict ends in time, and a guilty one is not cleared by others")
        {
            CHECK_FALSE(zone.vms[0].on_completed_alone(killer, zone.now, wall_time{1h}));
            CHECK(zone.vms[0].verdict(killer, zone.now + 2h) == crash_verdict::clear);
        }
    }
    WHEN("more fingerprints come than a VM may keep")
    {
        for (std::uint64_t index = 0; index < 2000; ++index) {
            zone.vms[0].on_crash(request_fingerprint{index}, false, zone.now + std::chrono::seconds{index},
                                 wall_time{1h});
        }
        THEN("the oldest go")
        {
            CHECK(zone.vms[0].size() == crash_guard_settings{}.max_verdicts);
            CHECK(zone.vms[0].verdict(request_fingerprint{1999}, zone.now + 2000s) == crash_verdict::suspect);
        }
    }
    THEN("a malformed item is refused")
    {
        CHECK_FALSE(zone.vms[0].on_item({gossip_kind::quarantine_verdict, "\xc1", 1, 0, "\xc1"}, zone.now));
    }
}
