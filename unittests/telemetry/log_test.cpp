// Tests of the JSON log lines.
#include <agatespar/telemetry/log.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("an event is written as one JSON line")
{
    manual_clock time;
    time.set(time.now() + 1500ms);
    std::ostringstream target;
    start_logging({"vm-1", log_severity::info, &time}, target);

    WHEN("an event with fields of all types is logged")
    {
        log_event(
            log_severity::warning, "server_cold",
            {{"server", "a\"b\n\xff"}, {"limit", 2}, {"share", 0.5}, {"warm", false}, {"start", std::uint64_t{7}}});
        THEN("the line keeps their names, types and content")
        {
            const std::string text = target.str();
            REQUIRE(text.find('\n') == text.size() - 1);
            const auto line = nlohmann::json::parse(text);
            CHECK(line["time"].get<std::string>().ends_with(":21.500Z"));
            CHECK(line["severity"] == "warning");
            CHECK(line["source"] == "vm-1");
            CHECK(line["event"] == "server_cold");
            CHECK(line["server"] == "a\"b\n\xef\xbf\xbd");
            CHECK(line["limit"] == 2);
            CHECK(line["share"] == 0.5);
            CHECK(line["warm"] == false);
            CHECK(line["start"] == 7);
        }
    }
    WHEN("an event is below the minimum severity")
    {
        log_event(log_severity::debug, "detail");
        THEN("nothing is written")
        {
            CHECK(target.str().empty());
        }
    }
    WHEN("logging starts again with another target")
    {
        std::ostringstream other;
        start_logging({"vm-1", log_severity::info, &time}, other);
        log_event(log_severity::info, "zone_drained");
        THEN("only the new target gets lines")
        {
            CHECK(target.str().empty());
            CHECK(!other.str().empty());
        }
        start_logging({"vm-1", log_severity::info, &time}, target);
    }
}
