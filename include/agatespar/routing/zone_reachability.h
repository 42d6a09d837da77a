// Detects availability zones that cannot be reached, and decides when to probe them.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

#include <map>
#include <vector>

namespace agatespar {

/// Detects availability zones that cannot be reached: if several servers of a zone fail, the other servers there are
/// probably behind the same network partition. Other zones are preferred until a server of the zone answers a request
/// or a probe, or until nothing has failed there for a while.
class zone_reachability {
public:
    /// Records that a server could not be reached or stopped sending.
    void note_unreachable(const zone_name& zone, const server_name& server, steady_time now);
    /// Records an answer of any server of the zone, which shows that the zone can be reached.
    void note_reached(const zone_name& zone);
    /// Records that a probe of an avoided zone got no answer, so that the zone stays avoided.
    void note_probe_failed(const zone_name& zone, steady_time now);
    /// @return whether servers of other zones should be preferred to those of this zone.
    bool is_avoided(const zone_name& zone, steady_time now) const;
    /// @return whether the zone is avoided and its last probe failed too, so that a request would fail there as well.
    bool is_unreachable(const zone_name& zone, steady_time now) const;
    /// @return the avoided zones that are to be probed now. Each is returned once in an interval.
    std::vector<zone_name> take_due_probes(steady_time now);

private:
    struct zone_state {
        /// Servers that failed since the last answer from the zone, and when.
        std::map<server_name, steady_time> failed;
        steady_time last_failure;
        steady_time probed_at;
        bool avoided{false};
        bool probe_failed{false};
    };

    std::map<zone_name, zone_state> zones_;
};

} // namespace agatespar
