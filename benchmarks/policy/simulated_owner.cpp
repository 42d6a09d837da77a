// A simulated owner of one backend server.
#include "simulated_owner.h"

#include <algorithm>

namespace agatespar::bench {

// A slowdown of at least `cold_slowdown` indicates a cold server, one below `warm_slowdown` a warm server.
static constexpr double cold_slowdown = 2;
static constexpr double warm_slowdown = 1.5;

void simulated_owner::turn_cold()
{
    warm_ = false;
    limit_ = std::min(cold_slots_, slots_);
}

void simulated_owner::on_first_token(double slowdown)
{
    if (slowdown >= cold_slowdown)
        turn_cold();
}

void simulated_owner::release(job_end end, double slowdown)
{
    --in_use_;
    if (end != job_end::complete) {
        down_ = true;
        turn_cold();
        return;
    }
    if (slowdown >= cold_slowdown)
        turn_cold();
    else if (slowdown < warm_slowdown && limit_ < slots_)
        warm_ = ++limit_ == slots_;
}

void simulated_owner::on_report(const engine_report& report)
{
    down_ = !report.up;
    closed_ = report.leaving;
    if (report.start == start_)
        return;
    start_ = report.start;
    turn_cold();
}

} // namespace agatespar::bench
