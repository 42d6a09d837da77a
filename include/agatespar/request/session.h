// A session between requests: it travels in a token with the caller, so that any VM can go on with it.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// What the token carries.
struct session_state {
    std::string id;
    /// The versions that the session keeps, at most one for each model.
    std::vector<version_id> pins;
};

/// Makes and reads session tokens.
struct session_codec {
    std::function<std::string(const session_state&, wall_time)> encode;
    /// Fails with unauthenticated for a token that no VM of the system made.
    std::function<outcome<session_state>(std::string_view, wall_time)> decode;
};

} // namespace agatespar
