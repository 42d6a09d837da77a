// The messages between the owner of a backend server and the VMs that send work to it.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/wire/codec.h>

#include <cstdint>
#include <vector>

namespace agatespar {

/// A permit that its holder returns to the owner.
struct finished_permit {
    permit_number number;
    work_result result{work_result::good};
    /// Ratio of the observed to the expected duration of the work, in percent.
    std::uint16_t slowdown_percent{100};
    /// Requests that completed successfully under this permit before the last one.
    std::uint16_t good_uses{0};

    MSGPACK_DEFINE_ARRAY(number, result, slowdown_percent, good_uses)
};

/// Requests permits from a server's owner, and returns finished ones.
struct permit_request_message {
    server_key server;
    /// Matches the grant to its request; the permits' lifetime starts when the holder sends the request.
    std::uint32_t round{0};
    /// Permits for which requests are waiting.
    std::uint8_t needed{0};
    /// Permits to hold in store for future requests.
    std::uint8_t extra{0};
    /// Whether the permit is for a request that must be the only one on the server.
    bool alone{false};
    std::vector<finished_permit> finished;

    MSGPACK_DEFINE_ARRAY(server, round, needed, extra, alone, finished)
};

/// Returns permits, or answers an audit.
struct permit_release_message {
    server_key server;
    std::vector<finished_permit> finished;
    /// Of the permits up to this number, the sender holds only those in `held`; zero if this answers no audit.
    permit_number audited_to;
    std::vector<permit_number> held;

    MSGPACK_DEFINE_ARRAY(server, finished, audited_to, held)
};

/// An owner's answer to a permit request, or a notice that it sends unprompted (`revoked`, `audit`).
enum class permit_verdict : std::uint8_t {
    granted = 0,
    /// Permits for all the requests that the server may run now are in force.
    full = 1,
    /// The server is draining or unhealthy, or its zone is out of service.
    closed = 2,
    /// The sender does not own the server, or has not taken it over yet.
    not_owner = 3,
    /// Unused permits are void.
    revoked = 4,
    /// Asks which permits with numbers up to `first` are still held.
    audit = 5,
};

/// Grants permits with consecutive numbers, and reports the server's load.
struct permit_grant_message {
    server_key server;
    std::uint32_t round{0};
    permit_verdict verdict{permit_verdict::granted};
    /// Number of the first permit.
    permit_number first;
    std::uint8_t count{0};
    /// How long the permits may be used, in milliseconds from when the request was sent.
    std::uint16_t lifetime_ms{0};
    /// As in `permit`.
    bool alone{false};
    bool single_use{false};
    /// Maximum number of requests that the server may run now.
    std::uint16_t limit{0};
    /// Permits in force, including other work that the owner counts against the limit.
    std::uint16_t in_force{0};

    MSGPACK_DEFINE_ARRAY(server, round, verdict, first, count, lifetime_ms, alone, single_use, limit, in_force)
};

/// One server's load as published to the whole zone; only as precise as choosing among many servers requires.
struct server_table_entry {
    /// The low half of the server's key.
    std::uint32_t key{0};
    std::uint16_t limit{0};
    std::uint16_t in_force{0};
    /// Requests waiting in the server's own queue.
    std::uint16_t queued{0};
    bool healthy{true};
    /// Part of the server's start id; shows a new owner whether the server has restarted and `limit` is out of date.
    std::uint16_t start_tag{0};

    MSGPACK_DEFINE_ARRAY(key, limit, in_force, queued, healthy, start_tag)
};

/// The servers of one owner; the bytes of a gossip item of kind server_table.
struct server_table_message {
    std::vector<server_table_entry> servers;

    MSGPACK_DEFINE_ARRAY(servers)
};

} // namespace agatespar

MSGPACK_ADD_ENUM(agatespar::work_result)
MSGPACK_ADD_ENUM(agatespar::permit_verdict)
