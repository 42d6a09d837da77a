// Tests of the request rate limits of client accounts.
#include <agatespar/request/account_limits.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("a client account's request rate is limited")
{
    account_limits limits;
    const client_account_id account{fleet_name{"f"}, client_account_name{"a"}};
    client_account_settings settings;
    steady_time now{1h};

    GIVEN("no rate limit")
    {
        for (int i = 0; i < 1000; ++i) {
            REQUIRE(limits.take(account, settings, now));
        }
    }
    GIVEN("10 requests a second with a burst of 4, over 2 VMs")
    {
        settings.rate = rate_limit{10.0, 4.0};
        limits.set_vms(2);
        CHECK(limits.take(account, settings, now));
        CHECK(limits.take(account, settings, now));
        const auto refused = limits.take(account, settings, now);
        REQUIRE(!refused);
        CHECK(refused.error().ran == run_state::not_run);
        CHECK(refused.error().retry_after == 200ms);

        THEN("10 seconds at full load admit this VM's half of the rate")
        {
            int taken = 0;
            for (int i = 0; i < 1000; ++i) {
                now += 10ms;
                taken += limits.take(account, settings, now) ? 1 : 0;
            }
            CHECK(taken == 50);
        }
    }
}
