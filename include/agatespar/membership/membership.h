// Liveness of the VMs of one zone: probing with suspicion and refutation, and gossip that rides on the probes.
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

/// Times and sizes of the probing. The defaults are for a zone of up to some 256 VMs.
struct membership_settings {
    boot_id boot;
    vm_address address;
    zone_name zone;

    std::chrono::milliseconds probe_interval{1000};
    /// How long a direct probe may take before others are asked to probe too.
    std::chrono::milliseconds direct_timeout{300};
    std::chrono::milliseconds suspicion_timeout{4000};
    /// A longer gap between two calls means that this process was paused.
    std::chrono::milliseconds pause_threshold{1500};
    /// At most one exchange of the whole state is started in this time.
    std::chrono::milliseconds exchange_interval{10'000};
    /// How long a dead member still counts for the majority if the VM list does not drop it earlier.
    std::chrono::milliseconds forget_dead_after{600'000};
    std::size_t relays{3};
    /// Peers that get urgent gossip at the next tick.
    std::size_t urgent_fanout{3};
    std::size_t max_updates_per_message{8};
    std::size_t max_item_bytes_per_message{900};
};

/// One VM of the platform's VM list that belongs to this zone.
struct listed_vm {
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
    /// This process did not run for a while: its leases may be gone and its view is old.
    resumed,
    /// Other members believed that this process was dead: its roles were taken over.
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

/// The membership of one VM. Call tick() about every 100 ms and on_message() for kinds probe, probe_ack, probe_request
/// and member_leaving; send what they return. Deterministic for a given random seed.
class membership {
public:
    /// @param now the steady clock. @param wall_now the calendar clock at the same moment, for expiry of items.
    membership(membership_settings settings, std::uint64_t random_seed, steady_time now, wall_time wall_now);

    membership_output tick(steady_time now);
    /// @param payload what an authenticated peer sent; may still be garbage.
    membership_output on_message(message_kind kind, std::string_view payload, steady_time now);

    /// Takes the platform's list of this zone's VMs. It lags, so it only adds addresses to greet and drops dead members
    /// from the base of the majority.
    void set_listed(std::vector<listed_vm> listed);
    /// Announces a planned stop: this VM owns nothing from now on but still answers.
    void announce_leaving(steady_time now);
    /// Tells peers that this VM is gone. @return the messages to send before the process ends.
    membership_output leave(steady_time now);

    /// Spreads an item of this VM. @param urgent reaches the zone in a few ticks rather than in some probe intervals.
    /// @return false if the item is too large or not newer than the one held.
    bool publish(const gossip_item& item, bool urgent);
    const gossip_store& items() const { return items_; }

    /// @return boot ids of the live members that may own roles, sorted, this VM's included unless it is leaving.
    std::span<const boot_id> owners() const { return table_.owners(); }
    /// @return all members that are believed to run, sorted by boot id, this VM's included.
    std::span<const boot_id> live() const { return table_.live(); }
    /// @return a member's address, or nothing if it is not known.
    std::optional<vm_address> address_of(boot_id boot) const { return table_.address_of(boot); }
    /// @return true while more than half of the members last known, and of the VMs listed, are live as seen from here.
    bool has_majority() const;
    boot_id self() const { return settings_.boot; }
    /// Changes whenever owners() or live() changes.
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
    void notice_pause(steady_time now, membership_output& output);
    void merge(const gossip_body& body, steady_time now, membership_output& output);
    void merge_update(const member_update& update, steady_time now, membership_output& output);
    void refute(const member_update& rumour, membership_output& output);
    void claim_address(const member_update& sender, steady_time now, membership_output& output);
    void answer_stale_sender(const gossip_body& body, membership_output& output);
    void on_probe(const probe_message& probe, steady_time now, membership_output& output);
    void on_ack(const probe_ack_message& ack, steady_time now, membership_output& output);
    void on_probe_request(const probe_request_message& request, steady_time now, membership_output& output);
    void exchange_all(const vm_address& to, membership_output& output);
    void probe_next(steady_time now, membership_output& output);
    void follow_probe(steady_time now, membership_output& output);
    void expire_suspects(steady_time now, membership_output& output);
    void greet_listed(membership_output& output);
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
    steady_time next_greeting_;
    std::uint32_t last_sequence_{0};
    std::optional<pending_probe> pending_;
    std::map<std::uint32_t, relay> relays_;
    std::vector<boot_id> probe_order_;
    std::vector<listed_vm> listed_;
    bool urgent_{false};
};

} // namespace agatespar
