// Concurrency limit of a backend server: low while the server is cold, raised with each success once it is warm.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/platform/engine.h>
#include <agatespar/support/clock.h>

#include <cstdint>
#include <optional>

namespace agatespar {

/// Parameters of how the limit is raised and lowered.
struct limit_settings {
    /// Number of successes that are not slow (see `slow_ratio`), not necessarily consecutive, after which a cold server
    /// that reports itself as warm counts as warm.
    std::uint32_t warm_after{8};
    /// The same for a server that does not report itself as warm.
    std::uint32_t warm_after_unreported{32};
    /// A success whose slowdown exceeds this multiple of the server's own baseline lowers the limit instead of raising
    /// it.
    double slow_ratio{2.0};
    /// On a warm server, a success whose slowdown exceeds this multiple of the baseline is a sign of a cold server.
    double cold_ratio{3.0};
    /// Number of consecutive signs after which the server counts as cold.
    std::uint32_t cold_signs{3};
    /// Factor applied to the limit after a failure or a slow success.
    double decrease{0.7};
    /// Weight of the newest result in the baseline (exponential moving average).
    double baseline_weight{0.05};
};

/// A server's limit and the state from which it is derived.
struct server_limit {
    /// Limit while the server is cold, and lower bound while it is warm.
    std::uint32_t cold_slots{1};
    /// Upper bound of the limit.
    std::uint32_t slots{1};
    /// Current limit; its integral part is the number of requests that may run at once.
    double limit{1.0};
    bool warm{false};
    bool reported_warm{false};
    bool had_cached_prefixes{false};
    std::optional<server_start_id> start;
    /// Successes since the server turned cold that count towards `warm_after` or `warm_after_unreported`.
    std::uint32_t successes{0};
    std::uint32_t cold_signs_seen{0};
    /// Moving average of the slowdown of successful work while warm.
    double baseline{1.0};
};

/// @return the initial limit of a server with no known state, which counts as cold.
server_limit make_cold_limit(std::uint32_t cold_slots, std::uint32_t slots);
/// @return how many requests may run at once.
std::uint32_t allowed_work(const server_limit& limit);

/// Updates the limit with the result of one request. @return true if the server turned cold because of it.
bool apply_result(server_limit& limit, const permit_result& result, const limit_settings& settings);
/// Updates the state with a load report. @return true if the server turned cold because of it.
bool apply_load_report(server_limit& limit, const load_report& report);
/// Resets the limit to that of a cold server.
void turn_cold(server_limit& limit);
/// Sets the limit to `earlier`, within the range from `cold_slots` to `slots`, and marks the server as warm. Does
/// nothing unless `start` is the server's current start and the server reports itself as warm.
void adopt_limit(server_limit& limit, std::uint32_t earlier, server_start_id start);

/// @return a 16-bit hash of a start id, by which owners check that a limit belongs to the same start of a server.
std::uint16_t start_tag_of(server_start_id start);

} // namespace agatespar
