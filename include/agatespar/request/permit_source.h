// Interface through which the request path acquires permits to start work on a backend server.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <functional>

namespace agatespar {

/// The operations of a permit source. Callbacks run on the event loop's thread, possibly before acquire() returns.
struct permit_source {
    /// Acquires a permit for one request, either at once or after a request to the server's owner. An error always has
    /// run_state::not_run.
    /// @param alone whether the request must be the only one that runs on the server.
    std::function<void(const server_id&, bool alone, std::function<void(const outcome<permit>&)>)> acquire;
    /// Returns a permit. Must be called exactly once for each acquired permit.
    std::function<void(const permit&, const permit_result&)> release;
};

} // namespace agatespar
