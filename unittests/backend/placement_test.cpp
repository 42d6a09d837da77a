// Tests of placement orders: convergence when orders are lost, duplicated or reordered, and the limit on loads from the
// weight store.
#include <agatespar/backend/placement.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace agatespar;
using namespace std::chrono_literals;

static engine_version version(const std::string& name)
{
    return {model_name{"hrast"}, version_name{name}};
}

SCENARIO("engines reach the desired state although orders are lost, duplicated and reordered")
{
    const bool checks_fences = GENERATE(false, true);
    const std::uint64_t seed = GENERATE(range(1, 41));
    std::mt19937_64 random{seed};
    struct engine {
        std::vector<engine_version> versions;
        fencing_number newest;
    };
    std::map<server_key, engine> engines;
    std::map<server_key, observed_placement> observed;
    std::vector<desired_placement> desired;
    for (std::uint64_t index = 1; index <= 6; ++index) {
        engines[server_key{index}] = {};
        observed[server_key{index}] = {};
        desired.push_back({server_key{index}, {version("1")}, "serve", fencing_number{10}});
    }
    std::vector<std::pair<steady_time, placement_order>> orders_in_flight;
    steady_time now{1h};
    std::size_t max_first_copies = 0;
    for (int second = 0; second < 1500; ++second) {
        now += 1s;
        if (second == 150) {
            for (auto& each : desired) {
                each.versions = {version("1"), version("2")};
                each.fence = fencing_number{20};
            }
        }
        std::size_t first_copies = 0;
        for (const placement_order& order : plan_orders(desired, observed, {}, now)) {
            first_copies += order.first_copy ? 1 : 0;
            observed[order.server].last_ordered_at = now;
            observed[order.server].last_order_fence = order.fence;
            const std::uint64_t copies = random() % 3;
            for (std::uint64_t copy = 0; copy < copies; ++copy) {
                orders_in_flight.emplace_back(now + std::chrono::seconds{random() % 100}, order);
            }
        }
        max_first_copies = std::max(max_first_copies, first_copies);
        std::erase_if(orders_in_flight, [&](const auto& each) {
            engine& target = engines[each.second.server];
            const bool arrived = each.first <= now;
            if (arrived && (!checks_fences || each.second.fence >= target.newest)) {
                target.versions = each.second.versions;
                target.newest = each.second.fence;
            }
            return arrived;
        });
        for (auto& [key, target] : engines) {
            observed[key].versions = target.versions;
            observed[key].seen = now;
        }
    }
    INFO("seed " << seed << ", fences " << checks_fences);
    CHECK(max_first_copies <= 1);
    for (const auto& [key, target] : engines) {
        CHECK(target.versions == desired.front().versions);
    }
}

SCENARIO("one engine loads a version from the weight store before its peers load it")
{
    const steady_time now{1h};
    std::vector<desired_placement> desired;
    std::map<server_key, observed_placement> observed;
    for (std::uint64_t index = 1; index <= 10; ++index) {
        desired.push_back({server_key{index}, {version("1")}, "serve", fencing_number{1}});
        observed[server_key{index}] = {};
    }
    const auto first = plan_orders(desired, observed, {}, now);
    REQUIRE(first.size() == 1);
    CHECK(first.front().first_copy);
    observed[first.front().server].last_ordered_at = now;
    observed[first.front().server].last_order_fence = fencing_number{1};

    WHEN("the first engine is still loading the version")
    {
        THEN("no other engine gets an order, and the order is repeated after the repeat interval")
        {
            CHECK(plan_orders(desired, observed, {}, now + 30s).empty());
            CHECK(plan_orders(desired, observed, {}, now + 61s).size() == 1);
        }
    }
    WHEN("the first engine holds the version")
    {
        observed[first.front().server].versions = {version("1")};
        const auto next = plan_orders(desired, observed, {}, now + 20s);
        THEN("peers load up to the peer limit concurrently, without the weight store")
        {
            CHECK(next.size() == placement_settings{}.max_peer_loads);
            CHECK(std::none_of(next.begin(), next.end(), [](const auto& order) { return order.first_copy; }));
        }
    }
    WHEN("a server is unreachable")
    {
        observed.erase(server_key{1});
        THEN("it gets no order")
        {
            const auto orders = plan_orders(desired, observed, {}, now);
            CHECK(std::none_of(orders.begin(), orders.end(),
                               [](const auto& order) { return order.server == server_key{1}; }));
        }
    }
}
