// Tests of the answer counts and of the version guard.
#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/version_guard.h>

#include <catch2/catch.hpp>

#include <random>

using namespace agatespar;

static constexpr version_index incumbent{0};
static constexpr version_index candidate{1};
static constexpr class_index only_class{0};

SCENARIO("answer counts are merged by maximum")
{
    answer_counts here{boot_id{1}, 2, 1};
    answer_counts there{boot_id{2}, 2, 1};
    there.record(candidate, only_class, false);
    const std::vector<answer_tally> old_row{there.own_row().begin(), there.own_row().end()};
    there.record(candidate, only_class, true);

    WHEN("rows arrive twice and out of order")
    {
        here.record(candidate, only_class, true);
        here.merge(boot_id{2}, there.own_row());
        here.merge(boot_id{2}, old_row);
        here.merge(boot_id{2}, there.own_row());
        THEN("each answer is counted once")
        {
            CHECK(here.total(candidate, only_class) == answer_tally{2, 1});
        }
    }
    WHEN("a row of a different size or the VM's own row arrives")
    {
        here.merge(boot_id{2}, std::vector<answer_tally>(7, answer_tally{5, 5}));
        here.merge(boot_id{1}, there.own_row());
        THEN("it is ignored")
        {
            CHECK(here.total(candidate, only_class) == answer_tally{0, 0});
        }
    }
}

/// Records answers until the guard stops the candidate or the candidate has given `max_answers` answers, with nine
/// answers of the incumbent for each. @return the number of the candidate's answers.
static int answers_until_stop(version_guard& guard, answer_counts& counts, double good_share, int max_answers,
                              std::mt19937_64& random)
{
    for (int i = 1; i <= max_answers; ++i) {
        counts.record(candidate, only_class, std::bernoulli_distribution{good_share}(random));
        for (int k = 0; k < 9; ++k)
            counts.record(incumbent, only_class, std::bernoulli_distribution{0.9}(random));
        if (guard.update(counts).stop)
            return i;
    }
    return max_answers;
}

SCENARIO("the guard stops a bad version within a few answers and does not stop a good one")
{
    std::mt19937_64 random{11};
    answer_counts counts{boot_id{1}, 2, 1};
    version_guard guard{{}, candidate, incumbent};
    for (int i = 0; i < 200; ++i)
        counts.record(incumbent, only_class, i % 10 != 0);

    WHEN("the version becomes bad after a long time as good as the incumbent")
    {
        CHECK(answers_until_stop(guard, counts, 0.9, 400, random) == 400);
        const int answers = answers_until_stop(guard, counts, 0.36, 400, random);
        THEN("it is stopped soon and permanently, and the explanation says so")
        {
            CHECK(guard.verdict().stop);
            CHECK(answers < 60);
            for (int i = 0; i < 100; ++i)
                counts.record(candidate, only_class, true);
            CHECK(guard.update(counts).stop);
            const std::string why =
                explain_as_sentence(guard, [](version_index i) { return std::to_string(i.value()); });
            CHECK(why.find("Version 1 gets no new sessions") == 0);
        }
    }
    WHEN("the incumbent has given no answers")
    {
        answer_counts alone{boot_id{1}, 2, 1};
        for (int i = 0; i < 50; ++i)
            alone.record(candidate, only_class, false);
        THEN("the guard does not stop the version")
        {
            CHECK_FALSE(guard.update(alone).stop);
        }
    }
}
