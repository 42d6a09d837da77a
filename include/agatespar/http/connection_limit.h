// Decides how many client connections a process may hold, and which of them gives way to a new one.
#pragma once

#include <agatespar/support/clock.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace agatespar {

/// What the client of a connection is doing.
enum class client_activity {
    /// No request is in progress and none has begun.
    idle,
    /// The head of a request has begun and is not complete.
    sending_head,
    /// The body of a request is being read, a request is being answered, or an answer is being sent.
    in_request,
};

/// State of one client connection, as far as it matters for the choice of the one to close.
struct connection_state {
    client_activity activity{client_activity::idle};
    /// When the connection became idle, or when the last bytes of its incomplete head arrived.
    steady_time since;
};

/// An incomplete head makes no progress if no byte of it arrives for this time. It is longer than a lost packet takes
/// to be sent again between distant regions.
inline constexpr std::chrono::milliseconds head_progress_timeout{1000};

/// @param max_fds the operators' limit on open descriptors. @param process_limit the operating system's limit for this
/// process. @return the maximum number of client connections, at least one; the remaining descriptors are reserved for
/// files and for connections to servers, to the store and to other VMs.
std::size_t client_connection_limit(std::size_t max_fds, std::size_t process_limit);

/// @return the operating system's limit on open descriptors of this process (RLIMIT_NOFILE).
std::size_t process_descriptor_limit();

/// Chooses the connection that is closed in favour of a new one: the one that has been idle longest, or otherwise the
/// one whose incomplete head has made no progress for the longest time, if that exceeds the time-out.
/// @return its index, or nothing if no connection may be closed.
std::optional<std::size_t> choose_evicted(std::span<const connection_state> connections, steady_time now);

} // namespace agatespar
