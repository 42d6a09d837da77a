// Tests the stand-ins through the adapters of the library: their normal behaviour and their simulated faults.
#include "platform/test_server.h"
#include "role.h"

#include <agatespar/platform/gio_http_client.h>
#include <agatespar/platform/http_engine.h>
#include <agatespar/platform/http_log.h>
#include <agatespar/platform/http_plain_service.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace agatespar::standin;
using namespace agatespar::test;
using namespace std::chrono_literals;

namespace {

// A stand-in that runs on the event loop of the test, with an HTTP client for it.
struct standin_fixture {
    glib_event_loop loop;
    gio_http_client owner{loop};
    http_client client{owner.client()};
    std::unique_ptr<role> service;
    http_server server{[this](const std::shared_ptr<exchange>& call) { service->handle(call); }};

    standin_fixture() { REQUIRE(server.listen("127.0.0.1", 0)); }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(server.port()); }
    void crash(std::chrono::milliseconds down)
    {
        server.stop();
        loop.schedule(down, [this] { REQUIRE(server.restart()); });
    }
};

struct attempt_result {
    std::string text;
    std::uint64_t tokens{0};
    std::optional<outcome<engine_finish>> end;

    engine_callbacks callbacks()
    {
        engine_callbacks made;
        made.on_start = [](server_start_id) {};
        made.on_tokens = [this](const engine_tokens& new_tokens) {
            text += new_tokens.text;
            tokens += new_tokens.count.value();
        };
        made.on_end = [this](const engine_finish& finish) { end = finish; };
        made.on_error = [this](const error& reason) { end = tl::make_unexpected(reason); };
        return made;
    }
};

struct engine_fixture : standin_fixture {
    role_settings settings;
    engine_client engine{make_http_engine(client)};
    std::uint64_t last_attempt{0};

    engine_fixture()
    {
        settings.versions = {"m@1"};
        settings.decode_step = 0ms;
        settings.restart_delay = 10ms;
        settings.load_time = 1ms;
        settings.report_lag = 1ms;
        settings.warm_after = 2;
        settings.fences = true;
        service = make_engine_role(loop, settings, [this](std::chrono::milliseconds down) { crash(down); });
    }
    engine_request request(const std::string& content)
    {
        engine_request made;
        made.server_url = url();
        made.attempt = attempt_id{++last_attempt};
        made.request = request_id{"r"};
        made.version = {model_name{"m"}, version_name{"1"}};
        made.messages_json = nlohmann::json::array({{{"role", "user"}, {"content", content}}}).dump();
        return made;
    }
    attempt_result run(const engine_request& wanted)
    {
        attempt_result result;
        engine.start_completion(wanted, result.callbacks());
        run_until([&] { return result.end.has_value(); });
        return result;
    }
    outcome<load_report> poll()
    {
        return wait_for<load_report>([this](const auto& callback) { engine.poll_load(url(), callback); });
    }
};

} // namespace

SCENARIO("an engine's answer is complete and depends only on the prompt and the version")
{
    engine_fixture fixture;
    const attempt_result complete_answer = fixture.run(fixture.request("Which wood?"));
    REQUIRE(complete_answer.end->has_value());
    CHECK(complete_answer.text.starts_with("[m@1 "));
    CHECK(complete_answer.text.ends_with(" Which wood?]"));
    CHECK(fixture.run(fixture.request("Which wood?")).text == complete_answer.text);
    CHECK(fixture.run(fixture.request("Which finish?")).text != complete_answer.text);

    WHEN("streams break and are resumed at their offsets")
    {
        fixture.service->set_faults({{"break_stream_after", 3}});
        std::string text;
        engine_request request = fixture.request("Which wood?");
        attempt_result part = fixture.run(request);
        while (!part.end->has_value()) {
            text += part.text;
            REQUIRE(part.tokens == 3);
            const std::uint64_t next = request.resume_from.value() + part.tokens;
            request = fixture.request("Which wood?");
            request.resume_from = token_offset{next};
            part = fixture.run(request);
        }
        THEN("the parts add up to the complete answer")
        {
            CHECK(text + part.text == complete_answer.text);
            CHECK(part.end->value().usage.completion == complete_answer.end->value().usage.completion);
        }
    }
    WHEN("answers lack their end or have the id of another attempt")
    {
        for (const char* fault : {"no_end", "crossed"}) {
            fixture.service->set_faults({{fault, true}});
            CHECK(!fixture.run(fixture.request("Which wood?")).end->has_value());
            fixture.service->set_faults({{fault, false}});
        }
    }
    WHEN("a version becomes bad")
    {
        fixture.service->set_faults({{"bad", {"m@1"}}});
        CHECK(fixture.run(fixture.request("Which wood?")).text.find("garbled") != std::string::npos);
    }
    WHEN("the server is leaving")
    {
        fixture.service->set_faults({{"leave", true}});
        const auto end = *fixture.run(fixture.request("Which wood?")).end;
        REQUIRE(!end);
        CHECK(end.error().ran == run_state::not_run);
    }
}

