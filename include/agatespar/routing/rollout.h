// Which version of each model a request may run on: allowed, live, the session's own or the roll-out's choice.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/request.h>

namespace agatespar {

struct routing_view;
struct explanation;

/// The versions that remain for a request, at most one for each model.
struct eligible_versions {
    version_set versions;
    bool moved_from_withdrawn{false};
    version_index moved_from;
    bool any_allowed{false};
};

/// Narrows the allowed versions. A pinned session keeps its version while it is live; a withdrawn one is replaced
/// by the named successor. A new session falls into the shares of the roll-out by its hash, so that every VM
/// chooses alike, and a change of shares moves no pinned session.
/// @param explained if given, counts the versions that fell out.
eligible_versions choose_versions(const routing_view& view, const route_request& request,
                                  explanation* explained = nullptr);

} // namespace agatespar
