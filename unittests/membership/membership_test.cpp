// Tests of the membership protocol of a zone: joining, death, pauses, message loss, reused addresses, malformed
// messages.
#include "zone_fixture.h"

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("68 VMs of a zone discover each other and detect a death")
{
    zone_fixture zone{68, 1};
    zone.advance(20s);
    REQUIRE(zone.correct_views() == 68);

    WHEN("a VM is killed")
    {
        zone.at("vm7").running = false;
        duration first_death{};
        duration all_agree{};
        for (duration waited{}; waited < 15s && all_agree == 0s; waited += 100ms) {
            zone.advance(100ms);
            if (first_death == 0s && zone.count_events(membership_event_kind::died) > 0) {
                first_death = waited;
            }
            if (zone.correct_views() == 67) {
                all_agree = waited;
            }
        }
        THEN("all others consider it dead within ten seconds, and within two seconds of the first one")
        {
            WARN("death detected after " << first_death / 1ms << " ms, by all VMs after " << all_agree / 1ms << " ms");
            CHECK(all_agree > 0s);
            CHECK(all_agree <= 10s);
            CHECK(all_agree - first_death <= 2s);
        }
    }
    WHEN("a VM starts late")
    {
        zone.start("vm99");
        zone.advance(5s);
        THEN("all VMs have it as a member")
        {
            CHECK(zone.correct_views() == 69);
        }
    }
    WHEN("a VM leaves as planned")
    {
        zone_member& leaving_member = zone.at("vm3");
        leaving_member.node->announce_leaving(zone.now);
        zone.advance(2s);
        THEN("it is no owner for any VM, but live for all until it has left")
        {
            for (const auto& [address, member] : zone.members) {
                CHECK(member.node->owners().size() == 67);
                CHECK(member.node->live().size() == 68);
            }
            const auto leave_output = leaving_member.node->leave(zone.now);
            leaving_member.running = false;
            for (const auto& message : leave_output.messages) {
                zone.members.at(message.to).inbox.push_back(message);
            }
            zone.advance(2s);
            CHECK(zone.correct_views() == 67);
            CHECK(zone.count_events(membership_event_kind::died) == 0);
        }
    }
    WHEN("a VM is replaced by a new one at the same address")
    {
        zone.at("vm5").running = false;
        zone.members.erase(vm_address{"vm5"});
        zone.start("vm5");
        zone.advance(5s);
        THEN("the new VM replaces the old one before the suspicion time-out")
        {
            CHECK(zone.correct_views() == 68);
        }
    }
}

SCENARIO("pauses and message loss do not cause members to be declared dead")
{
    zone_fixture zone{68, 2};
    zone.advance(20s);

    WHEN("ten VMs are paused for two seconds, one after another")
    {
        for (int round = 0; round < 10; ++round) {
            zone_member& paused_member = zone.at("vm" + std::to_string(round));
            paused_member.paused = true;
            zone.advance(2s);
            paused_member.paused = false;
            zone.advance(5s);
        }
        THEN("none is declared dead, and each reports its pause")
        {
            CHECK(zone.count_events(membership_event_kind::died) == 0);
            CHECK(zone.count_events(membership_event_kind::resumed) == 10);
            CHECK(zone.correct_views() == 68);
        }
    }
    WHEN("one message in twenty is lost for five minutes")
    {
        zone.loss = 0.05;
        zone.advance(300s);
        THEN("no member is declared dead")
        {
            WARN("suspicions " << zone.count_events(membership_event_kind::suspected));
            CHECK(zone.count_events(membership_event_kind::died) == 0);
            CHECK(zone.correct_views() == 68);
        }
    }
    WHEN("a VM is paused until it is declared dead, and then resumes")
    {
        zone_member& paused_member = zone.at("vm9");
        paused_member.paused = true;
        zone.advance(15s);
        // Only the paused VM's own view still contains all members.
        CHECK(zone.correct_views() == 1);
        CHECK(zone.count_events(membership_event_kind::died) == 67);
        paused_member.inbox.clear();
        paused_member.paused = false;
        zone.advance(5s);
        THEN("it reports the pause, and all VMs have it as a live member again")
        {
            CHECK(zone.count_events(membership_event_kind::resumed) == 1);
            CHECK(zone.correct_views() == 68);
        }
    }
}

