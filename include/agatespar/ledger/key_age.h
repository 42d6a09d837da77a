// The age of an idempotency key. The ledger recognizes repeated submissions only of keys within its key window.
#pragma once

#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <optional>
#include <string_view>

namespace agatespar {

/// @return the timestamp of a version 7 UUID (RFC 9562), or nothing if the text is not one.
std::optional<wall_time> uuid_v7_time(std::string_view text);

/// @param key the caller's key. @param sent_time the time sent along with the key, as milliseconds since 1970 or an RFC
/// 3339 time in UTC; empty if none was sent.
/// @return the time at which the key was created, or invalid_argument if neither parameter contains it.
outcome<wall_time> key_time_of(const idempotency_key& key, std::string_view sent_time);

/// @return outcome_unknown for a key older than the key window, invalid_argument for a key with a time in the future.
outcome<void> check_key_age(wall_time key_time, wall_time now, const ledger_settings& settings);

} // namespace agatespar
