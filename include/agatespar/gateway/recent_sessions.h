// Which sessions sent a request lately.
#pragma once

#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// A session's hash, equal on all VMs; uniform over all values.
using session_hash = std::uint64_t;

session_hash hash_of_session(std::string_view session);

/// @return where the hash falls in [0, 1), to be compared with a share.
double place_of_session(session_hash session);

/// Remembers sessions for as long as their requests belong together. Only those that a roll-out could expose are
/// kept, so that the memory is a small share of the traffic.
class recent_sessions {
public:
    /// @param time requests that follow within it belong together. @param share places below it are remembered.
    recent_sessions(std::chrono::milliseconds time, double share) : time_(time), share_(share) {}

    void change(std::chrono::milliseconds time) { time_ = time; }
    void note(session_hash session, steady_time now);
    /// @return the sessions that may go on.
    std::vector<session_hash> list(steady_time now);

private:
    void forget_old(steady_time now);

    std::chrono::milliseconds time_;
    double share_;
    std::unordered_map<session_hash, steady_time> seen_;
    steady_time swept_;
};

} // namespace agatespar
