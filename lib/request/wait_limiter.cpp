// Limits on waiting requests.
#include <agatespar/request/wait_limiter.h>

namespace agatespar {

static constexpr std::size_t max_waiting = 512;
// Exceeds the time that a change of a server's owner takes.
static constexpr std::chrono::seconds longest_wait{10};

bool waiting_room::may_wait(const error& refusal, steady_time since, bool waits, steady_time deadline,
                            steady_time now) const
{
    const bool for_room = refusal.code == error_code::overloaded || refusal.code == error_code::unavailable;
    const bool in_time = now + waiting_interval < deadline && now - since < longest_wait;
    return for_room && in_time && (waits || waiting_ < max_waiting);
}

} // namespace agatespar
