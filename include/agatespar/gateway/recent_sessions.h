// Tracks the sessions that have sent a request recently.
#pragma once

#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// Hash of a session, equal on all VMs and uniformly distributed over all values.
using session_hash = std::uint64_t;

session_hash hash_of_session(std::string_view session);

/// @return the hash mapped to [0, 1), to be compared with a share of the traffic.
double session_fraction(session_hash session);

/// Records the sessions whose next request may still belong to the same session. Only sessions that a roll-out could
/// route to the new version are stored, so that memory use corresponds to a small share of the traffic.
class recent_sessions {
public:
    /// @param time requests of a session belong together if they follow each other within this time.
    /// @param share only sessions whose hash maps to a value below this share are stored.
    recent_sessions(std::chrono::milliseconds time, double share) : session_timeout_(time), share_(share) {}

    /// Changes the time after which a session's requests no longer belong together.
    void change(std::chrono::milliseconds time) { session_timeout_ = time; }
    void note(session_hash session, steady_time now);
    /// @return the sessions that may send further requests.
    std::vector<session_hash> list(steady_time now);

private:
    void remove_expired(steady_time now);

    std::chrono::milliseconds session_timeout_;
    double share_;
    std::unordered_map<session_hash, steady_time> last_requests_;
    steady_time last_sweep_;
};

} // namespace agatespar
