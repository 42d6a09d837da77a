// Counts requests and retries in short intervals that together make up the sliding window.
#include <agatespar/gateway/service_retry_budget.h>

namespace agatespar {

// Intervals per window: the effective length of the window is off by one interval at most.
static constexpr int intervals_per_window = 40;

service_retry_budget::window_interval& service_retry_budget::current(steady_time now)
{
    const auto length = settings_.window / intervals_per_window;
    if (intervals_.empty() || now - intervals_.back().begin >= length) {
        intervals_.push_back({now, 0, 0});
    }
    return intervals_.back();
}

void service_retry_budget::remove_expired(steady_time now)
{
    while (!intervals_.empty() && now - intervals_.front().begin > settings_.window) {
        requests_ -= intervals_.front().requests;
        retries_ -= intervals_.front().retries;
        intervals_.pop_front();
    }
}

void service_retry_budget::count_request(steady_time now)
{
    remove_expired(now);
    ++current(now).requests;
    ++requests_;
}

bool service_retry_budget::allows(retry_reason reason, steady_time now)
{
    remove_expired(now);
    const double allowed = settings_.share * settings_.used_fraction * static_cast<double>(requests_) +
                           settings_.slack / settings_.assumed_vms;
    const double part = reason == retry_reason::larger_model ? settings_.larger_model_fraction : 1.0;
    return static_cast<double>(retries_) + 1 <= allowed * part;
}

void service_retry_budget::count_retry(steady_time now)
{
    remove_expired(now);
    ++current(now).retries;
    ++retries_;
}

} // namespace agatespar
