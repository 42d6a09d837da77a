// Creates request ids: UUIDs of version 7, which contain their creation time.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

#include <random>

namespace agatespar {

/// @return a UUID of version 7 (RFC 9562, section 5.7) with the given creation time.
request_id make_request_id(wall_time now, std::mt19937_64& random);

} // namespace agatespar
