// One VM's view of its zone's servers, of the versions and of the other zones: the input of a routing decision.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/prefix_index.h>
#include <agatespar/support/clock.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace agatespar {

/// One version of a model, or a plain service. A plain service has zero cost and no tokens.
struct version_view {
    model_index model;
    /// The version's share of its model's new sessions. The shares of a model need not add up to one.
    double share{1};
    bool withdrawn{false};
    /// The version to which pinned sessions move when this one is withdrawn.
    std::optional<version_index> successor;
    /// The version guard stopped assigning new sessions to the version. Pinned sessions stay on it.
    bool stopped_by_guard{false};
    double cost_per_1k_tokens{0};
    double prefill_tokens_per_s{1e9};
    /// Time per output token on an unloaded server.
    double decode_ms_per_token{0};
    /// Relative increase of the decode time when all slots are busy; it grows linearly with the share of busy slots.
    double decode_slope{0};
    /// Upper confidence bound of the share of bad answers, between 0 and 1.
    double risk{0};
};

/// One backend server of this zone: its last report, plus the requests that this VM sent and finished since then.
struct server_view {
    version_index version;
    bool healthy{true};
    /// The server is shutting down and accepts no new requests.
    bool leaving{false};
    /// The number of concurrent requests, over all VMs, that the server's owner VM currently allows.
    std::uint16_t limit{0};
    /// The number of concurrent requests that the server can run once it is warmed up.
    std::uint16_t slots{1};
    std::uint16_t reported_running{0};
    std::uint16_t reported_queued{0};
    /// Requests that this VM sent to the server, and requests that this VM saw end, since the report was taken.
    std::uint16_t own_sent_since_report{0};
    std::uint16_t own_ended_since_report{0};
    /// Number of requests that this VM may still send: unused permits plus those it may still request from the owner.
    std::uint16_t permits{UINT16_MAX};
    /// Observed divided by predicted duration of its recent requests; 1 means as predicted.
    float slowdown{1};
    /// Share of its recent requests that failed, between 0 and 1.
    float failure_rate{0};
};

/// The summary of a zone, of this VM's own or of another one.
struct zone_view {
    bool in_service{true};
    bool reachable{true};
    /// One-way network latency to the zone.
    double one_way_ms{0};
    /// Free slots for each version, from the zone's last report.
    std::array<std::uint16_t, max_versions> free_slots{};
};

/// The weights that a fleet gives to latency, cost and failure risk in a score.
struct score_weights {
    double latency{1};
    double cost{1};
    /// Weight of the failure risk.
    double exposure{1};
};

/// The complete view of one VM. After filling or changing the vectors, call index_servers().
struct routing_view {
    std::vector<version_view> versions;
    std::vector<server_view> servers;
    std::vector<zone_view> zones;
    /// The zone of this VM.
    zone_index own_zone;
    /// The weights of each fleet, by fleet_index.
    std::vector<score_weights> weights;
    prefix_index prefixes;

    /// The servers, grouped by version; filled by index_servers().
    std::vector<server_index> by_version;
    /// The position in by_version of each version's first server, followed by the end position; filled by
    /// index_servers().
    std::vector<std::uint16_t> version_start;
};

/// Groups the servers by version. Must be called after servers are added or removed, or change their version.
void index_servers(routing_view& view);

/// @return the estimated number of running and queued requests of a server: those of its last report, plus the requests
/// that this VM sent since then, minus those that it saw end.
std::uint32_t estimated_running(const server_view& server);

} // namespace agatespar
