// Limits on waiting requests.
#include <agatespar/request/wait_limiter.h>

namespace agatespar {

static constexpr std::size_t max_waiting_requests = 512;
// Exceeds the time that a change of a server's owner takes.
static constexpr std::chrono::seconds max_wait{10};

bool wait_limiter::may_wait(const error& refusal, steady_time since, bool already_waiting, steady_time deadline,
                            steady_time now) const
{
    const bool may_be_temporary = refusal.code == error_code::overloaded || refusal.code == error_code::unavailable;
    const bool in_time = now + wait_retry_interval < deadline && now - since < max_wait;
    return may_be_temporary && in_time && (already_waiting || waiting_ < max_waiting_requests);
}

} // namespace agatespar
