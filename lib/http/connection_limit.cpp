// The division of descriptors, and the choice of the client connection that is closed in favour of a new one.
#include <agatespar/http/connection_limit.h>

#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace agatespar {

// Descriptors that the operators reserve for files, within their limit on descriptors.
static constexpr std::size_t file_descriptors = 200;
// One part in this many of the rest is reserved for connections to servers, to the store and to other VMs, which keep
// the VM in operation when clients open as many connections as they can.
static constexpr std::size_t reserved_part = 4;

std::size_t client_connection_limit(std::size_t max_fds, std::size_t process_limit)
{
    const std::size_t for_connections = std::min(max_fds - std::min(max_fds, file_descriptors), process_limit);
    return std::max<std::size_t>(for_connections - for_connections / reserved_part, 1);
}

std::size_t process_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

std::optional<std::size_t> choose_evicted(std::span<const connection_state> connections, steady_time now)
{
    const connection_state* chosen = nullptr;
    for (const connection_state& connection : connections) {
        const bool is_candidate =
            connection.activity == client_activity::idle ||
            (connection.activity == client_activity::sending_head && now - connection.since > head_progress_timeout);
        if (!is_candidate) {
            continue;
        }
        const auto rank = [](const connection_state& of) { return std::pair{of.activity, of.since}; };
        if (chosen == nullptr || rank(connection) < rank(*chosen)) {
            chosen = &connection;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional<std::size_t>{chosen - connections.data()};
}

} // namespace agatespar
