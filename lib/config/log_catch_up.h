// Reads the log up to its head and folds its records into a configuration state, with retries after errors.
#pragma once

#include <agatespar/config/fold.h>
#include <agatespar/config/submit.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/log_service.h>

#include <functional>
#include <memory>

namespace agatespar {

/// Reads the `config` stream of the log for a command of an operator's tool. Pending callbacks own a reference to the
/// object, so it must be owned by a std::shared_ptr.
class log_catch_up : public std::enable_shared_from_this<log_catch_up> {
public:
    log_catch_up(event_loop& loop, log_service log, const log_access_settings& settings);

    /// Reads the newest snapshot on the first call, then the log up to its head. Retries after errors until stop() is
    /// called.
    /// @param callback receives the error `not_found` if records have expired that no snapshot covers, else success:
    /// either the head is reached, or the next record requires newer fold rules than this program has.
    void run(std::function<void(outcome<void>)> callback);
    /// Ends all retries. The callback is not called any more.
    void stop();

    const fold_state& state() const { return state_; }
    /// @return the error that caused the latest retry, or a default one if there was none.
    const error& last_error() const { return last_error_; }

private:
    void load_snapshot();
    void read();
    void handle_batch(const read_batch& batch);
    void retry(const error& problem, void (log_catch_up::*step)());
    void finish(outcome<void> result);

    event_loop& loop_;
    log_service log_;
    log_access_settings settings_;
    fold_state state_;
    bool snapshot_read_{false};
    bool stopped_{false};
    error last_error_;
    std::function<void(outcome<void>)> callback_;
};

} // namespace agatespar
