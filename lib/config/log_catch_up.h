// Brings a fold's state to the head of the log, with retries.
#pragma once

#include <agatespar/config/fold.h>
#include <agatespar/config/submit.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/log_service.h>

#include <functional>
#include <memory>

namespace agatespar {

/// One program's reading of the `config` stream. It lives until its last callback.
class log_catch_up : public std::enable_shared_from_this<log_catch_up> {
public:
    log_catch_up(event_loop& loop, log_service log, const log_access_settings& settings);

    /// Reads to the log's head, trying again after errors until stop() is called.
    /// @param callback gets not_found if records are missing for good, else success at the head or where newer rules
    /// stop the fold.
    void run(std::function<void(outcome<void>)> callback);
    /// Ends all retries; no callback comes any more.
    void stop();

    const fold_state& state() const { return state_; }
    const error& last_error() const { return last_error_; }

private:
    void load_snapshot();
    void read();
    void take(const read_batch& batch);
    void retry(const error& problem, void (log_catch_up::*step)());
    void finish(outcome<void> result);

    event_loop& loop_;
    log_service log_;
    log_access_settings settings_;
    fold_state state_;
    bool snapshot_tried_{false};
    bool stopped_{false};
    error last_error_;
    std::function<void(outcome<void>)> callback_;
};

} // namespace agatespar
