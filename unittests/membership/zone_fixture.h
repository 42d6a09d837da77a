// Simulates the VMs of a zone on a manual clock, with a network that loses a given share of the messages.
#pragma once

#include <agatespar/membership/membership.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace agatespar {

struct zone_member {
    std::unique_ptr<membership> node;
    bool running{true};
    bool paused{false};
    std::deque<outgoing_message> inbox;
    std::vector<membership_event> events;
};

class zone_fixture {
public:
    static constexpr std::chrono::milliseconds step{100};

    zone_fixture(std::size_t size, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t index = 0; index < size; ++index) {
            start("vm" + std::to_string(index));
        }
    }

    boot_id start(const std::string& address)
    {
        membership_settings settings;
        settings.boot = boot_id{random_()};
        settings.address = vm_address{address};
        settings.zone = zone_name{"osijek-a"};
        zone_member member;
        member.node = std::make_unique<membership>(settings, random_(), now, wall_time{std::chrono::hours{1}});
        members[settings.address] = std::move(member);
        list();
        return settings.boot;
    }

    void list()
    {
        std::vector<listed_member> listed;
        for (const auto& [address, member] : members) {
            listed.push_back({address, false});
        }
        for (auto& [address, member] : members) {
            member.node->set_listed(listed);
        }
    }

    void advance(duration span)
    {
        for (const steady_time end = now + span; now < end;) {
            now += step;
            for (auto& [address, member] : members) {
                if (member.running && !member.paused) {
                    for (; !member.inbox.empty(); member.inbox.pop_front()) {
                        const outgoing_message& message = member.inbox.front();
                        take(member, member.node->on_message(message.kind, message.payload, now));
                    }
                    take(member, member.node->tick(now));
                }
            }
            for (auto& message : wire_) {
                deliver(std::move(message));
            }
            wire_.clear();
        }
    }

    zone_member& at(const std::string& address) { return members.at(vm_address{address}); }

    std::size_t count_events(membership_event_kind kind) const
    {
        std::size_t count = 0;
        for (const auto& [address, member] : members) {
            for (const auto& event : member.events) {
                count += event.kind == kind ? 1 : 0;
            }
        }
        return count;
    }

    /// @return the number of running members whose view contains exactly the running members.
    std::size_t correct_views() const
    {
        std::vector<boot_id> running;
        for (const auto& [address, member] : members) {
            if (member.running) {
                running.push_back(member.node->self());
            }
        }
        std::sort(running.begin(), running.end());
        std::size_t correct = 0;
        for (const auto& [address, member] : members) {
            const auto live = member.node->live();
            correct += member.running && std::equal(live.begin(), live.end(), running.begin(), running.end()) ? 1 : 0;
        }
        return correct;
    }

    double loss{0.0};
    steady_time now{std::chrono::hours{1}};
    std::map<vm_address, zone_member> members;

private:
    void take(zone_member& member, membership_output output)
    {
        std::move(output.events.begin(), output.events.end(), std::back_inserter(member.events));
        std::move(output.messages.begin(), output.messages.end(), std::back_inserter(wire_));
    }

    void deliver(outgoing_message message)
    {
        const auto target = members.find(message.to);
        if (target != members.end() && target->second.running && std::uniform_real_distribution<>{}(random_) >= loss) {
            target->second.inbox.push_back(std::move(message));
        }
    }

    std::mt19937_64 random_;
    std::vector<outgoing_message> wire_;
};

} // namespace agatespar
