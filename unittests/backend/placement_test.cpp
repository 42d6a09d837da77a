// Tests of placement orders: convergence under reordering, and the weight store's rate.
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

SCENARIO("engines reach the desired state though orders are lost, doubled and reordered")
{
    const bool fences = GENERATE(false, true);
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
    std::vector<std::pair<steady_time, placement_order>> on_the_way;
    steady_time now{1h};
    std::size_t most_first_copies = 0;
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
            observed[order.server].ordered = now;
            observed[order.server].ordered_fence = order.fence;
            const std::uint64_t copies = random() % 3;
            for (std::uint64_t copy = 0; copy < copies; ++copy) {
                on_the_way.emplace_back(now + std::chrono::seconds{random() % 100}, order);
            }
        }
        most_first_copies = std::max(most_first_copies, first_copies);
        std::erase_if(on_the_way, [&](const auto& each) {
            engine& target = engines[each.second.server];
            const bool arrived = each.first <= now;
            if (arrived && (!fences || each.second.fence >= target.newest)) {
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
    INFO("seed " << seed << ", fences " << fences);
    CHECK(most_first_copies <= 1);
    for (const auto& [key, target] : engines) {
        CHECK(target.versions == desired.front().versions);
    }
}

SCENARIO("one engine reads a version from the weight store before its peers get it")
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
    observed[first.front().server].ordered = now;
    observed[first.front().server].ordered_fence = fencing_number{1};

    WHEN("it is still loading")
    {
        THEN("nobody else loads, until the order has failed for so long that it is repeated")
        {
            CHECK(plan_orders(desired, observed, {}, now + 30s).empty());
            CHECK(plan_orders(desired, observed, {}, now + 61s).size() == 1);
        }
    }
    WHEN("it holds the version")
    {
        observed[first.front().server].versions = {version("1")};
        const auto next = plan_orders(desired, observed, {}, now + 20s);
        THEN("some peers load at once, without the store")
        {
            CHECK(next.size() == placement_settings{}.peer_loads);
            CHECK(std::none_of(next.begin(), next.end(), [](const auto& order) { return order.first_copy; }));
        }
    }
    WHEN("a server is not reachable")
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
