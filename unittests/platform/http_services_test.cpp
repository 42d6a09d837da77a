// Tests of the HTTP clients of the log, plain services, the VM list, the rating service and the weight store.
#include "test_server.h"

#include <agatespar/platform/gio_http_client.h>
#include <agatespar/platform/http_engine.h>
#include <agatespar/platform/http_log.h>
#include <agatespar/platform/http_plain_service.h>
#include <agatespar/platform/http_rating_service.h>
#include <agatespar/platform/http_vm_list.h>
#include <agatespar/platform/http_weight_store.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

namespace {

// A server that gives one planned answer, and a client to call it.
struct http_fixture {
    glib_event_loop loop;
    gio_http_client owner{loop};
    http_client client{owner.client()};
    planned_answer answer;
    answering_server server{[this](const received_request&) { return answer; }};
};

} // namespace

SCENARIO("the log is read and written over HTTP")
{
    http_fixture at;
    const log_service log = make_http_log(at.client, at.server.url());
    const auto append = [&] {
        return wait_for<append_receipt>([&](const auto& callback) {
            log.append({stream_name{"a/b"}, {std::string{"\x00\xff", 2}, ""}}, callback);
        });
    };
    const auto read = [&](std::uint64_t from) {
        return wait_for<read_batch>([&](const auto& callback) {
            log.read({stream_name{"a/b"}, log_offset{from}, 10, 50ms}, callback);
        });
    };

    WHEN("the log gives valid answers")
    {
        at.answer.body = R"({"first":7})";
        const auto receipt = append();
        REQUIRE(receipt);
        CHECK(receipt->first == log_offset{7});
        CHECK(at.server.requests.at(0).path == "/v1/streams/a/b/records");
        CHECK(at.server.requests[0].body == R"({"payloads":["AP8=",""]})");

        at.answer.body = R"({"first_retained":3,"next":5,"records":[{"offset":3,"payload":"AP8="},
                             {"offset":4,"payload":""}]})";
        const auto batch = read(1);
        REQUIRE(batch);
        CHECK(batch->first_retained == log_offset{3});
        CHECK(batch->next == log_offset{5});
        REQUIRE(batch->records.size() == 2);
        CHECK(batch->records[0].payload == std::string{"\x00\xff", 2});
        CHECK(at.server.requests.at(1).query == "from=1&limit=10&wait_ms=50");
    }
    WHEN("the log gives invalid answers")
    {
        for (const char* body : {"", "{}", R"({"first":0})", R"({"first":"7"})"}) {
            at.answer.body = body;
            const auto receipt = append();
            REQUIRE(!receipt);
            CHECK(receipt.error().ran == run_state::outcome_unknown);
        }
        for (const char* body : {"{}", R"({"first_retained":5,"next":4})",
                                 R"({"first_retained":1,"next":9,"records":[{"offset":2,"payload":""}]})",
                                 R"({"first_retained":1,"next":9,"records":[{"offset":1},{"offset":3}]})",
                                 R"({"first_retained":1,"next":2,"records":[{"offset":1},{"offset":2}]})",
                                 R"({"first_retained":1,"next":2,"records":[7]})"}) {
            at.answer.body = body;
            const auto batch = read(1);
            REQUIRE(!batch);
            CHECK(batch.error().code == error_code::malformed);
        }
    }
    WHEN("the log is down")
    {
        at.answer.status = 503;
        const auto receipt = append();
        REQUIRE(!receipt);
        CHECK(receipt.error().code == error_code::unavailable);
    }
}

