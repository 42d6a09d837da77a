// Tests of the JSON formats of the HTTP API.
#include <agatespar/frontend/api_format.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace agatespar;

SCENARIO("each field of a chat request is validated")
{
    GIVEN("a complete request")
    {
        const auto request = parse_chat_request(
            R"({"model":"savjetnik","messages":[{"role":"user","content":"?"}],"max_tokens":7,"stream":true,
                "temperature":0.5,"agatespar":{"class":"lookup","session":"s","deadline_ms":2000}})");
        THEN("all known fields are read and standard fields without a meaning here are ignored")
        {
            REQUIRE(request);
            CHECK(request->target == "savjetnik");
            CHECK(request->streamed);
            CHECK(request->max_output == token_count{7});
            CHECK(request->request_class == "lookup");
            CHECK(request->deadline == std::chrono::milliseconds{2000});
        }
    }
    GIVEN("requests with one invalid field")
    {
        const char* bodies[] = {
            R"([])",
            R"({"messages":[{"role":"user","content":"?"}]})",
            R"({"model":"m","messages":[]})",
            R"({"model":"m","messages":[{"content":"?"}]})",
            R"({"model":"m","messages":[{"role":"user","content":"?"}],"max_tokens":0})",
            R"({"model":"m","messages":[{"role":"user","content":"?"}],"max_tokens":-1})",
            R"({"model":"m","messages":[{"role":"user","content":"?"}],"stream":"yes"})",
            R"({"model":"m","messages":[{"role":"user","content":"?"}],"agatespar":1})",
            R"({"model":"m","messages":[{"role":"user","content":"?"}],"agatespar":{"class":1}})",
        };
        for (const char* body : bodies) {
            CAPTURE(body);
            const auto request = parse_chat_request(body);
            REQUIRE(!request);
            CHECK(request.error().ran == run_state::not_run);
        }
    }
}

SCENARIO("an error is formatted with all its fields")
{
    const error problem{error_code::overloaded, "busy \xff", run_state::not_run, std::chrono::milliseconds{250}};
    const auto shape = nlohmann::json::parse(format_error(problem, request_id{"r"}));
    CHECK(shape["error"]["code"] == "overloaded");
    CHECK(shape["error"]["ran"] == "not_run");
    CHECK(shape["error"]["retry_after_ms"] == 250);
    CHECK(shape["error"]["request_id"] == "r");
}

SCENARIO("a stream ends with the usage and the end mark")
{
    const answer_head head{{{fleet_name{"f"}, model_name{"m"}}, version_name{"1"}}, "token", std::nullopt};
    const std::string events = format_end_events(request_id{"r"}, head, {"stop", token_count{3}, token_count{4}});
    CHECK(events.find("\"total_tokens\":7") != std::string::npos);
    CHECK(events.ends_with("data: [DONE]\n\n"));
}