SCENARIO("gossip items reach the whole zone")
{
    zone_fixture zone{68, 3};
    zone.advance(20s);
    const auto holders = [&zone](std::uint64_t version) {
        std::size_t count = 0;
        for (const auto& [address, member] : zone.members) {
            const gossip_item* item = member.node->items().find(gossip_kind::config_head, "");
            count += item != nullptr && item->version == version ? 1 : 0;
        }
        return count;
    };
    WHEN("an urgent item is published")
    {
        REQUIRE(zone.at("vm0").node->publish({gossip_kind::config_head, "", 7, 0, "hash"}, true));
        zone.advance(1500ms);
        THEN("all VMs store it within one and a half seconds, and an older version is refused")
        {
            CHECK(holders(7) == 68);
            CHECK_FALSE(zone.at("vm1").node->publish({gossip_kind::config_head, "", 6, 0, "old"}, true));
        }
    }
    WHEN("it is published while one message in five is lost")
    {
        zone.loss = 0.2;
        REQUIRE(zone.at("vm0").node->publish({gossip_kind::config_head, "", 8, 0, "hash"}, true));
        zone.advance(5s);
        THEN("all VMs store it within five seconds")
        {
            CHECK(holders(8) == 68);
        }
    }
    WHEN("an item expires")
    {
        const auto in_two_seconds = static_cast<std::uint32_t>(3600 + 20 + 2);
        zone.at("vm0").node->publish({gossip_kind::quarantine_verdict, "fp", 1, in_two_seconds, "x"}, true);
        zone.advance(1s);
        CHECK(zone.at("vm44").node->items().find(gossip_kind::quarantine_verdict, "fp") != nullptr);
        zone.advance(4s);
        THEN("all VMs remove it")
        {
            for (const auto& [address, member] : zone.members) {
                CHECK(member.node->items().size() == 0);
            }
        }
    }
}

SCENARIO("malformed messages, messages of other zones and items over the limits are dropped")
{
    zone_fixture zone{3, 4};
    zone.advance(5s);
    membership& node = *zone.at("vm0").node;
    const std::size_t live = node.live().size();

    WHEN("garbage, a truncated message and a message of another zone arrive")
    {
        CHECK(node.on_message(message_kind::probe, "garbage", zone.now).messages.empty());
        probe_message probe;
        probe.sequence = 1;
        probe.body.zone = zone_name{"dakar-plateau"};
        probe.body.sender = {boot_id{1}, vm_address{"stranger"}, 0, member_state::alive};
        const std::string bytes = encode(probe);
        node.on_message(message_kind::probe, std::string_view{bytes}.substr(0, bytes.size() - 1), zone.now);
        node.on_message(message_kind::probe, bytes, zone.now);
        THEN("they are counted and dropped")
        {
            CHECK(node.counters().undecodable == 2);
            CHECK(node.counters().foreign_zone == 1);
            CHECK(node.live().size() == live);
        }
    }
    WHEN("a peer sends more items than a VM may store, and an oversized one")
    {
        gossip_store store{{64, 10}};
        for (int index = 0; index < 20; ++index) {
            store.merge({gossip_kind::quarantine_verdict, std::to_string(index), 1, 0, "x"}, 3);
        }
        store.merge({gossip_kind::config_head, "", 1, 0, std::string(65, 'x')}, 3);
        THEN("the excess items are refused")
        {
            CHECK(store.size() == 10);
            CHECK(store.refused() == 11);
        }
    }
}

SCENARIO("a majority needs more than half of the last known members")
{
    zone_fixture zone{8, 5};
    zone.advance(10s);
    for (const char* address : {"vm0", "vm1", "vm2", "vm3"}) {
        zone.at(address).running = false;
    }
    zone.advance(15s);
    CHECK_FALSE(zone.at("vm5").node->has_majority());
    WHEN("the VM list no longer contains two of the dead VMs")
    {
        for (const char* address : {"vm0", "vm1"}) {
            zone.members.erase(vm_address{address});
        }
        zone.list();
        THEN("the live VMs are a majority again")
        {
            CHECK(zone.at("vm5").node->has_majority());
        }
    }
}
