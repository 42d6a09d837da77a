// The messages by which the VMs of a zone watch each other, and by which zones know each other.
#pragma once

#include <agatespar/membership/outgoing_message.h>
#include <agatespar/support/ids.h>
#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar {

/// What is believed of a member. For one incarnation a later state overrides an earlier one.
enum class member_state : std::uint8_t {
    alive = 0,
    /// Alive, but about to stop: it owns nothing any more.
    leaving = 1,
    suspect = 2,
    dead = 3,
    /// Stopped as planned.
    left = 4,
};

/// One belief about one member, spread by gossip.
struct member_update {
    boot_id boot;
    vm_address address;
    /// Raised only by the member itself, to refute what others believe.
    std::uint32_t incarnation{0};
    member_state state{member_state::alive};

    MSGPACK_DEFINE_ARRAY(boot, address, incarnation, state)
};

/// Who interprets a gossip item. Numbers are part of the protocol.
enum class gossip_kind : std::uint8_t {
    config_head = 1,
    zone_summary = 2,
    quarantine_verdict = 3,
    version_counts = 4,
    server_table = 5,
    drain_notice = 6,
    server_versions = 7,
    config_contact = 8,
};

/// A small register that every VM of the zone holds; of one kind and name the largest version stays.
struct gossip_item {
    gossip_kind kind{gossip_kind::config_head};
    /// Separates items of one kind, e.g. a fingerprint or a boot id; may be empty.
    std::string name;
    std::uint64_t version{0};
    /// Unix time in seconds after which the item is dropped; zero keeps it.
    std::uint32_t expires{0};
    std::string bytes;

    MSGPACK_DEFINE_ARRAY(kind, name, version, expires, bytes)
};

/// What rides on every message of a probe.
struct gossip_body {
    zone_name zone;
    member_update sender;
    /// Digest of the sender's members and lasting items; a difference asks for an exchange of all of them.
    std::uint64_t digest{0};
    std::vector<member_update> updates;
    std::vector<gossip_item> items;

    MSGPACK_DEFINE_ARRAY(zone, sender, digest, updates, items)
};

/// Asks a member whether it is alive. Sequence zero only carries gossip and is not answered.
struct probe_message {
    std::uint32_t sequence{0};
    gossip_body body;

    MSGPACK_DEFINE_ARRAY(sequence, body)
};

/// Answers a probe, either the sender's own or one that was relayed for it.
struct probe_ack_message {
    std::uint32_t sequence{0};
    /// The member that proved to be alive.
    boot_id subject;
    gossip_body body;

    MSGPACK_DEFINE_ARRAY(sequence, subject, body)
};

/// Asks a third member to probe a target that did not answer.
struct probe_request_message {
    std::uint32_t sequence{0};
    boot_id target;
    vm_address target_address;
    gossip_body body;

    MSGPACK_DEFINE_ARRAY(sequence, target, target_address, body)
};

/// Coarse free capacity of one model or service in a zone.
struct capacity_entry {
    /// "fleet/model" or "fleet/service".
    std::string target;
    std::uint32_t free_slots{0};

    MSGPACK_DEFINE_ARRAY(target, free_slots)
};

/// What a zone tells the others about itself, through a few delegates.
struct zone_summary_message {
    zone_name zone;
    region_name region;
    /// Later summaries have larger versions.
    std::uint64_t version{0};
    bool in_service{true};
    std::uint32_t live_members{0};
    config_number config;
    std::uint64_t config_hash{0};
    /// A sample of live entry VMs, to forward to and to send summaries to.
    std::vector<vm_address> entries;
    std::vector<capacity_entry> capacity;

    MSGPACK_DEFINE_ARRAY(zone, region, version, in_service, live_members, config, config_hash, entries, capacity)
};

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::member_state)
MSGPACK_ADD_ENUM(agatespar::gossip_kind)
