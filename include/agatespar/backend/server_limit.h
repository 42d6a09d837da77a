// How much work a backend server may run at once: little while it is cold, more with each success.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/platform/engine.h>
#include <agatespar/support/clock.h>

#include <cstdint>
#include <optional>

namespace agatespar {

/// How the limit moves.
struct limit_settings {
    /// Successes within the expected time, one after another or not, before a cold server gets more.
    std::uint32_t warm_after{8};
    /// The same for a server that does not report itself as warm.
    std::uint32_t warm_after_unreported{32};
    /// Work slower than this against the server's own baseline does not raise the limit.
    double slow_ratio{2.0};
    /// Work slower than this is a sign of a cold server.
    double cold_ratio{3.0};
    /// So many signs in a row mean that the server turned cold.
    std::uint32_t cold_signs{3};
    /// What remains of the limit after a failure.
    double decrease{0.7};
    /// The weight of the newest result in the baseline.
    double baseline_weight{0.05};
};

/// A server's limit with all that it is derived from.
struct server_limit {
    std::uint32_t cold_slots{1};
    std::uint32_t slots{1};
    double limit{1.0};
    bool warm{false};
    bool reported_warm{false};
    bool had_cached_prefixes{false};
    std::optional<server_start_id> start;
    std::uint32_t successes{0};
    std::uint32_t cold_signs_seen{0};
    /// Average slowdown of good work while warm.
    double baseline{1.0};
};

/// @return the limit of a server of which nothing is known yet: a cold one.
server_limit make_cold_limit(std::uint32_t cold_slots, std::uint32_t slots);
/// @return how many requests may run at once.
std::uint32_t allowed_work(const server_limit& limit);

/// Takes in how one piece of work ended. @return true if the server turned cold by it.
bool note_result(server_limit& limit, const permit_result& result, const limit_settings& settings);
/// Takes in a load report. @return true if the server turned cold by it.
bool note_report(server_limit& limit, const load_report& report);
/// Falls back to what a cold server bears.
void turn_cold(server_limit& limit);
/// Takes over the limit that an earlier owner had reached, for the same start of the server.
void adopt_limit(server_limit& limit, std::uint32_t earlier, server_start_id start);

/// @return a short form of a start id, to compare limits across owners.
std::uint16_t tag_of(server_start_id start);

} // namespace agatespar
