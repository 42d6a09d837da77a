// Lets requests that find no room wait a little, and bounds how many wait and for how long.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <cstddef>

namespace agatespar {

/// A request that waits looks again this often.
inline constexpr std::chrono::milliseconds waiting_interval{200};

/// Counts the requests that wait on this VM.
class waiting_room {
public:
    /// Decides whether a refused request waits. A new owner of a server gives out no permits for some seconds, and
    /// permits in other VMs' stores lapse within seconds, so most refusals are over soon.
    /// @param refusal why there was no room. @param since when the request began to wait, or now. @param waits whether
    /// it waits already, and so has its place.
    bool may_wait(const error& refusal, steady_time since, bool waits, steady_time deadline, steady_time now) const;

    void enter() { ++waiting_; }
    void leave() { --waiting_; }
    std::size_t waiting() const { return waiting_; }

private:
    std::size_t waiting_{0};
};

} // namespace agatespar
