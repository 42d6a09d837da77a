// Tests of the memory budget: what fits, who gives way, and that nothing stays reserved.
#include <agatespar/support/memory_budget.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace agatespar;
using namespace std::chrono_literals;

static constexpr std::size_t mb = std::size_t{1024} * 1024;

TEST_CASE("many large bodies leave room for small requests", "[memory]")
{
    const auto budget = std::make_shared<memory_budget>();
    budget->set_limit(40 * mb);
    {
        std::vector<memory_reservation> bodies;
        for (int count = 0; count < 8; ++count) {
            bodies.emplace_back(budget, memory_holder::request_body);
            CHECK(bodies.back().try_resize(4 * mb) == (count < 7));
        }
        CHECK(budget->failures() == 1);
        CHECK(budget->held_by(memory_holder::request_body) == 28 * mb);

        SECTION("small reservations use the rest")
        {
            memory_reservation small{budget, memory_holder::input};
            CHECK(small.try_resize(small_reservation_bytes));
            CHECK_FALSE(small.try_resize(3 * mb));
            CHECK(small.bytes() == small_reservation_bytes);
        }
        SECTION("a released body makes room for the next one, and a moved one is counted once")
        {
            bodies.front() = std::move(bodies.back());
            CHECK(budget->held_by(memory_holder::request_body) == 24 * mb);
            memory_reservation next{budget, memory_holder::answer};
            CHECK(next.try_resize(4 * mb));
            next.move_to(memory_holder::client_output);
            CHECK(budget->held_by(memory_holder::answer) == 0);
            CHECK(budget->held_by(memory_holder::client_output) == 4 * mb);
        }
        SECTION("an answer that must be kept is counted beyond the limit")
        {
            memory_reservation kept{budget, memory_holder::answer};
            kept.resize(60 * mb);
            CHECK(budget->state().reserved == 88 * mb);
            CHECK(fits_if_kept({30 * mb, 35 * mb, 0}, 5 * mb));
            CHECK_FALSE(fits_if_kept({30 * mb, 35 * mb, 0}, 6 * mb));
            CHECK_FALSE(memory_reservation{budget, memory_holder::input}.try_resize(1));
        }
    }
    CHECK(budget->state().reserved == 0);
    CHECK(budget->state().reserved_large == 0);
}

TEST_CASE("the smallest VM has room for a body of the largest size and its answer", "[memory]")
{
    const double large_bytes = static_cast<double>(budget_bytes(112)) * large_share;
    CHECK(large_bytes >= static_cast<double>(4 * mb + 8 * mb));
    CHECK(budget_bytes(112) < 64 * mb);
    CHECK(budget_bytes(20) < 11 * mb);
    CHECK(fits({budget_bytes(0), 0, 0}, 0, 1000 * mb));
}

TEST_CASE("a buffer grows in steps", "[memory]")
{
    const auto budget = std::make_shared<memory_budget>();
    budget->set_limit(8 * mb);
    budgeted_string body{budget, memory_holder::request_body};

    SECTION("a client that announces a large body and sends little of it holds little")
    {
        body.expect(4 * mb);
        REQUIRE(body.try_reserve(1000));
        body.append(std::string(1000, 'b'));
        CHECK(body.reserved() == 1000);
    }
    SECTION("a body of known size does not exceed it")
    {
        body.expect(4 * mb);
        for (std::size_t sent = 0; sent < 4 * mb; sent += 16 * 1024) {
            REQUIRE(body.try_reserve(16 * 1024));
            body.append(std::string(16 * 1024, 'b'));
        }
        CHECK(body.reserved() == 4 * mb);
        CHECK(body.bytes().capacity() == 4 * mb);
    }
    SECTION("a body that does not fit stays as it is, unless it must be kept")
    {
        CHECK_FALSE(body.can_reserve(9 * mb));
        CHECK_FALSE(body.try_reserve(9 * mb));
        CHECK(body.reserved() == 0);
        body.append(std::string(9 * mb, 'b'));
        CHECK(body.reserved() == 9 * mb);
    }
    SECTION("a shared body is reserved until its last attempt has dropped it")
    {
        body.append("body");
        auto first = share(std::move(body));
        const auto second = first;
        first.reset();
        CHECK(*second == "body");
        CHECK(budget->state().reserved == 4);
    }
}

TEST_CASE("stalled requests of the client that holds most give way", "[memory]")
{
    const steady_time now{100s};
    std::vector<memory_candidate> requests{{1, 5 * mb, now - 9s, now - 2s},
                                           {2, 3 * mb, now - 5s, now - 2s},
                                           {2, 3 * mb, now - 6s, now - 2s},
                                           {3, 9 * mb, now - 9s, now - 999ms}};
    CHECK(choose_stalled(requests, now) == 2);
    requests[2].bytes = 0;
    CHECK(choose_stalled(requests, now) == 0);
    CHECK(choose_stalled(requests, now - 1500ms) == std::nullopt);
}

TEST_CASE("clients that read nothing give way, the one that holds most first", "[memory]")
{
    const steady_time now{100s};
    const std::vector<memory_candidate> clients{
        {1, 2 * mb, now, now - 10s}, {1, 8 * mb, now, now - 9s}, {1, 3 * mb, now, now - 11s}, {1, 0, now, now - 60s}};
    CHECK(choose_unread(clients, now, max_unread_time) == 2);
    CHECK(choose_unread(clients, now, 0s) == 1);
    CHECK(choose_unread(clients, now - 5s, max_unread_time) == std::nullopt);
}

TEST_CASE("pressure is reported once when it begins and once when it ends", "[memory]")
{
    pressure_state state;
    const steady_time now{100s};
    CHECK_FALSE(update_pressure(state, 0, now));
    CHECK(update_pressure(state, 3, now));
    CHECK_FALSE(update_pressure(state, 4, now + 4s));
    CHECK_FALSE(update_pressure(state, 4, now + 8s));
    CHECK(update_pressure(state, 4, now + 9s));
    CHECK_FALSE(state.active);
}
