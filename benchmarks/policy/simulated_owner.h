// A simulated owner of one backend server: its limit, its ramp-up after a cold start, and the permits in use.
#pragma once

#include "engine.h"

namespace agatespar::bench {

/// Grants permits for one backend server. A permit allows one request to run on the server.
class simulated_owner {
public:
    /// @param cold_slots maximum number of permits in use while the server is cold.
    /// @param slots maximum number of permits in use while the server is warm.
    simulated_owner(int cold_slots, int slots) : cold_slots_(cold_slots), slots_(slots), limit_(slots) {}

    /// @param alone whether the request must be the only one on the server.
    /// @param reserved slots that are reserved for classes with shorter deadlines. None are reserved while the limit is
    ///     below the server's number of slots.
    /// @return whether a permit was granted.
    bool acquire(bool alone, int reserved)
    {
        if (down_ || closed_ || in_use_ >= limit_ - (limit_ == slots_ ? reserved : 0) || (alone && in_use_ > 0))
            return false;
        ++in_use_;
        return true;
    }
    /// Returns a permit and adapts the limit: a slow or failed request reduces it to `cold_slots`, a fast one raises it
    /// by one. After a failed request, no permit is granted until a report shows that the server is up.
    /// @param slowdown ratio of the prefill time to its expected time on a warm server without load.
    void release(job_end end, double slowdown);
    /// Handles the first token of an answer. A late first token is the earliest sign of a cold server.
    /// @param slowdown as for release().
    void on_first_token(double slowdown);
    /// Handles a load report. After a restart of the server, the limit is `cold_slots`.
    void on_report(const engine_report& report);

    int limit() const { return down_ || closed_ ? 0 : limit_; }
    int free_slots() const { return limit() > in_use_ ? limit() - in_use_ : 0; }
    bool healthy() const { return !down_; }

private:
    void turn_cold();

    int cold_slots_;
    int slots_;
    int limit_;
    int in_use_{0};
    bool warm_{true};
    bool down_{false};
    bool closed_{false};
    std::uint64_t start_{1};
};

} // namespace agatespar::bench
