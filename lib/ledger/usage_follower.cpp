// Reads the latest roll-up, then the records after it in the usage stream.
#include <agatespar/ledger/usage_follower.h>

#include <algorithm>

namespace agatespar {

static constexpr std::size_t read_limit = 2048;
// Number of roll-ups to read. Two VMs may write roll-ups, so the last one does not always cover the most records.
static constexpr std::uint64_t candidate_rollups = 4;

void usage_follower::catch_up(pass_callback callback)
{
    if (state_usable_) {
        read_tail(callback);
        return;
    }
    find_rollup(callback);
}

void usage_follower::read(const read_request& request, const pass_callback& callback,
                          std::function<void(const read_batch&)> use)
{
    log_.read(request, [self = shared_from_this(), callback, use = std::move(use)](const outcome<read_batch>& batch) {
        if (!batch) {
            callback(tl::make_unexpected(batch.error()));
            return;
        }
        use(*batch);
    });
}

void usage_follower::find_rollup(const pass_callback& callback)
{
    read({usage_totals_stream(), log_offset{1}, 1}, callback, [this, callback](const read_batch& head) {
        const std::uint64_t from = head.next.value() - std::min(candidate_rollups, head.next.value() - 1);
        read({usage_totals_stream(), log_offset{from}, candidate_rollups}, callback,
             [this, callback](const read_batch& batch) {
                 load_rollup(batch);
                 state_usable_ = true;
                 read_tail(callback);
             });
    });
}

void usage_follower::load_rollup(const read_batch& batch)
{
    for (const log_record& record : batch.records) {
        auto state = decode_usage_rollup(record.payload);
        if (state && state->next > state_.next) {
            state_ = std::move(*state);
        }
    }
}

void usage_follower::read_tail(const pass_callback& callback)
{
    read({usage_stream(), state_.next, read_limit}, callback, [this, callback](const read_batch& batch) {
        if (batch.first_retained > state_.next) {
            handle_gap(batch.first_retained, callback);
            return;
        }
        for (const log_record& record : batch.records) {
            fold_usage_payload(state_, record.payload);
        }
        if (batch.records.empty() || state_.next >= batch.next) {
            callback({});
            return;
        }
        read_tail(callback);
    });
}

void usage_follower::handle_gap(log_offset first_retained, const pass_callback& callback)
{
    read({usage_totals_stream(), log_offset{1}, read_limit}, callback,
         [this, first_retained, callback](const read_batch& batch) {
             load_rollup(batch);
             if (state_.next < first_retained) {
                 state_.totals.lost_to_trimming += first_retained.value() - state_.next.value();
                 state_.next = first_retained;
             }
             read_tail(callback);
         });
}

} // namespace agatespar
