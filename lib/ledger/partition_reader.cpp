// Reads a partition's latest snapshot and its stream.
#include <agatespar/ledger/ledger_snapshot.h>
#include <agatespar/ledger/partition_reader.h>

namespace agatespar {

static constexpr std::size_t read_limit = 1024;

partition_reader::partition_reader(event_loop& loop, log_service log, ledger_partition partition,
                                   ledger_settings settings, pass_callback on_pass)
    : loop_(loop), log_(std::move(log)), partition_(partition), settings_(settings), on_pass_(std::move(on_pass))
{
}

std::uint64_t partition_reader::catch_up()
{
    if (in_pass_) {
        pass_requested_ = true;
        return started_passes_ + 1;
    }
    start_pass();
    return started_passes_;
}

void partition_reader::start_pass()
{
    in_pass_ = true;
    ++started_passes_;
    if (state_usable_) {
        read_tail();
        return;
    }
    ++counters_.recoveries;
    find_snapshot();
}

void partition_reader::end_pass(bool ok)
{
    in_pass_ = false;
    if (ok) {
        last_finished_pass_ = started_passes_;
        recovered_ = true;
    }
    if (pass_requested_) {
        pass_requested_ = false;
        start_pass();
    }
    on_pass_(ok);
}

void partition_reader::read(const read_request& request, std::function<void(read_batch)> callback)
{
    ++counters_.reads;
    log_.read(request, [self = shared_from_this(), callback = std::move(callback)](outcome<read_batch> answer) {
        if (self->stopped_) {
            return;
        }
        if (!answer) {
            ++self->counters_.failed_reads;
            self->end_pass(false);
            return;
        }
        callback(std::move(*answer));
    });
}

void partition_reader::find_snapshot()
{
    const stream_name stream = ledger_snapshot_stream(partition_);
    read({stream, log_offset{1}, 1}, [this, stream](const read_batch& batch) {
        if (batch.next == batch.first_retained) {
            begin_tail({});
            return;
        }
        read({stream, log_offset{batch.next.value() - 1}, 1}, [this](const read_batch& last) { read_snapshot(last); });
    });
}

void partition_reader::read_snapshot(const read_batch& last)
{
    if (last.records.empty()) {
        begin_tail({});
        return;
    }
    const auto count = snapshot_size(last.records.back().payload);
    const std::uint64_t end = last.records.back().offset.value() + 1;
    if (!count || *count >= end) {
        begin_tail({});
        return;
    }
    collect_snapshot(*count, {}, log_offset{end - *count});
}

void partition_reader::collect_snapshot(std::uint32_t count, std::vector<std::string> payloads, log_offset from)
{
    if (payloads.size() == count) {
        auto state = decode_snapshot(payloads);
        if (state) {
            incomplete_until_.reset();
        }
        begin_tail(state ? std::move(*state) : partition_state{});
        return;
    }
    const std::size_t missing = count - payloads.size();
    read({ledger_snapshot_stream(partition_), from, missing},
         [this, count, payloads = std::move(payloads), from](read_batch batch) mutable {
             if (batch.records.empty() || batch.records.front().offset != from) {
                 begin_tail({});
                 return;
             }
             for (log_record& record : batch.records) {
                 payloads.push_back(std::move(record.payload));
             }
             const log_offset next{batch.records.back().offset.value() + 1};
             collect_snapshot(count, std::move(payloads), next);
         });
}

void partition_reader::begin_tail(partition_state state)
{
    state_ = std::move(state);
    state_usable_ = true;
    read_tail();
}

void partition_reader::read_tail()
{
    read({ledger_stream(partition_), state_.next, read_limit}, [this](const read_batch& batch) { fold_tail(batch); });
}

void partition_reader::fold_tail(const read_batch& batch)
{
    if (batch.first_retained > state_.next) {
        handle_gap(batch.first_retained);
        return;
    }
    for (const log_record& record : batch.records) {
        fold_record(state_, record.payload);
        ++counters_.folded_records;
    }
    if (batch.records.empty() || state_.next >= batch.next) {
        end_pass(true);
        return;
    }
    read_tail();
}

void partition_reader::handle_gap(log_offset first_retained)
{
    // A snapshot of another owner may contain the records that this owner missed.
    ++counters_.gaps;
    if (recovered_) {
        recovered_ = false;
        state_usable_ = false;
        find_snapshot();
        return;
    }
    // The times of the missing records are unknown, but all of them were written before now.
    incomplete_until_ = loop_.time().wall_now() + settings_.key_window + settings_.window_slack;
    partition_state state_after_gap;
    state_after_gap.next = first_retained;
    begin_tail(std::move(state_after_gap));
}

window_state partition_reader::window(wall_time now) const
{
    if (!recovered_) {
        return window_state::recovering;
    }
    return incomplete_until_ && now < *incomplete_until_ ? window_state::incomplete : window_state::complete;
}

} // namespace agatespar
