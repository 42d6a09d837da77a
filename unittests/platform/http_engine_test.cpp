// Tests of the engine client: complete answers, and invalid answers that must not be accepted as complete.
#include "test_server.h"

#include <agatespar/platform/gio_http_client.h>
#include <agatespar/platform/http_engine.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

namespace {

// Records what an attempt's callbacks receive.
struct attempt_record {
    std::vector<std::uint64_t> starts;
    std::string text;
    std::vector<engine_finish> ends;
    std::vector<error> errors;

    engine_callbacks callbacks()
    {
        engine_callbacks made;
        made.on_start = [this](server_start_id start) { starts.push_back(start.value()); };
        made.on_tokens = [this](const engine_tokens& tokens) { text += tokens.text; };
        made.on_end = [this](const engine_finish& finish) { ends.push_back(finish); };
        made.on_error = [this](const error& reason) { errors.push_back(reason); };
        return made;
    }
    std::size_t outcomes() const { return ends.size() + errors.size(); }
};

} // namespace

static const std::string start_event = "data: {\"type\":\"start\",\"attempt\":7,\"start\":99}\n\n";
static const std::string first_event =
    "data: {\"type\":\"tokens\",\"attempt\":7,\"offset\":0,\"count\":2,\"text\":\"Hello \"}\n\n";
static const std::string second_event =
    "data: {\"type\":\"tokens\",\"attempt\":7,\"offset\":2,\"count\":1,\"text\":\"oak\"}\n\n";
static const std::string end_event =
    "data: {\"type\":\"end\",\"attempt\":7,\"finish_reason\":\"stop\",\"usage\":{\"prompt_tokens\":4,"
    "\"cached_tokens\":1,\"completion_tokens\":3}}\n\n";

static engine_request make_request(const std::string& url)
{
    engine_request request;
    request.server_url = url;
    request.attempt = attempt_id{7};
    request.request = request_id{"r"};
    request.version = {model_name{"m"}, version_name{"1"}};
    request.messages_json = R"([{"role":"user","content":"Hi"}])";
    return request;
}

// Returns a client whose streams consist of a fixed body, in chunks of `chunk_size` bytes, and a successful end.
static http_client make_fixed_client(int status, const std::string& body, std::size_t chunk_size,
                                     std::vector<http_header> headers = {})
{
    http_client client;
    client.stream = [=](const http_request&, const http_stream_callbacks& callbacks) -> cancel_handle {
        callbacks.on_head({status, headers});
        for (std::size_t at = 0; at < body.size(); at += chunk_size) {
            callbacks.on_bytes(std::string_view{body}.substr(at, chunk_size));
        }
        callbacks.on_end({});
        return [] {};
    };
    return client;
}

static attempt_record run(const std::string& body, std::size_t chunk_size = 4096)
{
    http_engine_settings settings;
    settings.max_event_bytes = 1000;
    attempt_record record;
    const engine_client engine = make_http_engine(make_fixed_client(200, body, chunk_size), settings);
    engine.start_completion(make_request("http://engine"), record.callbacks());
    return record;
}

SCENARIO("a complete answer is parsed from chunks of any size")
{
    for (const std::size_t chunk_size : {1, 7, 4096}) {
        const attempt_record record =
            run(": comment\r\n\r\n" + start_event + first_event + second_event + end_event, chunk_size);
        CHECK(record.starts == std::vector<std::uint64_t>{99});
        CHECK(record.text == "Hello oak");
        REQUIRE(record.ends.size() == 1);
        CHECK(record.ends[0].reason == "stop");
        CHECK(record.ends[0].usage.prompt == token_count{4});
        CHECK(record.ends[0].usage.cached == token_count{1});
        CHECK(record.ends[0].usage.completion == token_count{3});
        CHECK(record.errors.empty());
    }
}

