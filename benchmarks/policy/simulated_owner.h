// A simulated owner of one backend server: its limit, its ramp-up after a cold start, and the permits in use.
#pragma once

#include "engine.h"

namespace agatespar::bench {

class simulated_owner {
public:
    simulated_owner(int cold_slots, int slots) : cold_slots_(cold_slots), slots_(slots), limit_(slots) {}

    /// @param alone whether the request must be the only one on the server.
    /// @param reserved slots that are reserved for classes with shorter deadlines.
    /// @return whether a permit was granted.
    bool acquire(bool alone, int reserved)
    {
        if (down_ || closed_ || in_use_ >= limit_ - (limit_ == slots_ ? reserved : 0) || (alone && in_use_ > 0))
            return false;
        ++in_use_;
        return true;
    }
    void release(job_end end, double slowdown);
    /// Handles the first token of an answer. A late first token is the earliest sign of a cold server.
    void on_first_token(double slowdown);
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
