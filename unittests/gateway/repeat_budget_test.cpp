// Tests of the bound on repeats, for one VM and summed over many, on a manual clock.
#include <agatespar/gateway/repeat_budget.h>

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a bound that operators change holds at once, and what was counted stays")
{
    manual_clock time;
    repeat_settings settings;
    settings.slack = 0;
    repeat_budget budget{settings};
    for (int i = 0; i < 100; ++i) {
        budget.count_request(time.now());
    }
    CHECK(budget.allows(repeat_reason::failure, time.now()));
    settings.share = 0;
    budget.change(settings);
    CHECK(!budget.allows(repeat_reason::failure, time.now()));
    settings.share = 0.9;
    budget.change(settings);
    CHECK(budget.allows(repeat_reason::failure, time.now()));
}

SCENARIO("repeats are a share of the requests of the window, and a part is left for failures")
{
    manual_clock time;
    repeat_settings settings;
    settings.slack = 0;
    settings.share = 0.5;
    settings.kept_part = 1;
    settings.model_part = 0.5;
    repeat_budget budget{settings};
    CHECK(!budget.allows(repeat_reason::failure, time.now()));
    for (int i = 0; i < 8; ++i) {
        budget.count_request(time.now());
    }
    int models = 0;
    for (; budget.allows(repeat_reason::larger_model, time.now()); ++models) {
        budget.count_repeat(time.now());
    }
    CHECK(models == 2);
    int failures = 0;
    for (; budget.allows(repeat_reason::failure, time.now()); ++failures) {
        budget.count_repeat(time.now());
    }
    CHECK(failures == 2);
    time.advance(9s);
    CHECK(!budget.allows(repeat_reason::failure, time.now()));
    time.advance(2s);
    budget.count_request(time.now());
    budget.count_request(time.now());
    CHECK(budget.allows(repeat_reason::failure, time.now()));
}

SCENARIO("a clump of requests that all need a larger model gets it")
{
    // Pattern: quiet seconds, then a clump in which most answers of the small model are poor.
    manual_clock time;
    repeat_budget budget{{}};
    for (int i = 0; i < 90; ++i) {
        budget.count_request(time.now());
        time.advance(100ms);
    }
    int granted = 0;
    for (int i = 0; i < 30; ++i) {
        budget.count_request(time.now());
        if (budget.allows(repeat_reason::larger_model, time.now())) {
            budget.count_repeat(time.now());
            ++granted;
        }
    }
    CHECK(granted == 30);
}

SCENARIO("VMs that ask for every repeat they can stay below the bound together, in any window")
{
    manual_clock time;
    constexpr std::size_t vms = 12;
    std::vector<repeat_budget> budgets(vms, repeat_budget{{}});
    std::deque<std::pair<steady_time, int>> requests;
    std::deque<std::pair<steady_time, int>> repeats;
    const auto sum = [&](const auto& events, steady_time from, steady_time to) {
        double total = 0;
        for (const auto& [when, count] : events) {
            total += when > from && when <= to ? count : 0;
        }
        return total;
    };
    for (int step = 0; step < 600; ++step) {
        time.advance(100ms);
        // Traffic that swings, stops, and comes back.
        const int rate = step > 250 && step < 300 ? 0 : 1 + step % 7;
        int sent = 0;
        int repeated = 0;
        for (repeat_budget& budget : budgets) {
            for (int i = 0; i < rate; ++i, ++sent) {
                budget.count_request(time.now());
            }
            for (; budget.allows(repeat_reason::failure, time.now()); ++repeated) {
                budget.count_repeat(time.now());
            }
        }
        requests.emplace_back(time.now(), sent);
        repeats.emplace_back(time.now(), repeated);
        const steady_time now = time.now();
        const double in_window = sum(requests, now - 10s, now);
        const double before = sum(requests, now - 20s, now - 10s);
        const double between = sum(requests, now - 15s, now - 5s);
        const double most = std::max({in_window, before, between});
        REQUIRE(sum(repeats, now - 10s, now) <= 0.9 * most + 58);
    }
}