SCENARIO("a stream name is escaped and cannot change the path of the URL")
{
    http_fixture at;
    raw_server server{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", raw_server::after_answer::close};
    const log_service log = make_http_log(at.client, server.url());
    wait_for<read_batch>([&](const auto& callback) {
        log.read({stream_name{"../a/b?from=9&c"}, log_offset{1}, 10, 0ms}, callback);
    });
    CHECK(server.received.starts_with(
        "GET /v1/streams/..%2Fa%2Fb%3Ffrom%3D9%26c/records?from=1&limit=10&wait_ms=0 HTTP/1.1\r\n"));
}

SCENARIO("a plain service is called, and only a matching answer is accepted")
{
    http_fixture at;
    const plain_service_client service = make_http_plain_service(at.client);
    plain_call call;
    call.server_url = at.server.url();
    call.attempt = attempt_id{5};
    call.method = "book order";
    call.body = R"({"item":1})";
    call.key = idempotency_key{"k"};
    call.fence = fencing_number{9};
    const auto answer = [&] {
        return wait_for<plain_answer>([&](const auto& callback) { service.call(call, callback); });
    };

    WHEN("the service answers this attempt")
    {
        at.answer.headers = {{"X-Attempt-Id", "5"}};
        at.answer.body = R"({"done":true})";
        const auto result = answer();
        REQUIRE(result);
        CHECK(result->body == R"({"done":true})");
        const received_request& request = at.server.requests.at(0);
        CHECK(request.path == "/v1/methods/book order");
        CHECK(request.header("Idempotency-Key") == "k");
        CHECK(request.header("X-Fencing-Number") == "9");
        CHECK(request.body == R"({"item":1})");
    }
    WHEN("the answer belongs to another attempt or to none, even a refusal")
    {
        at.answer.body = R"({"ran":"not_run"})";
        for (const int status : {200, 503}) {
            at.answer.status = status;
            for (const char* attempt : {"6", "", "05"}) {
                at.answer.headers = {{"X-Attempt-Id", attempt}};
                const auto result = answer();
                REQUIRE(!result);
                CHECK(result.error().code == error_code::malformed);
                CHECK(result.error().ran == run_state::outcome_unknown);
            }
        }
    }
    WHEN("the service refuses")
    {
        at.answer.status = 409;
        at.answer.headers = {{"X-Attempt-Id", "5"}};
        THEN("only the service itself can report that the call did not run")
        {
            at.answer.body = R"({"message":"old fence","ran":"not_run"})";
            CHECK(answer().error().ran == run_state::not_run);
            at.answer.body = R"({"ran":"ran"})";
            CHECK(answer().error().ran == run_state::ran);
            at.answer.body = "<html>";
            CHECK(answer().error().ran == run_state::outcome_unknown);
        }
    }
    WHEN("the key is not allowed in a header")
    {
        call.key = idempotency_key{"k\r\nX-Attempt-Id: 5"};
        const auto result = answer();
        REQUIRE(!result);
        CHECK(result.error().ran == run_state::not_run);
        CHECK(at.server.requests.empty());
    }
}

SCENARIO("the VM list is read")
{
    http_fixture at;
    const vm_list_service list = make_http_vm_list(at.client, at.server.url());
    const auto fetch = [&] {
        return wait_for<std::vector<vm_entry>>([&](const auto& callback) { list.fetch(callback); });
    };

    WHEN("it has entries of all kinds")
    {
        at.answer.body = R"({"vms":[
            {"name":"e","kind":"entry","zone":"z","region":"r","address":"127.0.0.1:1","state":"live"},
            {"name":"b","kind":"engine","fleet":"f","zone":"z","address":"http://127.0.0.1:2","service":"savjetnik",
             "state":"leaving","cold_slots":2,"slots":16,"fences":true},
            {"name":"p","kind":"plain","fleet":"f","zone":"z","address":"http://127.0.0.1:3","state":"unheard-of"}]})";
        const auto entries = fetch();
        REQUIRE(entries);
        REQUIRE(entries->size() == 3);
        const vm_entry& engine = entries->at(1);
        CHECK(engine.kind == vm_kind::engine);
        CHECK(engine.fleet == fleet_name{"f"});
        CHECK(engine.service == service_name{"savjetnik"});
        CHECK(engine.state == vm_state::leaving);
        CHECK(engine.cold_slots == 2);
        CHECK(engine.slots == 16);
        CHECK(engine.fences);
        CHECK(entries->at(0).state == vm_state::live);
        CHECK(entries->at(0).region == region_name{"r"});
        CHECK(entries->at(2).state == vm_state::leaving);
    }
    WHEN("it is malformed")
    {
        for (const char* body : {"", "{}", R"({"vms":[{}]})", R"({"vms":[7]})",
                                 R"({"vms":[{"name":"a","kind":"router","address":"x"}]})"}) {
            at.answer.body = body;
            CHECK(!fetch());
        }
    }
}

