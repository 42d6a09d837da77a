// A permit: permission to run one request on one backend server, granted by the VM that owns the server.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/strong_type.h>

#include <cstdint>

namespace agatespar {

/// Hash of a server's qualified name, used instead of it in messages and on the hot path.
using server_key = strong<struct server_key_tag, std::uint64_t>;
/// Sequence number of a permit among those of one owner, in the order in which they were granted.
using permit_number = strong<struct permit_number_tag, std::uint32_t>;

/// @return the key of a server; every VM computes the same value.
server_key key_of(const server_id& server);

/// Permission to start one request on one server.
struct permit {
    server_key server;
    boot_id owner;
    permit_number number;
    /// The request must be sent before this time; once sent, it may run to completion.
    steady_time usable_until;
    /// Exclusive: granted only while the server runs nothing else; no other permit is granted until it is returned.
    bool alone{false};
    /// The permit is returned when its request ends instead of being reused, because the server is cold.
    bool single_use{false};
    /// Requests that have completed successfully under this permit.
    std::uint16_t good_uses{0};
};

/// How the work under a permit ended.
enum class work_result : std::uint8_t {
    good = 0,
    /// The server answered with an error, or too late.
    failed = 1,
    /// The server refused the connection, so nothing ran.
    refused = 2,
    /// The connection broke while the work ran.
    broken = 3,
    /// The caller cancelled the request; this is no indication of the server's health.
    cancelled = 4,
    /// The permit was not used.
    unused = 5,
};

/// What a permit's holder reports to its owner.
struct permit_result {
    work_result result{work_result::good};
    /// Ratio of the observed to the expected duration of the work; 1 is as expected.
    double slowdown{1.0};
};

} // namespace agatespar
