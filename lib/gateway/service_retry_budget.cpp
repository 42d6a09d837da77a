// Counts requests and repeats in short stretches that together make up the window.
#include <agatespar/gateway/service_retry_budget.h>

namespace agatespar {

// Stretches that make up a window: the error of the window's length is at most one of them.
static constexpr int stretches_in_window = 40;

repeat_budget::stretch& repeat_budget::current(steady_time now)
{
    const auto length = settings_.window / stretches_in_window;
    if (stretches_.empty() || now - stretches_.back().begin >= length) {
        stretches_.push_back({now, 0, 0});
    }
    return stretches_.back();
}

void repeat_budget::forget_old(steady_time now)
{
    while (!stretches_.empty() && now - stretches_.front().begin > settings_.window) {
        requests_ -= stretches_.front().requests;
        repeats_ -= stretches_.front().repeats;
        stretches_.pop_front();
    }
}

void repeat_budget::count_request(steady_time now)
{
    forget_old(now);
    ++current(now).requests;
    ++requests_;
}

bool repeat_budget::allows(repeat_reason reason, steady_time now)
{
    forget_old(now);
    const double allowed = settings_.share * settings_.kept_part * static_cast<double>(requests_) +
                           settings_.slack / settings_.assumed_vms;
    const double part = reason == repeat_reason::larger_model ? settings_.model_part : 1.0;
    return static_cast<double>(repeats_) + 1 <= allowed * part;
}

void repeat_budget::count_repeat(steady_time now)
{
    forget_old(now);
    ++current(now).repeats;
    ++repeats_;
}

} // namespace agatespar
