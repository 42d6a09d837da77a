// Access to the log for operators' tools: fetches the current state, and submits a patch and waits for its verdict.
#pragma once

#include <agatespar/config/fold.h>
#include <agatespar/config/patch.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/log_service.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace agatespar {

struct log_access_settings {
    /// Time-out of the whole operation.
    std::chrono::milliseconds give_up{30'000};
    /// Delay after a call that failed or returned no verdict.
    std::chrono::milliseconds retry{250};
};

/// Reads the newest snapshot and the log's records after it.
/// @param callback receives the state at the log's head; unavailable if the log can't be read in time; not_found if
/// records after the newest readable snapshot have expired.
void fetch_state(event_loop& loop, const log_service& log, const log_access_settings& settings,
                 std::function<void(outcome<fold_state>)> callback);

enum class submit_status {
    accepted,
    /// Another patch was accepted on the base number of this one.
    conflict,
    /// The result of the patch would not be a valid configuration.
    invalid,
    /// The log contains a record that requires newer fold rules than this program has (see fold_rules_version), so that
    /// the verdict can't be determined.
    too_new,
    /// Nothing was submitted because the log could not be read.
    unreachable,
    /// The patch may or may not be accepted: the log could not be read to the end after the submission.
    unknown,
};

struct submit_report {
    patch_id id;
    submit_status status{submit_status::unknown};
    /// The number of the patch if it was accepted, else the latest known number.
    config_number number;
    std::string reason;
    /// After a conflict: the patches accepted since the base, oldest first, as far as the fold remembers them.
    std::vector<patch_verdict> accepted_since_base;
    unsigned appends{0};
};

/// Submits a patch and reads the log until its verdict is known. An append whose answer is lost does not count as a
/// failure: the same patch is appended again under the same id until the log contains it, and its first verdict counts.
void submit_patch(event_loop& loop, const log_service& log, const patch& change, const log_access_settings& settings,
                  std::function<void(submit_report)> callback);

/// @return "accepted", "conflict", ... as shown to operators and read by scripts.
std::string_view to_string(submit_status status);

} // namespace agatespar
