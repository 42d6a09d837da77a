// Tests of the limit on retries, for one VM and summed over many VMs, on a manual clock.
#include <agatespar/gateway/service_retry_budget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a limit that operators change applies at once, and the counts are kept")
{
    manual_clock time;
    service_retry_settings settings;
    settings.slack = 0;
    service_retry_budget budget{settings};
    for (int i = 0; i < 100; ++i) {
        budget.count_request(time.now());
    }
    CHECK(budget.allows(retry_reason::failure, time.now()));
    settings.share = 0;
    budget.change(settings);
    CHECK(!budget.allows(retry_reason::failure, time.now()));
    settings.share = 0.9;
    budget.change(settings);
    CHECK(budget.allows(retry_reason::failure, time.now()));
}

SCENARIO("retries are limited to a share of the requests in the window, and a part is reserved for failures")
{
    manual_clock time;
    service_retry_settings settings;
    settings.slack = 0;
    settings.share = 0.5;
    settings.used_fraction = 1;
    settings.larger_model_fraction = 0.5;
    service_retry_budget budget{settings};
    CHECK(!budget.allows(retry_reason::failure, time.now()));
    for (int i = 0; i < 8; ++i) {
        budget.count_request(time.now());
    }
    int models = 0;
    for (; budget.allows(retry_reason::larger_model, time.now()); ++models) {
        budget.count_retry(time.now());
    }
    CHECK(models == 2);
    int failures = 0;
    for (; budget.allows(retry_reason::failure, time.now()); ++failures) {
        budget.count_retry(time.now());
    }
    CHECK(failures == 2);
    time.advance(9s);
    CHECK(!budget.allows(retry_reason::failure, time.now()));
    time.advance(2s);
    budget.count_request(time.now());
    budget.count_request(time.now());
    CHECK(budget.allows(retry_reason::failure, time.now()));
}

SCENARIO("all requests of a burst get the larger model that they need")
{
    // Failure: seconds of little traffic, then a burst in which most answers of the small model are poor.
    manual_clock time;
    service_retry_budget budget{{}};
    for (int i = 0; i < 90; ++i) {
        budget.count_request(time.now());
        time.advance(100ms);
    }
    int granted = 0;
    for (int i = 0; i < 30; ++i) {
        budget.count_request(time.now());
        if (budget.allows(retry_reason::larger_model, time.now())) {
            budget.count_retry(time.now());
            ++granted;
        }
    }
    CHECK(granted == 30);
}

SCENARIO("VMs that use every retry allowed to them stay within the common limit, in any window")
{
    manual_clock time;
    constexpr std::size_t vms = 12;
    std::vector<service_retry_budget> budgets(vms, service_retry_budget{{}});
    std::deque<std::pair<steady_time, int>> requests;
    std::deque<std::pair<steady_time, int>> retries;
    const auto sum = [&](const auto& events, steady_time from, steady_time to) {
        double total = 0;
        for (const auto& [when, count] : events) {
            total += when > from && when <= to ? count : 0;
        }
        return total;
    };
    for (int step = 0; step < 600; ++step) {
        time.advance(100ms);
        // The traffic varies, stops, and resumes.
        const int rate = step > 250 && step < 300 ? 0 : 1 + step % 7;
        int sent = 0;
        int retried = 0;
        for (service_retry_budget& budget : budgets) {
            for (int i = 0; i < rate; ++i, ++sent) {
                budget.count_request(time.now());
            }
            for (; budget.allows(retry_reason::failure, time.now()); ++retried) {
                budget.count_retry(time.now());
            }
        }
        requests.emplace_back(time.now(), sent);
        retries.emplace_back(time.now(), retried);
        const steady_time now = time.now();
        const double in_window = sum(requests, now - 10s, now);
        const double before = sum(requests, now - 20s, now - 10s);
        const double between = sum(requests, now - 15s, now - 5s);
        const double most = std::max({in_window, before, between});
        REQUIRE(sum(retries, now - 10s, now) <= 0.9 * most + 58);
    }
}

SCENARIO("hundreds of VMs keep the limit on retries while the VM list grows and halves, and their views of it differ")
{
    // Failure: 170 VMs become 300 within three seconds, and half of them stop later. Each VM learns of the changes up
    // to two seconds late, and all send every retry that they may.
    const int seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    manual_clock time;
    constexpr std::size_t max_vms = 300;
    constexpr std::size_t first_vms = 170;
    constexpr auto step = 100ms;
    constexpr int steps = 500;
    constexpr double slack = 58;
    const auto running_at = [](int when) {
        const int grown_by = std::clamp(when - 150, 0, 30);
        const std::size_t grown = first_vms + (max_vms - first_vms) * static_cast<std::size_t>(grown_by) / 30;
        return when < 350 ? grown : grown / 2;
    };
    std::vector<service_retry_budget> budgets(max_vms, service_retry_budget{{}});
    std::vector<int> requests(steps);
    std::vector<int> retries(steps);
    const auto sum = [](const std::vector<int>& events, int from, int to) {
        return std::accumulate(events.begin() + std::max(from, 0), events.begin() + std::max(to, 0), 0.0);
    };
    double max_used = 0;
    for (int now = 0; now < steps; ++now) {
        time.advance(step);
        for (std::size_t vm = 0; vm < running_at(now); ++vm) {
            const int lag = std::uniform_int_distribution<int>{0, 20}(random);
            budgets[vm].set_assumed_vms(std::max(16.0, 1.25 * static_cast<double>(running_at(std::max(now - lag, 0)))));
            // Each VM gets four requests per second.
            if (std::bernoulli_distribution{0.4}(random)) {
                budgets[vm].count_request(time.now());
                ++requests[static_cast<std::size_t>(now)];
            }
            for (; budgets[vm].allows(retry_reason::failure, time.now()); ++retries[static_cast<std::size_t>(now)]) {
                budgets[vm].count_retry(time.now());
            }
        }
        const double in_window = sum(requests, now - 99, now + 1);
        const double most =
            std::max({in_window, sum(requests, now - 199, now - 99), sum(requests, now - 149, now - 49)});
        const double used = sum(retries, now - 99, now + 1);
        REQUIRE(used <= 0.9 * most + slack);
        max_used = std::max(max_used, used / (0.9 * most + slack));
    }
    // The limit must also be used: only a tenth of the share is reserved for differences between windows.
    CHECK(max_used >= 0.8);
}
