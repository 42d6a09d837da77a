// Tests of the description of attempts in a request's log line.
#include <agatespar/gateway/request_report.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

SCENARIO("the log line shows the data behind each attempt, and their age")
{
    attempt_report first;
    first.server = server_name{"i-1"};
    first.version = version_name{"v1"};
    first.model = "m0";
    first.candidates = 17;
    first.load = 3;
    first.slots = 48;
    first.load_age = 120ms;
    first.contact_age = 80ms;
    first.time_left = 2s;
    first.elapsed = 70ms;
    first.outcome = "the server was silent";
    attempt_report second = first;
    second.server = server_name{"i-2"};
    second.model.clear();
    second.contact_age.reset();
    second.outcome = "answered";
    second.first_byte = 20ms;
    second.events = 12;
    CHECK(describe_attempts({first, second}) ==
          "i-1 v1 m0 load 3/48 age 120 heard 80 of 17 left 2000: the server was silent 70 ms; "
          "i-2 v1 load 3/48 age 120 heard never of 17 left 2000: answered 70 ms, first 20 ms, 12 events");

    WHEN("a server answers with a failure")
    {
        second.status = 503;
        second.events = 0;
        THEN("the line names its status")
        {
            CHECK(describe_attempts({second}) ==
                  "i-2 v1 load 3/48 age 120 heard never of 17 left 2000: answered 70 ms, status 503");
        }
    }
}

// Guards against a request that ran and counts as refused: its server's 503 is passed on.
SCENARIO("only the router's own status counts as a refusal")
{
    request_report report;
    report.status = GENERATE(408, 421, 429, 503);
    CHECK(outcome_of(report) == "refused");
    report.is_forwarded = true;
    CHECK(outcome_of(report) == "failed");
}
