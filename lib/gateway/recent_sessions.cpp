// Remembers sessions for a while.
#include <agatespar/gateway/recent_sessions.h>
#include <agatespar/support/hash.h>

#include <cmath>

namespace agatespar {

session_hash hash_of_session(std::string_view session)
{
    return stable_hash(session);
}

double place_of_session(session_hash session)
{
    // The upper 53 bits are what a double holds exactly.
    return std::ldexp(static_cast<double>(session >> 11U), -53);
}

void recent_sessions::note(session_hash session, steady_time now)
{
    if (place_of_session(session) >= share_) {
        return;
    }
    if (now - swept_ > time_) {
        forget_old(now);
    }
    seen_[session] = now;
}

std::vector<session_hash> recent_sessions::list(steady_time now)
{
    forget_old(now);
    std::vector<session_hash> sessions;
    sessions.reserve(seen_.size());
    for (const auto& [session, time] : seen_) {
        sessions.push_back(session);
    }
    return sessions;
}

void recent_sessions::forget_old(steady_time now)
{
    swept_ = now;
    std::erase_if(seen_, [this, now](const auto& entry) { return now - entry.second > time_; });
}

} // namespace agatespar
