// A queueing model of one model engine: slots, prefill and decode times, a prefix cache, cold starts and crashes.
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

/// How an engine ended a job. A broken job was lost when the server went down; a refused job was not accepted.
enum class job_end { complete, refused, broken };

/// One attempt at a request, as submitted to an engine.
struct engine_job {
    double prompt_tokens{0};
    double output_tokens{0};
    std::uint64_t session{0};
    /// Tokens of the prompt that may be in the cache from earlier turns of the session.
    double shared_prefix{0};
    bool kills_server{false};
    /// Called with the ratio of the prefill time to its expected time on a warm server without load.
    std::function<void(double slowdown)> on_first_token;
    std::function<void(job_end end, double tokens_done)> on_end;
    /// Called with the time between tokens, in ms, once for each stretch of the answer.
    std::function<void(double gap_ms)> on_gap;

    double done{0};
    double cached{0};
    bool ended{false};
};

/// A server's load report.
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
    /// Called when a prefix is added to the cache (tokens > 0) or evicted (0).
    using cache_event = std::function<void(std::uint64_t session, double tokens)>;

    engine(event_loop& loop, const scenario& settings, const server_spec& spec);

    /// Starts or queues a job. Refuses it if the server is down or leaving. Crashes if a cold server already runs as
    /// many jobs as it can.
    void submit(std::shared_ptr<engine_job> job);
    void turn_cold();
    void die(double for_s);
    void start_leaving() { leaving_ = true; }

    engine_report report() const;
    int running() const { return static_cast<int>(running_.size()); }
    bool cold() const { return cold_; }
    bool leaving() const { return leaving_; }
    /// @return how many jobs were submitted above the limit of a cold server.
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
    void store_in_cache(std::uint64_t session, double tokens);
    double cached_tokens(const engine_job& job) const;
    double slowdown() const;
    void account_work();
    void schedule_for_job(double seconds, const job_pointer& job, void (engine::*next)(const job_pointer&));

    event_loop& loop_;
    const scenario& scenario_;
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
