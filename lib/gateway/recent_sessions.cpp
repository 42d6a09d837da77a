// Stores the time of each session's last request, and removes sessions that have timed out.
#include <agatespar/gateway/recent_sessions.h>
#include <agatespar/support/hash.h>

#include <cmath>

namespace agatespar {

session_hash hash_of_session(std::string_view session)
{
    return stable_hash(session);
}

double session_fraction(session_hash session)
{
    // A double represents 53 bits exactly, so the upper 53 bits are used.
    return std::ldexp(static_cast<double>(session >> 11U), -53);
}

void recent_sessions::note(session_hash session, steady_time now)
{
    if (session_fraction(session) >= share_) {
        return;
    }
    if (now - last_sweep_ > session_timeout_) {
        remove_expired(now);
    }
    last_requests_[session] = now;
}

std::vector<session_hash> recent_sessions::list(steady_time now)
{
    remove_expired(now);
    std::vector<session_hash> sessions;
    sessions.reserve(last_requests_.size());
    for (const auto& [session, time] : last_requests_) {
        sessions.push_back(session);
    }
    return sessions;
}

void recent_sessions::remove_expired(steady_time now)
{
    last_sweep_ = now;
    std::erase_if(last_requests_, [this, now](const auto& entry) { return now - entry.second > session_timeout_; });
}

} // namespace agatespar
