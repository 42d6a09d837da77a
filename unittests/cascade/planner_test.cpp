// Tests of the cheapest mix, the request plans, the quality estimates and the traffic counts.
#include <agatespar/cascade/mix.h>
#include <agatespar/cascade/planner.h>
#include <agatespar/cascade/traffic.h>
#include <agatespar/support/hash.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

static constexpr model_index cheap_model{0};
static constexpr model_index strong_model{1};

SCENARIO("the cheapest mix meets the quality target at the least cost")
{
    std::vector<class_options> classes(2);
    classes[0] = {.traffic = 0.5, .strong_good = 0.98, .options = {}};
    classes[0].options.push({cheap_model, std::nullopt, 0.96, 1});
    classes[0].options.push({strong_model, std::nullopt, 0.98, 9});
    classes[1] = {.traffic = 0.5, .strong_good = 0.96, .options = {}};
    classes[1].options.push({cheap_model, std::nullopt, 0.40, 10});
    classes[1].options.push({cheap_model, strong_model, 0.95, 60});
    classes[1].options.push({strong_model, std::nullopt, 0.96, 90});

    WHEN("the target can be met by a mix")
    {
        const auto mixes = cheapest_mix(classes, 0.95);
        double good = 0;
        double cost = 0;
        for (std::size_t i = 0; i < 2; ++i) {
            const class_mix& mix = mixes[i];
            good += 0.5 * (mix.better.good * mix.better_share + mix.cheaper.good * (1 - mix.better_share));
            cost += 0.5 * (mix.better.cost * mix.better_share + mix.cheaper.cost * (1 - mix.better_share));
        }
        THEN("it is met exactly, and no mix on a grid of shares is cheaper")
        {
            CHECK(good == Approx(0.95 * 0.97));
            for (int a = 0; a <= 100; ++a) {
                for (int b = 0; b <= 100; ++b) {
                    for (int c = 0; b + c <= 100; ++c) {
                        const double good_here =
                            0.5 * (0.96 + 0.02 * a / 100) + 0.5 * (0.96 * b + 0.95 * c + 0.40 * (100 - b - c)) / 100;
                        const double cost_here =
                            0.5 * (1 + 8.0 * a / 100) + 0.5 * (90.0 * b + 60.0 * c + 10.0 * (100 - b - c)) / 100;
                        if (good_here >= 0.95 * 0.97 && cost_here < cost - 1e-9)
                            FAIL("a cheaper mix exists");
                    }
                }
            }
        }
    }
    WHEN("no mix can meet the target")
    {
        const auto mixes = cheapest_mix(classes, 2);
        THEN("each class uses its option of the best quality")
        {
            CHECK(mixes[0].better.good == 0.98);
            CHECK(mixes[0].better_share == 1);
            CHECK(mixes[1].better.good == 0.96);
        }
    }
}

SCENARIO("a plan uses the strong model where a cascade cannot guarantee the quality")
{
    std::mt19937_64 random{5};
    routing_view view;
    view.versions.resize(2);
    view.versions[0].cost_per_1k_tokens = 1;
    view.versions[1].cost_per_1k_tokens = 9;
    view.versions[1].model = strong_model;
    const version_set all{0b11};
    const class_index draft{0};
    std::vector<class_traits> traits{{.can_be_withheld = true, .mean_tokens = 5000, .traffic = 1}};
    answer_counts counts{boot_id{1}, 2, 1};
    quality_estimates quality{2, 1, {.false_good = 0.03, .false_bad = 0.03}};
    cascade_settings settings;
    settings.exploration = 0;
    settings.initial_exploration = 0;
    cascade_planner planner{settings, 1};
    plan_request request{
        .request_class = draft, .session_hash = 1, .left = 600s, .both_steps = 90s, .can_be_withheld = true};

    GIVEN("no ratings yet")
    {
        planner.refresh(view, all, quality, traits);
        THEN("the strong model serves the request")
        {
            CHECK(planner.plan(request, true, random).first == version_set{0b10});
        }
    }
    GIVEN("ratings that show half of the cheap model's answers to be good")
    {
        for (int i = 0; i < 400; ++i) {
            counts.record(version_index{0}, draft, i % 2 == 0);
            counts.record(version_index{1}, draft, i % 20 != 0);
        }
        quality.update(counts);
        planner.refresh(view, all, quality, traits);
        THEN("most sessions are served by a cascade")
        {
            int cascades = 0;
            for (std::uint64_t id = 0; id < 1000; ++id) {
                request.session_hash = stable_hash(std::to_string(id));
                cascades += planner.plan(request, true, random).cascade() ? 1 : 0;
            }
            CHECK(cascades > 850);
        }
        THEN("a deadline too short for a cascade or an unavailable rating service leads to the strong model alone")
        {
            request.session_hash = 0;
            CHECK(planner.plan(request, false, random).first == version_set{0b10});
            request.left = 60s;
            CHECK_FALSE(planner.plan(request, true, random).cascade());
        }
    }
}

SCENARIO("quality estimates are corrected for the rating service's errors")
{
    answer_counts counts{boot_id{1}, 1, 1};
    quality_estimates quality{1, 1, {.false_good = 0.1, .false_bad = 0.1}, 1e9};
    for (int i = 0; i < 10000; ++i)
        counts.record(version_index{0}, class_index{0}, i % 100 < 74);
    quality.update(counts);
    CHECK(quality.truly_good(version_index{0}, class_index{0}) == Approx(0.8).margin(0.002));
    CHECK(cascade_good_probability(0.5, 0.9, {.false_good = 0.1, .false_bad = 0.1}) == Approx(0.45 + 0.5 * 0.9));
}

SCENARIO("traffic counts merge by maximum")
{
    traffic_counts here{boot_id{1}, 1};
    traffic_counts there{boot_id{2}, 1};
    const class_index only{0};
    CHECK(here.mean_tokens(only, 500) == 500);
    here.record(only, 100, 50);
    there.record(only, 300, 150);
    for (int i = 0; i < 3; ++i)
        here.merge(boot_id{2}, there.own_row());
    CHECK(here.total(only).answers == 2);
    CHECK(here.mean_tokens(only, 500) == 300);
    CHECK(here.mean_output_tokens(only, 500) == 100);
}
