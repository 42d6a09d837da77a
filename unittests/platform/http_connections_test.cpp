// Tests of the HTTP client's connections: reuse, limits and TLS.
#include "http_calls.h"
#include "test_server.h"

#include <agatespar/platform/gio_http_client.h>

#include <catch2/catch.hpp>
#include <glib/gstdio.h>

using namespace agatespar;
using namespace agatespar::test;
using namespace std::chrono_literals;

// With its usual interception, LeakSanitizer crashes on the thread-local storage of modules that are loaded while
// threads run, as GIO loads its module for TLS. Leaks are found without it, too.
extern "C" const char* __asan_default_options()
{
    return "intercept_tls_get_addr=0";
}

SCENARIO("a connection serves further calls, unless its server has closed it")
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    glib_event_loop loop;
    gio_http_client owner{loop};
    const http_client client = owner.client();

    WHEN("the server serves several requests on a connection")
    {
        raw_server server{bytes, raw_server::after_answer::serve};
        THEN("one with an idempotent method shares it, any other has a connection of its own")
        {
            for (int call = 0; call < 3; ++call) {
                REQUIRE(send(client, get(server.url())));
            }
            CHECK(server.connections == 1);
            REQUIRE(send(client, post(server.url(), false)));
            CHECK(server.connections == 2);
        }
    }
    WHEN("the answer announces that the connection ends, or is followed by more bytes")
    {
        const std::string last = GENERATE(
            as<std::string>{}, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1");
        raw_server server{last, raw_server::after_answer::serve};
        REQUIRE(send(client, get(server.url())));
        REQUIRE(send(client, get(server.url())));
        CHECK(server.connections == 2);
    }
    WHEN("the server has closed the idle connection")
    {
        raw_server server{bytes, raw_server::after_answer::close};
        for (int call = 1; call <= 3; ++call) {
            REQUIRE(send(client, get(server.url())));
            CHECK(server.connections == call);
        }
    }
    WHEN("the server closes the connection while the next request is being sent")
    {
        raw_server server{bytes, raw_server::after_answer::drop_next};
        REQUIRE(send(client, get(server.url())));
        THEN("the request is sent again on a new connection")
        {
            REQUIRE(send(client, get(server.url())));
            CHECK(server.connections == 2);
        }
    }
}

SCENARIO("the connections to a server, and all of them, are limited, and further calls wait")
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    glib_event_loop loop;
    gio_http_settings settings;
    settings.max_connections = 3;
    settings.max_connections_per_server = 2;
    gio_http_client owner{loop, settings};
    const http_client client = owner.client();
    int answered = 0;
    const auto start = [&](const http_request& request) {
        client.send(request, [&answered](const outcome<http_response>& answer) { answered += answer ? 1 : 0; });
    };

    WHEN("more calls are made than connections are allowed")
    {
        raw_server server{bytes, raw_server::after_answer::serve};
        for (int call = 0; call < 5; ++call) {
            start(get(server.url()));
        }
        run_until([&answered] { return answered == 5; });
        CHECK(server.connections == 2);
    }
    WHEN("all connections are idle, to other servers than that of the call")
    {
        raw_server one{bytes, raw_server::after_answer::serve};
        raw_server two{bytes, raw_server::after_answer::serve};
        for (const std::string& url : {one.url(), one.url(), two.url(), two.url()}) {
            start(get(url));
        }
        run_until([&answered] { return answered == 4; });
        raw_server three{bytes, raw_server::after_answer::serve};
        CHECK(send(client, get(three.url())));
    }
    WHEN("more connections than are kept become idle")
    {
        settings.max_idle_per_server = 1;
        gio_http_client frugal{loop, settings};
        raw_server server{bytes, raw_server::after_answer::serve};
        const auto call_two_at_once = [&] {
            int done = 0;
            for (int call = 0; call < 2; ++call) {
                frugal.client().send(get(server.url()), [&done](const outcome<http_response>&) { ++done; });
            }
            run_until([&done] { return done == 2; });
        };
        call_two_at_once();
        CHECK(server.connections == 2);
        call_two_at_once();
        CHECK(server.connections == 3);
    }
    WHEN("idle connections are in the way of a call that requires a new one")
    {
        raw_server server{bytes, raw_server::after_answer::serve};
        for (int call = 0; call < 4; ++call) {
            start(post(server.url(), true));
        }
        run_until([&answered] { return answered == 4; });
        CHECK(server.connections == 4);
    }
    WHEN("no connection becomes available within the timeout")
    {
        const std::string cut = bytes.substr(0, bytes.size() - 1);
        raw_server one{cut, raw_server::after_answer::hang};
        raw_server two{cut, raw_server::after_answer::hang};
        for (const std::string& url : {one.url(), one.url(), two.url()}) {
            start(get(url));
        }
        for (const std::string& url : {one.url(), two.url()}) {
            http_request late = get(url);
            late.timeout = 20ms;
            const auto answer = send(client, late);
            REQUIRE(!answer);
            CHECK(answer.error().code == error_code::deadline_exceeded);
            CHECK(answer.error().ran == run_state::not_run);
        }
        CHECK(one.connections == 2);
        CHECK(two.connections == 1);
    }
}

SCENARIO("a call over TLS requires a trusted certificate and an end that TLS confirms")
{
    char* folder = g_dir_make_tmp("agatespar-XXXXXX", nullptr);
    const std::string file = std::string{folder} + "/server.pem";
    const std::string command = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 "
                                "-subj /CN=agatespar -addext subjectAltName=IP:127.0.0.1 -keyout " +
                                file + " -out " + file + ".cert";
    REQUIRE(g_spawn_command_line_sync(command.c_str(), nullptr, nullptr, nullptr, nullptr));
    GTlsCertificate* certificate = g_tls_certificate_new_from_files((file + ".cert").c_str(), file.c_str(), nullptr);
    REQUIRE(certificate != nullptr);
    glib_event_loop loop;
    gio_http_settings settings;
    settings.tls_ca_file = file + ".cert";
    gio_http_client owner{loop, settings};
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    const std::string unsized = "HTTP/1.1 200 OK\r\n\r\n{}";

    WHEN("the certificate is trusted")
    {
        raw_server server{sized, raw_server::after_answer::serve, certificate};
        for (int call = 0; call < 2; ++call) {
            const auto answer = send(owner.client(), get(server.url()));
            REQUIRE(answer);
            CHECK(answer->body == "{}");
        }
        CHECK(server.connections == 1);
    }
    WHEN("the certificate is not trusted, or is that of another server")
    {
        raw_server server{sized, raw_server::after_answer::serve, certificate};
        gio_http_client strict{loop};
        std::string other = server.url();
        other.replace(other.find("127.0.0.1"), 9, "127.0.0.2");
        for (const auto& answer : {send(strict.client(), get(server.url())), send(owner.client(), get(other))}) {
            REQUIRE(!answer);
            CHECK(answer.error().ran == run_state::not_run);
            CHECK(server.received.empty());
        }
    }
    WHEN("an answer without a length ends")
    {
        raw_server complete{unsized, raw_server::after_answer::close, certificate};
        raw_server cut{unsized, raw_server::after_answer::cut, certificate};
        CHECK(send(owner.client(), get(complete.url())));
        CHECK(!send(owner.client(), get(cut.url())));
    }
    g_object_unref(certificate);
    for (const std::string& path : {file, file + ".cert", std::string{folder}}) {
        g_remove(path.c_str());
    }
    g_free(folder);
}
