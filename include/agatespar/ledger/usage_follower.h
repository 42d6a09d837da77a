// Folds the usage stream, starting from the latest roll-up.
#pragma once

#include <agatespar/ledger/usage_fold.h>
#include <agatespar/platform/log_service.h>
#include <agatespar/support/outcome.h>

#include <functional>
#include <memory>

namespace agatespar {

/// Keeps the folded state of the usage stream. Must be owned by a shared pointer: the log's callbacks extend its
/// lifetime beyond that of its owner.
class usage_follower : public std::enable_shared_from_this<usage_follower> {
public:
    using pass_callback = std::function<void(outcome<void>)>;

    explicit usage_follower(log_service log) : log_(std::move(log)) {}

    /// Reads to the end of the stream; the first pass starts from a roll-up. Must not be called during a pass.
    void catch_up(pass_callback callback);
    const usage_fold_state& state() const { return state_; }

private:
    void read(const read_request& request, const pass_callback& callback, std::function<void(const read_batch&)> use);
    void find_rollup(const pass_callback& callback);
    void load_rollup(const read_batch& batch);
    void read_tail(const pass_callback& callback);
    void handle_gap(log_offset first_retained, const pass_callback& callback);

    log_service log_;
    usage_fold_state state_;
    /// Whether state_ is based on the latest roll-up, so that the next pass can continue from state_.next.
    bool state_usable_{false};
};

} // namespace agatespar
