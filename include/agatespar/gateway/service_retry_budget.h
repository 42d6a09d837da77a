// Limits the retries of requests over a sliding window.
#pragma once

#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>

namespace agatespar {

/// Why a request is sent again.
enum class retry_reason {
    /// The previous attempt failed or was refused.
    failure,
    /// A larger model should answer, as the smaller model's answer is not good enough.
    larger_model,
};

/// The limit for all VMs together, and the parameters of this VM's share of it.
struct service_retry_settings {
    /// Retries allowed per request of the window.
    double share{0.9};
    /// Additional retries per window, for all VMs together.
    double slack{58};
    std::chrono::milliseconds window{10'000};
    /// Number of VMs that the slack is divided by.
    double assumed_vms{16};
    /// Fraction of the share that is used. The rest is a margin, as the windows of other VMs and of the operators'
    /// check begin at other times.
    double used_fraction{0.9};
    /// Fraction of the allowed retries that larger models may use; the rest is reserved for failures.
    double larger_model_fraction{0.8};
};

/// Counts the requests and retries of one service on this VM. Each VM enforces the limit for its own requests, so that
/// all VMs together stay within it without any communication.
class service_retry_budget {
public:
    explicit service_retry_budget(const service_retry_settings& settings) : settings_(settings) {}

    /// Changes the limit. Requests and retries counted so far are kept.
    void change(const service_retry_settings& settings) { settings_ = settings; }
    /// @param vms number of VMs that the slack is divided by from now on.
    void set_assumed_vms(double vms) { settings_.assumed_vms = vms; }
    void count_request(steady_time now);
    /// @return whether one more retry is within the limit.
    bool allows(retry_reason reason, steady_time now);
    void count_retry(steady_time now);

private:
    /// Requests and retries counted in one interval of the window, which starts at begin.
    struct window_interval {
        steady_time begin;
        std::uint64_t requests{0};
        std::uint64_t retries{0};
    };

    window_interval& current(steady_time now);
    void remove_expired(steady_time now);

    service_retry_settings settings_;
    std::deque<window_interval> intervals_;
    std::uint64_t requests_{0};
    std::uint64_t retries_{0};
};

} // namespace agatespar