SCENARIO("a cold engine crashes under full load and a warm one does not")
{
    engine_fixture fixture;
    const auto first_start = fixture.poll()->start;
    const auto run_concurrently = [&fixture](std::size_t count) {
        std::vector<attempt_result> results(count);
        for (attempt_result& result : results) {
            fixture.engine.start_completion(fixture.request("load"), result.callbacks());
        }
        run_until([&] {
            return std::all_of(results.begin(), results.end(),
                               [](const auto& result) { return result.end.has_value(); });
        });
        return std::count_if(results.begin(), results.end(),
                             [](const auto& result) { return result.end->has_value(); });
    };

    WHEN("a cold engine gets more concurrent requests than it can run")
    {
        CHECK(run_concurrently(fixture.settings.cold_slots + 1) == 0);
        run_until([&] { return fixture.poll().has_value(); });
        THEN("it restarts cold, with another start id")
        {
            run_until([&] { return fixture.poll()->start != first_start; });
            CHECK(!fixture.poll()->warm);
            CHECK(fixture.service->counts().at("crashes") == 1);
        }
    }
    WHEN("it has become warm")
    {
        CHECK(run_concurrently(fixture.settings.warm_after) == fixture.settings.warm_after);
        run_until([&] { return fixture.poll()->warm; });
        THEN("it can use all its slots, until it becomes cold without warning")
        {
            CHECK(run_concurrently(fixture.settings.slots) == fixture.settings.slots);
            fixture.service->set_faults({{"cold", true}});
            CHECK(run_concurrently(fixture.settings.slots) == 0);
        }
    }
    WHEN("a request crashes the server")
    {
        CHECK(!fixture.run(fixture.request("please KILL-SERVER")).end->has_value());
        CHECK(fixture.service->counts().at("crashes") == 1);
        CHECK(fixture.service->counts().at("runs").at("r") == 1);
    }
}

SCENARIO("an engine loads the ordered versions and refuses outdated orders")
{
    engine_fixture fixture;
    const auto order = [&fixture](const char* version, std::uint64_t fence) {
        engine_order wanted;
        wanted.server_url = fixture.url();
        wanted.versions = {{model_name{"m"}, version_name{version}}};
        wanted.fence = fencing_number{fence};
        return wait_for<order_receipt>([&](const auto& callback) { fixture.engine.send_order(wanted, callback); });
    };
    REQUIRE(order("2", 5));
    const auto stale = order("1", 4);
    REQUIRE(!stale);
    CHECK(stale.error().code == error_code::conflict);
    const std::vector<engine_version> wanted{{model_name{"m"}, version_name{"2"}}};
    run_until([&] { return fixture.poll()->versions == wanted; });
    const auto end = *fixture.run(fixture.request("still 1")).end;
    REQUIRE(!end);
    CHECK(end.error().ran == run_state::not_run);
}

SCENARIO("a plain service counts the runs of each key")
{
    standin_fixture standin;
    role_settings settings;
    settings.fences = true;
    standin.service = make_plain_role(standin.loop, settings);
    const plain_service_client service = make_http_plain_service(standin.client);
    plain_call call;
    call.server_url = standin.url();
    call.attempt = attempt_id{1};
    call.method = "book";
    call.key = idempotency_key{"k"};
    const auto run = [&] {
        return wait_for<plain_answer>([&](const auto& callback) { service.call(call, callback); });
    };
    const auto runs = [&] { return standin.service->counts().at("runs").value("k", 0); };

    WHEN("the answer is lost after the run")
    {
        standin.service->set_faults({{"lose_answer", true}});
        const auto answer = run();
        REQUIRE(!answer);
        CHECK(answer.error().ran == run_state::outcome_unknown);
        CHECK(runs() == 1);
    }
    WHEN("it hangs")
    {
        standin.service->set_faults({{"hang", true}});
        call.timeout = 20ms;
        const auto answer = run();
        REQUIRE(!answer);
        CHECK(answer.error().code == error_code::deadline_exceeded);
        CHECK(runs() == 1);
    }
    WHEN("an outdated fencing number arrives after a newer one")
    {
        call.fence = fencing_number{8};
        CHECK(run());
        call.fence = fencing_number{7};
        const auto answer = run();
        REQUIRE(!answer);
        CHECK(answer.error().ran == run_state::not_run);
        CHECK(runs() == 1);
    }
}

SCENARIO("the log loses answers after the append and trims old records")
{
    standin_fixture standin;
    role_settings settings;
    settings.retained_records = 2;
    standin.service = make_log_role(standin.loop, settings);
    const log_service log = make_http_log(standin.client, standin.url());
    const auto append = [&](const std::string& payload) {
        return wait_for<append_receipt>([&](const auto& callback) {
            log.append({stream_name{"s"}, {payload}}, callback);
        });
    };
    const auto read = [&](std::chrono::milliseconds wait) {
        return wait_for<read_batch>([&](const auto& callback) {
            log.read({stream_name{"s"}, log_offset{1}, 10, wait}, callback);
        });
    };

    WHEN("an answer is lost")
    {
        standin.service->set_faults({{"lost_answers", 1.0}});
        const auto receipt = append("a");
        REQUIRE(!receipt);
        CHECK(receipt.error().ran == run_state::outcome_unknown);
        CHECK(read(0ms)->records.size() == 1);
    }
    WHEN("more records are appended than are retained")
    {
        for (const char* payload : {"a", "b", "c"}) {
            REQUIRE(append(payload));
        }
        const auto batch = read(0ms);
        CHECK(batch->first_retained == log_offset{2});
        CHECK(batch->records.at(0).payload == "b");
    }
    WHEN("it is down")
    {
        standin.service->set_faults({{"down", true}});
        CHECK(!append("a"));
        CHECK(!read(0ms));
    }
    WHEN("a reader waits for the first record")
    {
        std::optional<outcome<read_batch>> batch;
        log.read({stream_name{"s"}, log_offset{1}, 10, 10s}, [&](const auto& result) { batch = result; });
        REQUIRE(append("a"));
        run_until([&] { return batch.has_value(); });
        CHECK(batch->value().records.size() == 1);
    }
}
