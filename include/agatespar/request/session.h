// The state of a session between requests. The caller keeps it in a token, so that any VM can continue the session.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// The contents of a session token.
struct session_state {
    std::string id;
    /// The versions that the session is pinned to, at most one for each model.
    std::vector<version_id> pins;
};

/// Encodes and decodes session tokens.
struct session_codec {
    std::function<std::string(const session_state&, wall_time)> encode;
    /// @return unauthenticated for a token that was not issued by a VM of the system.
    std::function<outcome<session_state>(std::string_view, wall_time)> decode;
};

} // namespace agatespar
