// Tests of the settings file: the limits of the VM.
#include <catch2/catch.hpp>
#include <platform/settings.h>

using namespace agatespar;

SCENARIO("the limits of the VM are read, and without them there is none")
{
    const std::string head = R"({"metrics_port": 9464, "fields": {"node_name": "vm-1", "zone": "z", "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"}, "platform": {"address": "127.0.0.1:3"})";
    const auto limited = platform::read_settings(head + R"(, "limits": {"memory_mb": 112, "max_fds": 2870}}})");
    REQUIRE(limited);
    CHECK(limited->gateway.memory_mb == 112);
    CHECK(limited->gateway.max_fds == 2870);
    const auto unlimited = platform::read_settings(head + "}}");
    REQUIRE(unlimited);
    CHECK(unlimited->gateway.memory_mb == 0);
    CHECK(!unlimited->gateway.max_fds);
    CHECK_FALSE(platform::read_settings(head + R"(, "limits": {"memory_mb": "much"}}})"));
}
