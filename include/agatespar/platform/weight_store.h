// Interface to the platform's weight store, whose reads are rate-limited.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <cstdint>
#include <functional>
#include <string>

namespace agatespar {

/// Permission to read the weights of one version once.
struct weight_grant {
    /// Token with which an engine reads the weights.
    std::string token;
    std::uint64_t bytes{0};
};

using weight_callback = std::function<void(outcome<weight_grant>)>;

/// The operations of the weight store. Callbacks run on the loop's thread, never from within the call.
struct weight_store {
    /// Fails with `overloaded` and error::retry_after if the store's rate limit is reached.
    std::function<void(version_id, weight_callback)> acquire;
};

} // namespace agatespar
