// In-memory log streams with lost answers, outages and delays.
#include <agatespar/platform/memory_log.h>

#include <algorithm>
#include <vector>

namespace agatespar {

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
    operations.read = [this](const read_request& request, read_callback callback) {
        read(request, std::move(callback));
    };
    return operations;
}

log_offset memory_log::append_now(const append_request& request)
{
    stream& target = streams_[request.stream];
    const log_offset first{target.first.value() + target.records.size()};
    target.records.insert(target.records.end(), request.payloads.begin(), request.payloads.end());
    answer_pending_reads(request.stream);
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

void memory_log::set_faults(const log_faults& faults)
{
    faults_ = faults;
    while (faults_.down && !pending_reads_.empty()) {
        finish_wait(pending_reads_.begin()->first);
    }
}

void memory_log::fail_as_unavailable(std::function<void(error)> callback)
{
    loop_.schedule(faults_.delay, [callback = std::move(callback)] { callback(unavailable_error()); });
}

// Reserves the next time at which an append may take effect, and returns the delay until then.
duration memory_log::reserve_append_time()
{
    if (faults_.appends_per_second == 0) {
        return duration::zero();
    }
    const steady_time now = loop_.time().now();
    const steady_time append_time = std::max(now, next_append_time_);
    next_append_time_ = append_time + duration{std::chrono::seconds{1}} / faults_.appends_per_second;
    return append_time - now;
}

void memory_log::append(const append_request& request, append_callback callback)
{
    if (faults_.down) {
        fail_as_unavailable(
            [callback = std::move(callback)](error reason) { callback(tl::make_unexpected(std::move(reason))); });
        return;
    }
    const duration wait = reserve_append_time();
    if (wait == duration::zero()) {
        apply_append(request, std::move(callback));
        return;
    }
    loop_.schedule(wait, [this, request, callback = std::move(callback)] { apply_append(request, callback); });
}

void memory_log::apply_append(const append_request& request, append_callback callback)
{
    ++append_calls_;
    const log_offset first = append_now(request);
    const bool lost = std::bernoulli_distribution{faults_.lost_answer_probability}(random_);
    loop_.schedule(faults_.delay, [callback = std::move(callback), first, lost] {
        if (lost) {
            callback(tl::make_unexpected(unavailable_error()));
            return;
        }
        callback(append_receipt{first});
    });
}

void memory_log::read(const read_request& request, read_callback callback)
{
    if (faults_.down) {
        fail_as_unavailable(
            [callback = std::move(callback)](error reason) { callback(tl::make_unexpected(std::move(reason))); });
        return;
    }
    if (request.wait > std::chrono::milliseconds::zero() && read_now(request).records.empty()) {
        wait(request, std::move(callback));
        return;
    }
    answer(request, std::move(callback));
}

void memory_log::wait(const read_request& request, read_callback callback)
{
    const std::uint64_t wait_id = ++last_wait_id_;
    const timer_id timeout = loop_.schedule(request.wait, [this, wait_id] { finish_wait(wait_id); });
    pending_reads_.emplace(wait_id, pending_read{request, std::move(callback), timeout});
}

// Answers the pending reads of a stream that now have records to return.
void memory_log::answer_pending_reads(const stream_name& name)
{
    std::vector<std::uint64_t> ready;
    for (const auto& [wait_id, read] : pending_reads_) {
        if (read.request.stream == name && !read_now(read.request).records.empty()) {
            ready.push_back(wait_id);
        }
    }
    for (const std::uint64_t wait_id : ready) {
        finish_wait(wait_id);
    }
}

void memory_log::finish_wait(std::uint64_t wait_id)
{
    auto ended = pending_reads_.extract(wait_id);
    loop_.cancel(ended.mapped().timeout);
    read_request request = std::move(ended.mapped().request);
    request.wait = std::chrono::milliseconds::zero();
    read(request, std::move(ended.mapped().callback));
}

void memory_log::answer(const read_request& request, read_callback callback)
{
    loop_.schedule(faults_.delay, [callback = std::move(callback), batch = read_now(request)]() mutable {
        callback(std::move(batch));
    });
}

} // namespace agatespar