SCENARIO("an incomplete answer or one that belongs to another attempt is reported as an error exactly once")
{
    const std::string other_attempt = "data: {\"type\":\"tokens\",\"attempt\":8,\"offset\":0,\"text\":\"x\"}\n\n";
    const std::string no_attempt = "data: {\"type\":\"tokens\",\"offset\":0,\"text\":\"x\"}\n\n";
    const std::string zero_tokens_end =
        "data: {\"type\":\"end\",\"attempt\":7,\"usage\":{\"completion_tokens\":0}}\n\n";
    const std::vector<std::pair<std::string, error_code>> invalid_answers{
        {start_event + first_event, error_code::unavailable},
        {"", error_code::unavailable},
        {start_event + other_attempt + end_event, error_code::malformed},
        {no_attempt + end_event, error_code::malformed},
        {start_event + second_event + end_event, error_code::malformed},
        {first_event + first_event + end_event, error_code::malformed},
        {first_event + zero_tokens_end, error_code::malformed},
        {start_event + "data: {\"type\":\n\n" + end_event, error_code::malformed},
        {"data: 7\n\n" + end_event, error_code::malformed},
        {"data: " + std::string(900, '[') + "\n\n", error_code::malformed},
        {"data: " + std::string(2000, ' ') + "\n\n" + end_event, error_code::too_large},
        {std::string(100'000, 'x'), error_code::too_large},
        {"data: {\"type\":\"error\",\"attempt\":7,\"message\":\"out of memory\"}\n\n" + end_event,
         error_code::unavailable},
    };
    for (const auto& [body, code] : invalid_answers) {
        CAPTURE(body.substr(0, 200));
        const attempt_record record = run(body);
        CHECK(record.ends.empty());
        REQUIRE(record.errors.size() == 1);
        CHECK(record.errors[0].code == code);
        CHECK(record.errors[0].ran == run_state::outcome_unknown);
    }
}

SCENARIO("a refusal is reported with its message, run state and retry delay")
{
    attempt_record record;
    const http_client client =
        make_fixed_client(503, R"({"message":"leaving","ran":"not_run"})", 5, {{"Retry-After", "2"}});
    make_http_engine(client).start_completion(make_request("http://engine"), record.callbacks());
    REQUIRE(record.errors.size() == 1);
    CHECK(record.errors[0].code == error_code::unavailable);
    CHECK(record.errors[0].message == "leaving");
    CHECK(record.errors[0].ran == run_state::not_run);
    CHECK(record.errors[0].retry_after == std::optional<std::chrono::milliseconds>{2s});
}

SCENARIO("a resumed answer starts at its offset")
{
    attempt_record record;
    const http_client client = make_fixed_client(200, second_event + end_event, 4096);
    engine_request request = make_request("http://engine");
    request.resume_from = token_offset{2};
    make_http_engine(client).start_completion(request, record.callbacks());
    CHECK(record.text == "oak");
    CHECK(record.ends.size() == 1);
}

// Guards against the events of an answer that is not the engine's.
SCENARIO("no event is taken from a stream whose head or chunks are malformed")
{
    glib_event_loop loop;
    gio_http_client owner{loop};
    const engine_client engine = make_http_engine(owner.client());
    const std::string events = start_event + first_event + second_event + end_event;
    const std::string sized = "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
    const std::string bytes =
        GENERATE_COPY("HTTP/1.1 000 OK\r\n" + sized, "HTTP/1.1 200 OK\r\nX One: 1\r\n" + sized,
                      "HTTP/1.1 200 OK\r\nX-\x01One: 1\r\n" + sized, "HTTP/1.1 200 OK\r\nX-One\r\n" + sized,
                      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + sized,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n" + events);
    CAPTURE(bytes);
    raw_server server{bytes, raw_server::after_answer::close};
    attempt_record record;
    engine.start_completion(make_request(server.url()), record.callbacks());
    run_until([&] { return record.outcomes() != 0; });
    CHECK(record.text.empty());
    CHECK(record.ends.empty());
    REQUIRE(record.errors.size() == 1);
    CHECK(record.errors[0].ran == run_state::outcome_unknown);
}

SCENARIO("a request is sent to an engine with all of its fields")
{
    glib_event_loop loop;
    gio_http_client owner{loop};
    const engine_client engine = make_http_engine(owner.client());
    answering_server server{[](const received_request&) {
        return planned_answer{200, {}, first_event + second_event + end_event, "text/event-stream"};
    }};
    engine_request request = make_request(server.url());
    request.session = "s";
    request.priority = 3;
    request.fence = fencing_number{12};
    request.traceparent = "00-a-b-01";
    attempt_record record;

    WHEN("the conversation is valid JSON")
    {
        engine.start_completion(request, record.callbacks());
        run_until([&] { return record.outcomes() != 0; });
        CHECK(record.ends.size() == 1);
        const auto body = nlohmann::json::parse(server.requests.at(0).body);
        CHECK(server.requests[0].path == "/v1/completions");
        CHECK(server.requests[0].header("traceparent") == "00-a-b-01");
        CHECK(body.at("attempt") == 7);
        CHECK(body.at("messages").at(0).at("content") == "Hi");
        CHECK(body.at("model") == "m");
        CHECK(body.at("version") == "1");
        CHECK(body.at("session") == "s");
        CHECK(body.at("priority") == 3);
        CHECK(body.at("fence") == 12);
    }
    WHEN("the conversation tries to add fields")
    {
        request.messages_json = R"([],"version":"2")";
        engine.start_completion(request, record.callbacks());
        run_until([&] { return record.outcomes() != 0; });
        const auto body = nlohmann::json::parse(server.requests.at(0).body);
        CHECK(body.at("messages").is_null());
        CHECK(body.at("version") == "1");
    }
    WHEN("the caller cancels at the first tokens")
    {
        cancel_handle cancel;
        engine_callbacks callbacks = record.callbacks();
        callbacks.on_tokens = [&](const engine_tokens& tokens) {
            record.text += tokens.text;
            cancel();
        };
        cancel = engine.start_completion(request, callbacks);
        run_until([&] { return !record.text.empty(); });
        bool later = false;
        loop.schedule(30ms, [&] { later = true; });
        run_until([&] { return later; });
        CHECK(record.text == "Hello ");
        CHECK(record.outcomes() == 0);
    }
}

SCENARIO("an engine's load is polled and orders are sent to it")
{
    glib_event_loop loop;
    gio_http_client owner{loop};
    const engine_client engine = make_http_engine(owner.client());
    planned_answer answer;
    answering_server server{[&](const received_request&) { return answer; }};
    const auto poll = [&] {
        return wait_for<load_report>([&](const auto& callback) { engine.poll_load(server.url(), callback); });
    };

    WHEN("the load report is complete")
    {
        answer.body = R"({"start":5,"age_ms":40,"running":1,"queued":2,"slots":8,"warm":true,"leaving":true,
                          "versions":[{"model":"m","version":"1"}],"cached_prefixes":[1,"x",2]})";
        const auto report = poll();
        REQUIRE(report);
        CHECK(report->start == server_start_id{5});
        CHECK(report->age == 40ms);
        CHECK(report->running == 1);
        CHECK(report->queued == 2);
        CHECK(report->slots == 8);
        CHECK(report->warm);
        CHECK(report->leaving);
        CHECK(report->versions == std::vector<engine_version>{{model_name{"m"}, version_name{"1"}}});
        CHECK(report->cached_prefixes == std::vector<std::uint64_t>{1, 2});
    }
    WHEN("the load report is malformed")
    {
        for (const char* body : {"", "[]", "{}", R"({"start":"5"})", R"({"start":-1})"}) {
            answer.body = body;
            const auto report = poll();
            REQUIRE(!report);
            CHECK(report.error().code == error_code::malformed);
        }
    }
    WHEN("an order is refused because the engine has received a larger fencing number")
    {
        answer.status = 409;
        engine_order order;
        order.server_url = server.url();
        order.versions = {{model_name{"m"}, version_name{"1"}}};
        order.fence = fencing_number{4};
        const auto receipt = wait_for<order_receipt>([&](const auto& callback) { engine.send_order(order, callback); });
        REQUIRE(!receipt);
        CHECK(receipt.error().code == error_code::conflict);
        const auto body = nlohmann::json::parse(server.requests.at(0).body);
        CHECK(body.at("versions").at(0).at("model") == "m");
        CHECK(body.at("fence") == 4);
    }
}
