// Compares a claim's expiry with the wall clock and the monotonic clock.
#include <agatespar/ledger/dispatch_guard.h>

namespace agatespar {

bool may_dispatch(const granted_claim& claim, wall_time now_wall, steady_time now_steady, duration max_skew)
{
    return claim.expiry - now_wall > max_skew && claim.deadline - now_steady > max_skew;
}

} // namespace agatespar
