// The age of a caller's key, which decides whether the ledger can still tell a repeat from a first run.
#pragma once

#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <optional>
#include <string_view>

namespace agatespar {

/// @return the time in a version 7 UUID (RFC 9562), or nothing if the text is not one.
std::optional<wall_time> uuid_v7_time(std::string_view text);

/// @param key the caller's key. @param stated the time sent beside it, as milliseconds since 1970 or an RFC 3339 time
/// in UTC; empty if none was sent.
/// @return when the key was made, or invalid_argument if neither shows it.
outcome<wall_time> key_time_of(const idempotency_key& key, std::string_view stated);

/// Refuses a key that is older than the window (outcome_unknown) or dated in the future (invalid_argument).
outcome<void> check_key_age(wall_time key_time, wall_time now, const ledger_settings& settings);

} // namespace agatespar
