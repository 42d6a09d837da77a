// Messages of the membership protocol within a zone, and the summaries that zones send each other.
#pragma once

#include <agatespar/membership/outgoing_message.h>
#include <agatespar/support/ids.h>
#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar {

/// State of a member in another member's view. Within one incarnation a larger value overrides a smaller one.
enum class member_state : std::uint8_t {
    alive = 0,
    /// Alive but about to stop; the member no longer owns any roles.
    leaving = 1,
    suspect = 2,
    dead = 3,
    /// Stopped as planned; final.
    left = 4,
};

/// State of one member as a VM sees it, distributed by gossip.
struct member_update {
    boot_id boot;
    vm_address address;
    /// Raised only by the member itself, to override the state that others assign to it.
    std::uint32_t incarnation{0};
    member_state state{member_state::alive};

    MSGPACK_DEFINE_ARRAY(boot, address, incarnation, state)
};

/// Type of a gossip item, which determines who interprets it. The numbers are part of the protocol.
enum class gossip_kind : std::uint8_t {
    /// A config_mark with a new configuration number.
    config_head = 1,
    /// A zone_summary_message of another zone.
    zone_summary = 2,
    /// The crashes of backend servers that are attributed to one request; see crash_guard.
    quarantine_verdict = 3,
    /// One VM's counts of ratings of a fleet's versions; see answer_quality.
    version_counts = 4,
    /// The load of the backend servers that one VM owns.
    server_table = 5,
    /// Not sent at present.
    drain_notice = 6,
    /// The versions that one backend server has loaded.
    server_versions = 7,
    /// A config_mark whose configuration number is unchanged. Distributes the time of the last contact with the log.
    config_contact = 8,
};

/// A small value that is replicated to every VM of the zone. The largest version of each kind and name is kept.
struct gossip_item {
    gossip_kind kind{gossip_kind::config_head};
    /// Identifies an item among those of its kind, e.g. a fingerprint or a boot id; may be empty.
    std::string name;
    std::uint64_t version{0};
    /// Unix time in seconds after which the item is removed; zero means never.
    std::uint32_t expires{0};
    std::string bytes;

    MSGPACK_DEFINE_ARRAY(kind, name, version, expires, bytes)
};

/// Gossip that is part of every message of the membership protocol.
struct gossip_body {
    zone_name zone;
    member_update sender;
    /// Digest of the sender's members and long-lived items. If it differs from the receiver's, the receiver sends all
    /// of its own.
    std::uint64_t digest{0};
    std::vector<member_update> updates;
    std::vector<gossip_item> items;

    MSGPACK_DEFINE_ARRAY(zone, sender, digest, updates, items)
};

/// Probes a member. With sequence zero, the message only carries gossip and is not answered.
struct probe_message {
    std::uint32_t sequence{0};
    gossip_body body;

    MSGPACK_DEFINE_ARRAY(sequence, body)
};

/// Acknowledges a probe, either directly or through the member that relayed it.
struct probe_ack_message {
    std::uint32_t sequence{0};
    /// The member that answered the probe and is therefore alive.
    boot_id subject;
    gossip_body body;

    MSGPACK_DEFINE_ARRAY(sequence, subject, body)
};

/// Requests a third member to probe a target that did not answer.
struct probe_request_message {
    std::uint32_t sequence{0};
    boot_id target;
    vm_address target_address;
    gossip_body body;

    MSGPACK_DEFINE_ARRAY(sequence, target, target_address, body)
};

/// Approximate free capacity of one version or service in a zone.
struct capacity_entry {
    /// "fleet/model@version" or "fleet/service".
    std::string target;
    std::uint32_t free_slots{0};

    MSGPACK_DEFINE_ARRAY(target, free_slots)
};

/// State of a zone, sent to the other zones by a few VMs, its delegates.
struct zone_summary_message {
    zone_name zone;
    region_name region;
    /// Later summaries have larger versions.
    std::uint64_t version{0};
    bool in_service{true};
    std::uint32_t live_members{0};
    config_number config;
    std::uint64_t config_hash{0};
    /// Sample of live entry VMs to which requests and summaries can be sent.
    std::vector<vm_address> entries;
    std::vector<capacity_entry> capacity;

    MSGPACK_DEFINE_ARRAY(zone, region, version, in_service, live_members, config, config_hash, entries, capacity)
};

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::member_state)
MSGPACK_ADD_ENUM(agatespar::gossip_kind)
