// Makes request ids: UUIDs of version 7, which show when they were made.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

#include <random>

namespace agatespar {

/// @return a UUID of version 7 (RFC 9562, section 5.7) for the given time.
request_id make_request_id(wall_time now, std::mt19937_64& random);

} // namespace agatespar
