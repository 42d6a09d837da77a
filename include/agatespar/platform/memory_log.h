// In-memory log service with fault injection, for tests, benchmarks and the stand-in program.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/log_service.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>

namespace agatespar {

/// Faults that are injected into a memory_log.
struct log_faults {
    /// All calls fail without effect.
    bool down{false};
    /// Fraction of appends that take effect although their answer is an error.
    double lost_answer_probability{0.0};
    /// Delay of each answer.
    std::chrono::milliseconds delay{0};
    /// Maximum number of append calls that take effect in a second; further calls are queued. Zero for no limit.
    std::uint32_t appends_per_second{0};
};

/// Keeps streams in memory and implements the log service's operations on an event loop.
class memory_log {
public:
    memory_log(event_loop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

    /// @return the operations; they refer to this object, which must outlive them.
    log_service service();

    /// Appends immediately, without faults. @return the first payload's offset.
    log_offset append_now(const append_request& request);
    /// Reads immediately, without faults.
    read_batch read_now(const read_request& request) const;
    /// Discards all records of a stream before an offset.
    void trim(const stream_name& name, log_offset first_retained);

    /// Sets the faults. If the log is down, pending reads fail immediately.
    void set_faults(const log_faults& faults);
    const log_faults& faults() const { return faults_; }
    /// @return the number of append calls that reached the log.
    std::uint64_t append_calls() const { return append_calls_; }

private:
    struct stream {
        log_offset first{1};
        std::deque<std::string> records;
    };

    struct pending_read {
        read_request request;
        read_callback callback;
        timer_id timeout;
    };

    void append(const append_request& request, append_callback callback);
    void apply_append(const append_request& request, append_callback callback);
    duration reserve_append_time();
    void read(const read_request& request, read_callback callback);
    void wait(const read_request& request, read_callback callback);
    void answer_pending_reads(const stream_name& name);
    void finish_wait(std::uint64_t wait_id);
    void answer(const read_request& request, read_callback callback);
    void fail_as_unavailable(std::function<void(error)> callback);

    event_loop& loop_;
    std::mt19937_64 random_;
    log_faults faults_;
    std::uint64_t append_calls_{0};
    std::map<stream_name, stream> streams_;
    steady_time next_append_time_;
    std::uint64_t last_wait_id_{0};
    std::map<std::uint64_t, pending_read> pending_reads_;
};

} // namespace agatespar
