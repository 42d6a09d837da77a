// Folds the log up to its head, with retries after errors.
#pragma once

#include <agatespar/config/fold.h>
#include <agatespar/config/submit.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/log_service.h>

#include <functional>
#include <memory>

namespace agatespar {

/// Reads the `config` stream for a command of an operator's tool. Its pending callbacks keep the object alive.
class log_catch_up : public std::enable_shared_from_this<log_catch_up> {
public:
    log_catch_up(event_loop& loop, log_service log, const log_access_settings& settings);

    /// Reads up to the log's head, and retries after errors until stop() is called.
    /// @param callback receives not_found if records have expired that no snapshot covers, else success, either at the
    /// head or where a record of newer fold rules stops the fold.
    void run(std::function<void(outcome<void>)> callback);
    /// Ends all retries. The callback is not called any more.
    void stop();

    const fold_state& state() const { return state_; }
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
