// A queueing stand-in for one model engine: slots, prefill and decode times, a prefix cache, cold starts and crashes.
#pragma once

#include "scenario.h"

#include <agatespar/kernel/event_loop.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace agatespar::bench {

/// How an engine ended a job.
enum class job_end { whole, refused, broken };

/// One attempt as the engine sees it.
struct engine_job {
    double prompt_tokens{0};
    double output_tokens{0};
    std::uint64_t session{0};
    /// Tokens of the prompt that this session's earlier turns may have left in the cache.
    double shared_prefix{0};
    bool kills_server{false};
    /// Told the time of the prefill over its expected time without cold or load.
    std::function<void(double slowdown)> on_first_token;
    std::function<void(job_end end, double tokens_done)> on_end;
    /// Told the time between tokens, in ms, once for each stretch of the answer.
    std::function<void(double gap_ms)> on_gap;

    double done{0};
    double cached{0};
    bool ended{false};
};

/// What a server says about its load.
struct engine_report {
    int running{0};
    int queued{0};
    std::uint64_t start{0};
    bool up{true};
    bool warm{true};
    bool leaving{false};
};

class engine {
public:
    /// Called when a prefix entered the cache (tokens > 0) or left it (0).
    using cache_event = std::function<void(std::uint64_t session, double tokens)>;

    engine(event_loop& loop, const scenario& world, const server_spec& spec);

    /// Takes a job, refuses it at once, or crashes by it.
    void submit(std::shared_ptr<engine_job> job);
    void turn_cold();
    void die(double for_s);
    void start_leaving() { leaving_ = true; }

    engine_report report() const;
    int running() const { return static_cast<int>(running_.size()); }
    bool cold() const { return cold_; }
    bool leaving() const { return leaving_; }
    /// Submissions above what a cold server bears.
    int overloads() const { return overloads_; }
    int crashes() const { return crashes_; }
    const server_spec& spec() const { return spec_; }

    cache_event on_cache_event;

private:
    using job_pointer = std::shared_ptr<engine_job>;

    void start(const job_pointer& job);
    void decode(const job_pointer& job);
    void finish(const job_pointer& job);
    void crash();
    void restart_after(double seconds);
    void keep_in_cache(std::uint64_t session, double tokens);
    double cached_tokens(const engine_job& job) const;
    double slowdown() const;
    void account_work();
    void later(double seconds, const job_pointer& job, void (engine::*next)(const job_pointer&));

    event_loop& loop_;
    const scenario& world_;
    const server_spec spec_;
    const version_spec& version_;
    std::vector<job_pointer> running_;
    std::deque<job_pointer> queue_;
    std::list<std::pair<std::uint64_t, double>> cache_;
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator> cache_index_;
    bool up_{true};
    bool cold_{false};
    bool leaving_{false};
    double worked_s_{0};
    steady_time work_since_;
    std::uint64_t start_id_{1};
    int overloads_{0};
    int crashes_{0};
};

} // namespace agatespar::bench
