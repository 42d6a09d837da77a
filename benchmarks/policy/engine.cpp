// A queueing model of one model engine.
#include "engine.h"

#include <algorithm>

namespace agatespar::bench {

// A cold server is slower by this factor until it has worked for the scenario's warm-up time.
static constexpr double cold_slowdown = 3;
// Number of sessions whose prefixes fit into the cache.
static constexpr std::size_t cache_sessions = 64;
// An answer is decoded in this many stretches, each at the speed given by the load at its start.
static constexpr double decode_stretches = 8;

static duration seconds(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{s});
}

engine::engine(event_loop& loop, const scenario& settings, const server_spec& spec)
    : loop_(loop), scenario_(settings), spec_(spec), version_(settings.versions[spec.version]),
      work_since_(loop.time().now())
{
}

double engine::slowdown() const
{
    return cold_ ? cold_slowdown : 1;
}

void engine::schedule_for_job(double s, const job_pointer& job, void (engine::*next)(const job_pointer&))
{
    loop_.schedule(seconds(s), [this, job, next] {
        if (!job->ended)
            (this->*next)(job);
    });
}

void engine::account_work()
{
    const steady_time now = loop_.time().now();
    if (!running_.empty())
        worked_s_ += std::chrono::duration<double>(now - work_since_).count();
    work_since_ = now;
    if (cold_ && worked_s_ >= scenario_.cold_warm_after_s)
        cold_ = false;
}

void engine::submit(std::shared_ptr<engine_job> job)
{
    if (!up_ || leaving_) {
        job->ended = true;
        loop_.post([job] { job->on_end(job_end::refused, 0); });
        return;
    }
    account_work();
    if (cold_ && running() >= scenario_.cold_slots) {
        ++overloads_;
        running_.push_back(std::move(job));
        crash();
        return;
    }
    if (running() >= spec_.slots)
        queue_.push_back(std::move(job));
    else
        start(job);
}

void engine::start(const job_pointer& job)
{
    running_.push_back(job);
    job->cached = cached_tokens(*job);
    const double prefill_s = (job->prompt_tokens - job->cached) / version_.prefill_tokens_per_s * slowdown();
    loop_.schedule(seconds(prefill_s), [this, job] {
        if (job->ended)
            return;
        if (job->kills_server) {
            crash();
            return;
        }
        store_in_cache(job->session, job->prompt_tokens);
        job->on_first_token(slowdown());
        decode(job);
    });
}

void engine::decode(const job_pointer& job)
{
    account_work();
    if (job->done >= job->output_tokens) {
        finish(job);
        return;
    }
    const double tokens =
        std::min(std::max(8.0, job->output_tokens / decode_stretches), job->output_tokens - job->done);
    const double busy = std::min(1.0, static_cast<double>(running()) / spec_.slots);
    const double gap_ms = version_.decode_ms_per_token * (1 + version_.decode_slope * busy) * slowdown();
    job->on_gap(gap_ms);
    job->done += tokens;
    schedule_for_job(tokens * gap_ms / 1000, job, &engine::decode);
}

void engine::finish(const job_pointer& job)
{
    job->ended = true;
    running_.erase(std::find(running_.begin(), running_.end(), job));
    store_in_cache(job->session, job->prompt_tokens + job->output_tokens);
    if (!queue_.empty() && running() < spec_.slots) {
        const job_pointer next = queue_.front();
        queue_.pop_front();
        start(next);
    }
    job->on_end(job_end::complete, job->output_tokens);
}

void engine::crash()
{
    ++crashes_;
    restart_after(scenario_.cold_restart_s);
}

void engine::die(double for_s)
{
    if (up_)
        restart_after(for_s);
}

void engine::restart_after(double s)
{
    up_ = false;
    std::vector<job_pointer> lost = std::move(running_);
    running_.clear();
    lost.insert(lost.end(), queue_.begin(), queue_.end());
    queue_.clear();
    turn_cold();
    for (const job_pointer& job : lost) {
        if (!job->ended) {
            job->ended = true;
            loop_.post([job] { job->on_end(job_end::broken, job->done); });
        }
    }
    loop_.schedule(seconds(s), [this] {
        up_ = true;
        ++start_id_;
    });
}

void engine::turn_cold()
{
    cold_ = true;
    worked_s_ = 0;
    work_since_ = loop_.time().now();
    cache_.clear();
    cache_index_.clear();
}

engine_report engine::report() const
{
    return {running(), static_cast<int>(queue_.size()), start_id_, up_, !cold_, leaving_};
}

double engine::cached_tokens(const engine_job& job) const
{
    const auto found = cache_index_.find(job.session);
    return found == cache_index_.end() ? 0 : std::min(found->second->second, job.shared_prefix);
}

void engine::store_in_cache(std::uint64_t session, double tokens)
{
    if (const auto found = cache_index_.find(session); found != cache_index_.end()) {
        cache_.erase(found->second);
        cache_index_.erase(found);
    }
    cache_.emplace_front(session, tokens);
    cache_index_[session] = cache_.begin();
    if (on_cache_event)
        on_cache_event(session, tokens);
    if (cache_.size() <= cache_sessions)
        return;
    const std::uint64_t evicted = cache_.back().first;
    cache_index_.erase(evicted);
    cache_.pop_back();
    if (on_cache_event)
        on_cache_event(evicted, 0);
}

} // namespace agatespar::bench
