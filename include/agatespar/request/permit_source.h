// How the request path gets the right to start work on a backend server.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <functional>

namespace agatespar {

/// The operations of a permit source; callbacks come on the loop's thread, also from within the call.
struct permit_source {
    /// Gets a permit for one request, now or after asking the server's owner; the error is always "not run".
    /// @param alone for a request that must run with nothing else on the server.
    std::function<void(const server_id&, bool alone, std::function<void(const outcome<permit>&)>)> acquire;
    /// Gives a permit back once; every acquired permit is given back.
    std::function<void(const permit&, const permit_result&)> release;
};

} // namespace agatespar
