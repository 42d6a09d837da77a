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
    wake(request.stream);
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
    while (faults_.down && !waiting_.empty()) {
        end_wait(waiting_.begin()->first);
    }
}

void memory_log::refuse(std::function<void(error)> callback)
{
    loop_.schedule(faults_.delay, [callback = std::move(callback)] { callback(unavailable_error()); });
}

// Reserves the next time at which an append may take effect, and returns the delay until then.
duration memory_log::wait_for_turn()
{
    if (faults_.appends_per_second == 0) {
        return duration::zero();
    }
    const steady_time now = loop_.time().now();
    const steady_time turn = std::max(now, next_turn_);
    next_turn_ = turn + duration{std::chrono::seconds{1}} / faults_.appends_per_second;
    return turn - now;
}

void memory_log::append(const append_request& request, append_callback callback)
{
    if (faults_.down) {
        refuse([callback = std::move(callback)](error reason) { callback(tl::make_unexpected(std::move(reason))); });
        return;
    }
    const duration wait = wait_for_turn();
    if (wait == duration::zero()) {
        take_effect(request, std::move(callback));
        return;
    }
    loop_.schedule(wait, [this, request, callback = std::move(callback)] { take_effect(request, callback); });
}

void memory_log::take_effect(const append_request& request, append_callback callback)
{
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

void memory_log::read(const read_request& request, read_callback callback)
{
    if (faults_.down) {
        refuse([callback = std::move(callback)](error reason) { callback(tl::make_unexpected(std::move(reason))); });
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
    const std::uint64_t waiting = ++last_waiting_;
    const timer_id timeout = loop_.schedule(request.wait, [this, waiting] { end_wait(waiting); });
    waiting_.emplace(waiting, waiting_read{request, std::move(callback), timeout});
}

// Answers the pending reads of a stream that now have records to return.
void memory_log::wake(const stream_name& name)
{
    std::vector<std::uint64_t> ready;
    for (const auto& [waiting, read] : waiting_) {
        if (read.request.stream == name && !read_now(read.request).records.empty()) {
            ready.push_back(waiting);
        }
    }
    for (const std::uint64_t waiting : ready) {
        end_wait(waiting);
    }
}

void memory_log::end_wait(std::uint64_t waiting)
{
    auto ended = waiting_.extract(waiting);
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
