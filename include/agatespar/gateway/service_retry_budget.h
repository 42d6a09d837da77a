// Bounds how often requests are sent beyond their first time, over a sliding window.
#pragma once

#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>

namespace agatespar {

/// Why a request is sent once more.
enum class repeat_reason {
    /// Its attempt failed or was refused.
    failure,
    /// A larger model is to answer.
    larger_model,
};

/// The bound that all VMs keep together, and this VM's part of it.
struct repeat_settings {
    /// Repeats for each request of the window.
    double share{0.9};
    /// Repeats on top, of all VMs together.
    double slack{58};
    std::chrono::milliseconds window{10'000};
    /// VMs among which the slack is divided.
    double assumed_vms{16};
    /// Part of the share that is used, as windows of other VMs and of the judge begin at other times.
    double kept_part{0.9};
    /// Part of what is allowed that larger models may use up, so that failures always find some left.
    double model_part{0.8};
};

/// Counts a service's requests and repeats of this VM. Each VM keeps the bound for its own requests, so all together
/// keep it without a word between them.
class repeat_budget {
public:
    explicit repeat_budget(const repeat_settings& settings) : settings_(settings) {}

    /// Keeps another bound from now on; what was counted stays.
    void change(const repeat_settings& settings) { settings_ = settings; }
    /// @param vms among which the slack is divided from now on.
    void divide_among(double vms) { settings_.assumed_vms = vms; }
    void count_request(steady_time now);
    /// @return whether one more repeat stays within the bound.
    bool allows(repeat_reason reason, steady_time now);
    void count_repeat(steady_time now);

private:
    /// Counts of a stretch of time.
    struct stretch {
        steady_time begin;
        std::uint64_t requests{0};
        std::uint64_t repeats{0};
    };

    stretch& current(steady_time now);
    void forget_old(steady_time now);

    repeat_settings settings_;
    std::deque<stretch> stretches_;
    std::uint64_t requests_{0};
    std::uint64_t repeats_{0};
};

} // namespace agatespar
