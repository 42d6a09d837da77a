// Reads the usage totals: the latest roll-up and the records after it in the usage stream.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/usage_fold.h>
#include <agatespar/platform/log_service.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <functional>
#include <memory>

namespace agatespar {

using usage_totals_callback = std::function<void(outcome<usage_totals>)>;

/// Reads the totals once, for `agatesparctl usage`. The callback is called once, on the loop's thread.
void read_usage_totals(const log_service& log, usage_totals_callback callback);

struct usage_rollup_settings {
    std::chrono::milliseconds read_interval{std::chrono::seconds{5}};
    /// Must be much shorter than the log's retention.
    std::chrono::milliseconds rollup_interval{std::chrono::minutes{10}};
};

/// Preserves the totals beyond the log's retention: folds the usage stream and writes roll-ups. One VM runs it at a
/// time; several at the same time do no harm.
class usage_rollup {
public:
    usage_rollup(event_loop& loop, const log_service& log, usage_rollup_settings settings);
    ~usage_rollup();
    usage_rollup(const usage_rollup&) = delete;
    usage_rollup& operator=(const usage_rollup&) = delete;

    void start();
    void stop();
    const usage_fold_state& state() const;
    /// @return the number of roll-ups that the log confirmed.
    std::uint64_t written() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace agatespar
