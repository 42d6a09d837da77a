// Tests the permits of a small zone without faults: shared and exclusive grants, and refusals while closed.
#include <agatespar/backend/permit_service.h>

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

/// Two VMs and one server; messages arrive when pump() is called.
struct small_zone {
    static constexpr server_key server{7};
    struct message {
        boot_id from;
        boot_id to;
        message_kind kind;
        std::string payload;
    };
    std::map<boot_id, std::unique_ptr<permit_service>> vms;
    std::deque<message> queue;
    steady_time now{1h};

    small_zone()
    {
        const std::vector<boot_id> boots{boot_id{1}, boot_id{2}};
        for (const boot_id boot : boots) {
            permit_service_settings settings;
            settings.self = boot;
            vms[boot] = std::make_unique<permit_service>(
                settings, [this, boot](boot_id to, message_kind kind, const std::string& payload) {
                    queue.push_back({boot, to, kind, payload});
                });
            vms[boot]->set_servers({{server, 2, 8, false}}, now);
            vms[boot]->set_view(boots, true, now);
        }
        advance(6s);
    }

    permit_service& owner() { return *vms.at(*vms.begin()->second->owner_of_server(server)); }

    void pump()
    {
        for (; !queue.empty(); queue.pop_front()) {
            const message next = queue.front();
            vms.at(next.to)->on_message(next.from, next.kind, next.payload, now);
        }
    }

    void advance(duration span)
    {
        for (const steady_time end = now + span; now < end; now += 100ms) {
            for (auto& [boot, vm] : vms) {
                vm->tick(now);
                for (const server_key due : vm->owner().take_due_polls(now)) {
                    load_report report;
                    report.start = server_start_id{1};
                    vm->owner().on_report(due, report, now, now);
                }
            }
            pump();
        }
    }

    std::optional<outcome<permit>> ask(boot_id vm, bool alone = false)
    {
        std::optional<outcome<permit>> answer;
        (void)vms.at(vm)->request_permit(server, alone, now, [&answer](outcome<permit> given) { answer = given; });
        CHECK_FALSE(answer);
        pump();
        return answer;
    }
};

} // namespace

SCENARIO("a cold server's permits are shared by all VMs and can be granted again once returned")
{
    small_zone zone;
    const auto first = zone.ask(boot_id{1});
    const auto second = zone.ask(boot_id{2});
    REQUIRE((first && *first && second && *second));
    const auto third = zone.ask(boot_id{1});
    REQUIRE((third && !*third));
    CHECK(third->error().code == error_code::overloaded);
    CHECK(third->error().ran == run_state::not_run);

    WHEN("a permit is returned")
    {
        zone.vms.at(boot_id{2})->release(**second, {}, zone.now);
        zone.pump();
        THEN("another VM can acquire it")
        {
            CHECK(zone.ask(boot_id{1})->has_value());
        }
    }
    WHEN("a request that must run alone waits for the running requests to end")
    {
        CHECK_FALSE(*zone.ask(boot_id{1}, true));
        zone.vms.at(boot_id{1})->release(**first, {}, zone.now);
        zone.vms.at(boot_id{2})->release(**second, {}, zone.now);
        zone.pump();
        THEN("no other permit is granted before it, nor while it runs")
        {
            CHECK_FALSE(*zone.ask(boot_id{2}));
            const auto alone = zone.ask(boot_id{1}, true);
            REQUIRE(alone->has_value());
            CHECK_FALSE(*zone.ask(boot_id{2}));
            zone.vms.at(boot_id{1})->release(**alone, {}, zone.now);
            zone.pump();
            CHECK(zone.ask(boot_id{2})->has_value());
        }
    }
    WHEN("the server is draining, or the zone is taken out of service")
    {
        zone.vms.at(boot_id{1})->release(**first, {}, zone.now);
        zone.vms.at(boot_id{2})->release(**second, {}, zone.now);
        zone.pump();
        THEN("new permits are refused immediately")
        {
            zone.owner().set_in_service(false, zone.now);
            CHECK_FALSE(zone.owner().request_permit(small_zone::server, false, zone.now, nullptr));
            zone.owner().set_in_service(true, zone.now);
            for (auto& [boot, vm] : zone.vms) {
                vm->set_servers({{small_zone::server, 2, 8, true}}, zone.now);
            }
            CHECK(zone.ask(boot_id{1})->error().code == error_code::unavailable);
        }
    }
}

SCENARIO("a stale load report is corrected by the work that this VM has started and ended since")
{
    const steady_time at{1h};
    const std::vector<steady_time> sent{at - 1s, at + 1s, at + 2s};
    const std::vector<steady_time> ended{at + 3s};
    CHECK(corrected_load(5, sent, ended, at) == 6);
    CHECK(corrected_load(0, {}, ended, at) == 0);
}
