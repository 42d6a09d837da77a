// Selects the version of each model on which a request may run: the session's pinned version, or one that is drawn by
// the shares of the roll-out.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/routing/request.h>

namespace agatespar {

struct routing_view;
struct explanation;

/// The versions on which a request may run.
struct eligible_versions {
    /// At most one version of each model.
    version_set versions;
    /// A version to which the session was pinned is withdrawn and was replaced by its successor.
    bool moved_from_withdrawn{false};
    /// The withdrawn version; valid only if `moved_from_withdrawn` is set.
    version_index moved_from;
    /// Whether the request allows any version at all.
    bool any_allowed{false};
};

/// Selects at most one version of each model from the allowed ones. A pinned session keeps its version until the
/// version is withdrawn, and then moves to the configured successor. For a new session, the session hash is mapped to
/// the shares of the roll-out, so that all VMs make the same choice. A change of the shares does not move pinned
/// sessions.
/// @param explained if not null, receives the number of excluded versions for each reason.
/// @return the selected versions.
eligible_versions choose_versions(const routing_view& view, const route_request& request,
                                  explanation* explained = nullptr);

} // namespace agatespar
