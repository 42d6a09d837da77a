// The last check before a non-idempotent request goes to a backend server.
#pragma once

#include <agatespar/ledger/ledger_records.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

namespace agatespar {

/// A claim that holds its key, as its claimant keeps it.
struct granted_claim {
    ledger_key key;
    claim_id id;
    request_id request;
    wall_time key_time;
    /// The claim's offset in the log, for backend servers that check it.
    fencing_number fence;
    wall_time expiry;
    /// The same expiry on the claimant's monotonic clock, which runs on while the process is paused.
    steady_time deadline;
    /// Whether a refusal proves that the request did not run; see `submission`.
    bool first_submission{false};
};

/// @param allowance how far the clocks may be wrong.
/// @return whether both clocks show more than the allowance left before the claim's expiry.
bool may_dispatch(const granted_claim& claim, wall_time now_wall, steady_time now_steady, duration allowance);

} // namespace agatespar
