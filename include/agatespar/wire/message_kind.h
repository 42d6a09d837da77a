// Kinds of the messages between VMs. Each part of the code defines the messages of its own kinds.
#pragma once

#include <cstdint>

namespace agatespar {

/// Determines how the payload of a frame is decoded. The numbers are part of the protocol and are never reused.
enum class message_kind : std::uint8_t {
    // membership
    probe = 1,
    probe_ack = 2,
    probe_request = 3,
    member_leaving = 4,
    zone_summary = 5,
    // config
    config_pull = 10,
    config_state = 11,
    // backend
    permit_request = 20,
    permit_grant = 21,
    permit_release = 22,
    server_report = 23,
    // ledger
    claim_request = 30,
    claim_verdict = 31,
    usage_hold = 32,
    usage_held = 33,
    usage_release = 34,
    // request
    forward_request = 40,
    forward_chunk = 41,
    forward_end = 42,
    forward_cancel = 43,
    forward_call = 44,
    forward_answer = 45,
    // routing
    version_counts = 50,
    quarantine_notice = 51,
    // gateway
    records_pull = 60,
    // 61 is retired: records_news had records and the state of the sender in one message.
    records_topic = 62,
    records_packed = 63,
    relay_status = 64,
    records_part = 65,
};

} // namespace agatespar
