// Makes and reads request ids: UUIDs of version 7, which show when they were made.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

#include <optional>
#include <random>
#include <string_view>

namespace agatespar {

/// @return a UUID of version 7 (RFC 9562, section 5.7) for the given time.
request_id make_request_id(wall_time now, std::mt19937_64& random);

/// @return the time in a UUID of version 7, or nothing for any other text.
std::optional<wall_time> time_of_uuid(std::string_view text);

} // namespace agatespar
