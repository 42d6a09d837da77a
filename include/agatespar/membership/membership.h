// Failure detection among the VMs of one zone by probes with suspicion and refutation, and gossip piggybacked on them.
#pragma once

#include <agatespar/membership/gossip_store.h>
#include <agatespar/membership/member_table.h>
#include <agatespar/membership/messages.h>
#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace agatespar {

/// Intervals and limits of the protocol. The defaults are for zones of up to about 256 VMs.
struct membership_settings {
    boot_id boot;
    vm_address address;
    zone_name zone;

    std::chrono::milliseconds probe_interval{1000};
    /// How long a direct probe may take before other members are asked to probe the target too.
    std::chrono::milliseconds direct_timeout{300};
    std::chrono::milliseconds suspicion_timeout{4000};
    /// A longer gap between two calls to tick() or on_message() means that this process was paused.
    std::chrono::milliseconds pause_threshold{1500};
    /// Minimum interval between exchanges of the full state that this VM starts because digests differ.
    std::chrono::milliseconds exchange_interval{10'000};
    /// How long a dead member still counts for the majority, unless the VM list drops it earlier.
    std::chrono::milliseconds forget_dead_after{600'000};
    /// Number of members that are requested to probe a target that did not answer.
    std::size_t relays{3};
    /// Number of peers that urgent gossip is sent to at the next tick.
    std::size_t urgent_fanout{3};
    std::size_t max_updates_per_message{8};
    std::size_t max_item_bytes_per_message{900};
};

/// One VM of the platform's VM list that belongs to this zone.
struct listed_member {
    vm_address address;
    bool leaving{false};
};

enum class membership_event_kind {
    joined,
    suspected,
    refuted,
    died,
    left,
    leaving,
    /// This process was paused: its leases may have expired and its view may be outdated.
    resumed,
    /// Other members considered this process dead, so its roles have been taken over.
    presumed_dead,
    /// A newer gossip item arrived.
    item,
};

struct membership_event {
    membership_event_kind kind{membership_event_kind::joined};
    member_update member;
    gossip_item item;
};

struct membership_output {
    std::vector<outgoing_message> messages;
    std::vector<membership_event> events;
};

struct membership_counters {
    std::uint64_t undecodable{0};
    std::uint64_t foreign_zone{0};
    std::uint64_t probes{0};
    std::uint64_t indirect_probes{0};
    std::uint64_t suspicions{0};
    std::uint64_t refutations{0};
    std::uint64_t deaths{0};
    std::uint64_t exchanges{0};
};

/// The membership protocol of one VM. The caller calls tick() about every 100 ms and on_message() for messages of kinds
/// probe, probe_ack, probe_request and member_leaving, and sends the messages that they return. Deterministic for a
/// given random seed.
class membership {
public:
    /// @param now the steady clock. @param wall_now the calendar clock at the same moment, for the expiry of items.
    membership(membership_settings settings, std::uint64_t random_seed, steady_time now, wall_time wall_now);

    membership_output tick(steady_time now);
    /// @param payload a message of an authenticated peer; it may still be malformed.
    membership_output on_message(message_kind kind, std::string_view payload, steady_time now);

    /// Sets the platform's list of this zone's VMs. As the list is updated with a delay, it is used only to find
    /// addresses to probe and to remove dead members, which then no longer count for the majority.
    void set_listed(std::vector<listed_member> listed);
    /// Announces a planned stop: this VM no longer owns any roles but still answers.
    void announce_leaving(steady_time now);
    /// Marks this VM as left. @return the messages that notify peers of it, to be sent before the process ends.
    membership_output leave(steady_time now);

    /// Publishes an item to the zone. @param urgent whether the item is to reach the zone within a few ticks instead of
    /// a few probe intervals. @return false if the item exceeds the limits or is not newer than the stored one.
    bool publish(const gossip_item& item, bool urgent);
    const gossip_store& items() const { return items_; }

    /// @return the sorted boot ids of the live members that may own roles, including this VM's unless it is leaving.
    std::span<const boot_id> owners() const { return table_.owners(); }
    /// @return the sorted boot ids of all members that are alive, leaving or suspected, including this VM's.
    std::span<const boot_id> live() const { return table_.live(); }
    /// @return a member's address, or nothing if the member is unknown.
    std::optional<vm_address> address_of(boot_id boot) const { return table_.address_of(boot); }
    /// @return true if the live members in this VM's view are more than half of the known members (live or dead) and
    /// more than half of the listed VMs that are not leaving.
    bool has_majority() const;
    boot_id self() const { return settings_.boot; }
    /// @return a number that increases whenever owners() or live() changes.
    std::uint64_t view_version() const { return table_.view_version(); }
    const membership_counters& counters() const { return counters_; }

private:
    struct pending_probe {
        std::uint32_t sequence{0};
        boot_id target;
        steady_time sent;
        bool relayed{false};
    };
    struct relay {
        vm_address requester;
        std::uint32_t sequence{0};
        boot_id target;
        steady_time expires;
    };

    gossip_body make_body();
    template <class Message>
    static void send(membership_output& output, const vm_address& to, message_kind kind, const Message& message)
    {
        output.messages.push_back({to, kind, encode(message)});
    }
    void send_probe(membership_output& output, const vm_address& to, std::uint32_t sequence);
    void detect_pause(steady_time now, membership_output& output);
    void merge(const gossip_body& body, steady_time now, membership_output& output);
    void merge_update(const member_update& update, steady_time now, membership_output& output);
    void refute(const member_update& received, membership_output& output);
    void mark_replaced_member(const member_update& sender, steady_time now, membership_output& output);
    void answer_stale_sender(const gossip_body& body, membership_output& output);
    void on_probe(const probe_message& probe, steady_time now, membership_output& output);
    void on_ack(const probe_ack_message& ack, steady_time now, membership_output& output);
    void on_probe_request(const probe_request_message& request, steady_time now, membership_output& output);
    void send_full_state(const vm_address& to, membership_output& output);
    void probe_next(steady_time now, membership_output& output);
    void check_pending_probe(steady_time now, membership_output& output);
    void expire_suspects(steady_time now, membership_output& output);
    void probe_listed(membership_output& output);
    void push_urgent(membership_output& output);
    void record(member_update update, steady_time now, membership_output& output);
    std::optional<member_update> next_target();
    std::vector<member_update> random_peers(std::size_t count, std::optional<boot_id> except);
    std::uint64_t digest() const;
    std::uint32_t unix_seconds(steady_time now) const;

    membership_settings settings_;
    std::mt19937_64 random_;
    member_table table_;
    gossip_store items_;
    membership_counters counters_;
    wall_time wall_start_;
    steady_time steady_start_;
    steady_time last_call_;
    steady_time next_probe_;
    steady_time next_exchange_;
    steady_time next_listed_probe_;
    std::uint32_t last_sequence_{0};
    std::optional<pending_probe> pending_;
    std::map<std::uint32_t, relay> relays_;
    std::vector<boot_id> probe_order_;
    std::vector<listed_member> listed_;
    bool urgent_{false};
};

} // namespace agatespar
