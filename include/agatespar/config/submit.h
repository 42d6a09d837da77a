// What an operator's program does with the log: fetch the current state, and submit a patch without ever guessing.
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
    /// When to give up.
    std::chrono::milliseconds give_up{30'000};
    /// The pause after a failed or fruitless call.
    std::chrono::milliseconds retry{250};
};

/// Reads the newest snapshot and the log's records after it.
/// @param callback gets the state at the log's head; unavailable if the log can't be read in time; not_found if neither
/// the log nor a snapshot reaches back far enough.
void fetch_state(event_loop& loop, const log_service& log, const log_access_settings& settings,
                 std::function<void(outcome<fold_state>)> callback);

enum class submit_status {
    accepted,
    /// Another patch took the number that this one was written against.
    conflict,
    /// The patch would break a rule of the configuration.
    invalid,
    /// The log holds records of newer rules: this program can't tell.
    too_new,
    /// Nothing was submitted, as the log could not be read.
    unreachable,
    /// The patch may be accepted or not; the log could not be read to the end after the submission.
    unknown,
};

struct submit_report {
    patch_id id;
    submit_status status{submit_status::unknown};
    /// The patch's own number if it was accepted, else the current one as far as known.
    config_number number;
    std::string reason;
    /// After a conflict: the accepted patches since the base, oldest first, as far as remembered.
    std::vector<patch_verdict> between;
    unsigned appends{0};
};

/// Submits a patch and reads the log until its verdict stands. A lost answer is never taken for a verdict: the same
/// patch is appended again under its id, whose first verdict counts, until the log tells.
void submit_patch(event_loop& loop, const log_service& log, const patch& change, const log_access_settings& settings,
                  std::function<void(submit_report)> callback);

/// @return "accepted", "conflict", ... for people and scripts.
std::string_view to_string(submit_status status);

} // namespace agatespar