SCENARIO("answers are rated")
{
    http_fixture at;
    const rating_service service = make_http_rating_service(at.client, at.server.url());
    const rating_request request{"q", "a \xff", {{fleet_name{"f"}, model_name{"m"}}, version_name{"1"}}, "lookup", 1s};
    const auto rate = [&] { return wait_for<rating>([&](const auto& callback) { service.rate(request, callback); }); };
    at.answer.body = R"({"rating":"good"})";
    CHECK(rate() == rating::good);
    at.answer.body = R"({"rating":"bad"})";
    CHECK(rate() == rating::bad);
    at.answer.body = R"({"rating":"so-so"})";
    CHECK(!rate());
}

SCENARIO("weights are acquired within the store's rate limit")
{
    http_fixture at;
    const weight_store store = make_http_weight_store(at.client, at.server.url());
    const version_id version{{fleet_name{"f"}, model_name{"m"}}, version_name{"1"}};
    const auto acquire = [&] {
        return wait_for<weight_grant>([&](const auto& callback) { store.acquire(version, callback); });
    };

    WHEN("the rate limit is not reached")
    {
        at.answer.body = R"({"token":"t","bytes":10})";
        const auto grant = acquire();
        REQUIRE(grant);
        CHECK(grant->token == "t");
        CHECK(grant->bytes == 10);
    }
    WHEN("the rate limit is reached")
    {
        at.answer.status = 429;
        at.answer.headers = {{"Retry-After", "3"}};
        const auto grant = acquire();
        REQUIRE(!grant);
        CHECK(grant.error().code == error_code::overloaded);
        CHECK(grant.error().retry_after == std::optional<std::chrono::milliseconds>{3s});
    }
    WHEN("the answer is not a grant")
    {
        at.answer.body = "{}";
        CHECK(!acquire());
    }
}

// Guards against broken answers that are taken for those of the platform and of servers.
SCENARIO("a malformed or cut answer is no answer of the log, of the VM list or of a server's health check")
{
    const std::string head = GENERATE(as<std::string>{}, "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX One: 1\r\n",
                                      "HTTP/1.1 200 OK\r\nX-\x01One: 1\r\n", "HTTP/1.1 200 OK\r\nX-One\r\n",
                                      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n");
    CAPTURE(head);
    http_fixture at;
    const auto serve = [&head](const std::string& body) {
        return std::make_unique<raw_server>(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                                            raw_server::after_answer::close);
    };

    const auto log_server = serve(R"({"first_retained":1,"next":1,"records":[]})");
    const log_service log = make_http_log(at.client, log_server->url());
    CHECK(!wait_for<read_batch>([&](const auto& callback) {
        log.read({stream_name{"a"}, log_offset{1}, 10, 0ms}, callback);
    }));

    const auto list_server = serve(R"({"vms":[]})");
    const vm_list_service list = make_http_vm_list(at.client, list_server->url());
    CHECK(!wait_for<std::vector<vm_entry>>([&](const auto& callback) { list.fetch(callback); }));

    const auto engine_server = serve(R"({"start":7,"slots":8,"warm":true})");
    const engine_client engine = make_http_engine(at.client);
    CHECK(!wait_for<load_report>([&](const auto& callback) { engine.poll_load(engine_server->url(), callback); }));
}
