// What one VM believes about its zone's servers, the versions and the other zones: the input of a routing decision.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/prefix_index.h>
#include <agatespar/support/clock.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace agatespar {

/// One version of a model, or a plain service, which has a price of zero and no tokens.
struct version_view {
    model_index model;
    /// Its share of the new sessions of its model; the shares of a model need not add up to one.
    double share{1};
    bool withdrawn{false};
    /// Where pinned sessions go when the version is withdrawn.
    std::optional<version_index> successor;
    /// The version guard lets no new session in; pinned sessions stay.
    bool stopped_by_guard{false};
    double cost_per_1k_tokens{0};
    double prefill_tokens_per_s{1e9};
    double decode_ms_per_token{0};
    /// The decode time grows by this times the share of busy slots.
    double decode_slope{0};
    /// The upper end of what is believed of its share of bad answers, between 0 and 1.
    double risk{0};
};

/// One backend server of this zone, as last reported and corrected by this VM's own work.
struct server_view {
    version_index version;
    bool healthy{true};
    bool leaving{false};
    /// How many requests its owner lets run on it now, over all VMs.
    std::uint16_t limit{0};
    /// How many it runs at once when it is warm.
    std::uint16_t slots{1};
    std::uint16_t reported_running{0};
    std::uint16_t reported_queued{0};
    /// What this VM sent and saw end since the time that the report speaks of.
    std::uint16_t own_sent_since_report{0};
    std::uint16_t own_ended_since_report{0};
    /// Requests for which this VM holds a permit that is not used, or may ask one for.
    std::uint16_t permits{UINT16_MAX};
    /// Observed over predicted time of its recent work; 1 is as predicted.
    float slowdown{1};
    /// Share of its recent requests that failed.
    float failure_rate{0};
};

/// Another zone's summary, or the own zone's.
struct zone_view {
    bool in_service{true};
    bool reachable{true};
    double one_way_ms{0};
    /// Free slots for each version, as the zone last said.
    std::array<std::uint16_t, max_versions> free_slots{};
};

/// How much a fleet minds latency, cost and exposure to risk.
struct score_weights {
    double latency{1};
    double cost{1};
    double exposure{1};
};

/// The whole view of one VM. Fill the vectors, then call index_servers().
struct routing_view {
    std::vector<version_view> versions;
    std::vector<server_view> servers;
    std::vector<zone_view> zones;
    zone_index own_zone;
    std::vector<score_weights> weights;
    prefix_index prefixes;

    /// The servers in the order of their versions; index_servers() fills it.
    std::vector<server_index> by_version;
    /// Where each version's servers start in by_version, with the end as last item.
    std::vector<std::uint16_t> version_start;
};

/// Groups the servers by version. To be called after servers were added, removed, or changed their version.
void index_servers(routing_view& view);

/// @return the running requests of a server, corrected by what this VM sent since the lagging report.
std::uint32_t estimated_running(const server_view& server);

} // namespace agatespar
