// Streams in memory, with lost answers, outages and delays.
#include <agatespar/platform/memory_log.h>

#include <algorithm>

namespace agatespar {

// A waiting read looks again this often; the loop's clock decides, so tests stay deterministic.
static constexpr std::chrono::milliseconds read_poll_interval{5};

static error unavailable_error()
{
    return error{error_code::unavailable, "the log service does not answer", run_state::not_run, std::nullopt};
}

log_service memory_log::service()
{
    log_service operations;
    operations.append = [this](const append_request& request, append_callback callback) {
        append(request, std::move(callback));
    };
    operations.read = [this](read_request request, read_callback callback) {
        read(std::move(request), std::move(callback), std::chrono::milliseconds::zero());
    };
    return operations;
}

log_offset memory_log::append_now(const append_request& request)
{
    stream& target = streams_[request.stream];
    const log_offset first{target.first.value() + target.records.size()};
    target.records.insert(target.records.end(), request.payloads.begin(), request.payloads.end());
    return first;
}

read_batch memory_log::read_now(const read_request& request) const
{
    const auto found = streams_.find(request.stream);
    if (found == streams_.end()) {
        return read_batch{log_offset{1}, log_offset{1}, {}};
    }
    const stream& source = found->second;
    const std::uint64_t next = source.first.value() + source.records.size();
    read_batch batch{source.first, log_offset{next}, {}};
    for (std::uint64_t offset = std::max(request.from, source.first).value();
         offset < next && batch.records.size() < request.limit; ++offset) {
        batch.records.push_back({log_offset{offset}, source.records[offset - source.first.value()]});
    }
    return batch;
}

void memory_log::trim(const stream_name& name, log_offset first_retained)
{
    stream& target = streams_[name];
    while (target.first < first_retained && !target.records.empty()) {
        target.records.pop_front();
        target.first = log_offset{target.first.value() + 1};
    }
}

void memory_log::append(const append_request& request, append_callback callback)
{
    if (faults_.down) {
        loop_.schedule(faults_.delay,
                       [callback = std::move(callback)] { callback(tl::make_unexpected(unavailable_error())); });
        return;
    }
    ++append_calls_;
    const log_offset first = append_now(request);
    const bool lost = std::bernoulli_distribution{faults_.lost_answers}(random_);
    loop_.schedule(faults_.delay, [callback = std::move(callback), first, lost] {
        if (lost) {
            callback(tl::make_unexpected(unavailable_error()));
            return;
        }
        callback(append_receipt{first});
    });
}

void memory_log::read(read_request request, read_callback callback, std::chrono::milliseconds waited)
{
    if (faults_.down) {
        loop_.schedule(faults_.delay,
                       [callback = std::move(callback)] { callback(tl::make_unexpected(unavailable_error())); });
        return;
    }
    read_batch batch = read_now(request);
    if (batch.records.empty() && waited < request.wait) {
        loop_.schedule(read_poll_interval, [this, request = std::move(request), callback = std::move(callback),
                                            waited] { read(request, callback, waited + read_poll_interval); });
        return;
    }
    loop_.schedule(faults_.delay, [callback = std::move(callback), batch = std::move(batch)]() mutable {
        callback(std::move(batch));
    });
}

} // namespace agatespar
