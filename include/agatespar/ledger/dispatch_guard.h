// The last check before a non-idempotent request is sent to a backend server.
#pragma once

#include <agatespar/ledger/ledger_records.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

namespace agatespar {

/// A claim that holds its key, as stored by the VM that made it (the claimant).
struct granted_claim {
    ledger_key key;
    claim_id id;
    request_id request;
    wall_time key_time;
    /// The claim's offset in the log, for backend servers that check fencing numbers.
    fencing_number fence;
    wall_time expiry;
    /// The expiry on the claimant's monotonic clock, which advances while the process is paused.
    steady_time deadline;
    /// Whether the caller stated that this is the first submission of the key (submission::first). If so, and if the
    /// request is not dispatched under this claim, no submission of the key has run.
    bool first_submission{false};
};

/// @param max_skew maximum clock error.
/// @return whether more than `max_skew` is left until the claim's expiry on both clocks.
bool may_dispatch(const granted_claim& claim, wall_time now_wall, steady_time now_steady, duration max_skew);

} // namespace agatespar
