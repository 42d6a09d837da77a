// Groups the servers of a view by version, and estimates a server's current load from an outdated report.
#include <agatespar/routing/view.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

void index_servers(routing_view& view)
{
    assert(view.versions.size() <= max_versions && "too many versions for a version_set");
    view.version_start.assign(view.versions.size() + 1, 0);
    for (const server_view& server : view.servers) {
        assert(server.version.value() < view.versions.size() && "the server's version must be part of the view");
        ++view.version_start[server.version.value() + 1U];
    }
    for (std::size_t i = 1; i < view.version_start.size(); ++i)
        view.version_start[i] = static_cast<std::uint16_t>(view.version_start[i] + view.version_start[i - 1]);
    view.by_version.resize(view.servers.size());
    std::vector<std::uint16_t> next = view.version_start;
    for (std::size_t i = 0; i < view.servers.size(); ++i) {
        const std::size_t version = view.servers[i].version.value();
        view.by_version[next[version]++] = server_index{static_cast<std::uint16_t>(i)};
    }
}

std::uint32_t estimated_running(const server_view& server)
{
    const std::uint32_t known = std::uint32_t{server.reported_running} + server.reported_queued;
    const std::uint32_t with_own = known + server.own_sent_since_report;
    return with_own - std::min<std::uint32_t>(with_own, server.own_ended_since_report);
}

} // namespace agatespar
