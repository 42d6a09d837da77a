// Tests of trace contexts, the span recorder and the export of spans.
#include <agatespar/telemetry/trace.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

static const std::string valid_header = "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01";

SCENARIO("a trace context is parsed from a header and written to one")
{
    WHEN("the header is well-formed")
    {
        const auto context = parse_traceparent(valid_header);
        REQUIRE(context);
        CHECK(context->trace == trace_id{0x0af7651916cd43dd, 0x8448eb211c80319c});
        CHECK(context->span == span_id{0x00f067aa0ba902b7});
        CHECK(context->sampled);
        CHECK(format_traceparent(*context) == valid_header);
    }
    WHEN("a later version adds fields")
    {
        CHECK(parse_traceparent("01" + valid_header.substr(2) + "-more"));
    }
    WHEN("the header is malformed")
    {
        for (std::size_t length = 0; length < valid_header.size(); ++length) {
            CHECK(!parse_traceparent(valid_header.substr(0, length)));
        }
        CHECK(!parse_traceparent(valid_header + "-more"));
        CHECK(!parse_traceparent("01" + valid_header.substr(2) + "more"));
        CHECK(!parse_traceparent("ff" + valid_header.substr(2)));
        CHECK(!parse_traceparent("00-0AF7651916CD43DD8448EB211C80319C-00f067aa0ba902b7-01"));
        CHECK(!parse_traceparent("00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
        CHECK(!parse_traceparent("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"));
        CHECK(!parse_traceparent("00-0af7651916cd43dd8448eb211c80319c-+0f067aa0ba902b7-01"));
        CHECK(!parse_traceparent(std::string(100'000, '0')));
        CHECK(!parse_traceparent(std::string(55, '\0')));
    }
}

SCENARIO("the number of recorded spans is bounded")
{
    span_recorder recorder{{2, 1.0}, 1};
    const trace_context root = recorder.start_trace();
    const trace_context child = recorder.start_child(root);
    CHECK(child.trace == root.trace);
    CHECK(child.span != root.span);
    CHECK(child.sampled);

    WHEN("more spans end than are kept")
    {
        for (const char* name : {"a", "b", "c"}) {
            span finished;
            finished.context = child;
            finished.name = name;
            recorder.record(finished);
        }
        THEN("the oldest is dropped and counted")
        {
            const auto spans = recorder.take();
            REQUIRE(spans.size() == 2);
            CHECK(spans[0].name == "b");
            CHECK(recorder.dropped() == 1);
            CHECK(recorder.take().empty());
        }
    }
    WHEN("the caller's trace is not sampled")
    {
        span finished;
        finished.context = recorder.start_child({root.trace, root.span, false});
        recorder.record(finished);
        CHECK(recorder.take().empty());
    }
}

SCENARIO("the fraction of sampled traces matches the setting")
{
    span_recorder recorder{{10, 0.25}, 7};
    int sampled = 0;
    for (int trace = 0; trace < 4000; ++trace) {
        sampled += recorder.start_trace().sampled ? 1 : 0;
    }
    // About five standard deviations around the expected number, 1000.
    CHECK(sampled > 860);
    CHECK(sampled < 1140);
}

SCENARIO("spans are exported as OTLP/JSON")
{
    span_recorder recorder{{10, 1.0}, 1};
    span finished;
    finished.context = {{1, 2}, span_id{3}, true};
    finished.parent = span_id{4};
    finished.name = "attempt";
    finished.kind = span_kind::client;
    finished.start = wall_time{1s};
    finished.end = wall_time{2s};
    finished.attributes = {{"server", "bad \xff utf-8"}};
    finished.error = "refused";
    recorder.record(finished);
    std::vector<std::string> batches;
    const span_sink sink = [&](std::string json) { batches.push_back(std::move(json)); };
    export_spans(recorder, "agatespard", "vm-1", sink);
    export_spans(recorder, "agatespard", "vm-1", sink);

    THEN("an empty batch is not sent, and a batch with a span has the structure that OTLP/JSON specifies")
    {
        REQUIRE(batches.size() == 1);
        const auto resource = nlohmann::json::parse(batches[0]).at("resourceSpans").at(0);
        CHECK(resource.at("resource").at("attributes").at(0).at("value").at("stringValue") == "agatespard");
        CHECK(resource.at("resource").at("attributes").at(1).at("key") == "service.instance.id");
        const auto document = resource.at("scopeSpans").at(0).at("spans").at(0);
        CHECK(document.at("traceId") == "00000000000000010000000000000002");
        CHECK(document.at("spanId") == "0000000000000003");
        CHECK(document.at("parentSpanId") == "0000000000000004");
        CHECK(document.at("kind") == 3);
        CHECK(document.at("startTimeUnixNano") == "1000000000");
        CHECK(document.at("endTimeUnixNano") == "2000000000");
        CHECK(document.at("attributes").at(0).at("key") == "server");
        CHECK(document.at("status").at("code") == 2);
    }
}
