// A permit: the leave to run one request on one backend server, given by the server's owner.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/strong_type.h>

#include <cstdint>

namespace agatespar {

/// Stands for a server's qualified name in messages and on the hot path.
using server_key = strong<struct server_key_tag, std::uint64_t>;
/// Numbers the permits of one owner, in the order in which it gave them.
using permit_number = strong<struct permit_number_tag, std::uint32_t>;

/// @return the key, equal on every VM.
server_key key_of(const server_id& server);

/// The leave to start one request on one server.
struct permit {
    server_key server;
    boot_id owner;
    permit_number number;
    /// The request must be sent before this; once sent, it may run to its end.
    steady_time usable_until;
    /// Given only where nothing else runs, and nothing else is let in meanwhile.
    bool alone{false};
    /// Gives the slot back at the end, because the server is cold.
    bool single_use{false};
    /// Requests that ended well under it before.
    std::uint16_t good_uses{0};
};

/// How the work under a permit ended.
enum class work_result : std::uint8_t {
    good = 0,
    /// The server answered with an error, or too late.
    failed = 1,
    /// The server did not take the connection, so nothing ran.
    refused = 2,
    /// The connection broke while the work ran.
    broken = 3,
    /// The caller went away; it says nothing about the server.
    cancelled = 4,
    /// The permit was not used.
    unused = 5,
};

/// What a permit's holder tells its owner.
struct permit_result {
    work_result result{work_result::good};
    /// Observed over expected time of the work; 1 is as expected.
    double slowdown{1.0};
};

} // namespace agatespar
