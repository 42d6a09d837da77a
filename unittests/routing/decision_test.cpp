// Tests of the routing decision on small views.
#include <agatespar/routing/decision.h>
#include <agatespar/routing/explain.h>
#include <agatespar/routing/rollout.h>
#include <agatespar/routing/view.h>
#include <agatespar/support/hash.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

/// Two zones. This VM's zone has servers of two versions of a cheap model (0 and 1) and of one version of a strong
/// model (2); the second zone has no free slots.
struct fixture {
    routing_view view;
    route_request request;
    manual_clock time;
    std::mt19937_64 random{7};
    explanation explained;

    fixture()
    {
        view.weights = {score_weights{}};
        view.zones.resize(2);
        add_version(0, 0.9, 1, 9);
        add_version(0, 0.1, 1, 9);
        add_version(1, 1.0, 9, 24);
        for (const int version : {0, 0, 0, 1, 2, 2})
            view.servers.push_back(
                {.version = version_index{static_cast<std::uint8_t>(version)}, .limit = 16, .slots = 16});
        index_servers(view);
        request.allowed = version_set{0b111};
        request.preferred = version_set{0b011};
        request.prompt_tokens = 300;
        request.expected_output_tokens = 40;
        request.session_hash = 1;
        request.deadline = time.now() + 2s;
    }

    void add_version(std::uint8_t model, double share, double cost, double decode_ms)
    {
        version_view version;
        version.model = model_index{model};
        version.share = share;
        version.cost_per_1k_tokens = cost;
        version.prefill_tokens_per_s = 10000;
        version.decode_ms_per_token = decode_ms;
        version.decode_slope = 1;
        view.versions.push_back(version);
    }

    outcome<decision> run() { return decide(view, request, time.now(), random, &explained); }

    std::string sentence()
    {
        const auto result = run();
        const routing_names names{
            .server = [](server_index index) { return "server-" + std::to_string(index.value()); },
            .version = [](version_index index) { return "model@" + std::to_string(index.value()); },
            .zone = [](zone_index index) { return "zone-" + std::to_string(index.value()); }};
        return explain_as_sentence(result, explained, names);
    }
};

} // namespace

SCENARIO("a request goes to an allowed version with a free server")
{
    fixture f;
    GIVEN("a client account that allows only the strong version")
    {
        f.request.allowed = version_set{0b100};
        THEN("every decision chooses that version")
        {
            for (int i = 0; i < 100; ++i)
                CHECK(f.run()->version == version_index{2});
        }
    }
    GIVEN("a client account that allows no version")
    {
        f.request.allowed.reset();
        THEN("the request is refused and reported as not run")
        {
            REQUIRE_FALSE(f.run());
            CHECK(f.run().error().code == error_code::not_allowed);
            CHECK(f.run().error().ran == run_state::not_run);
        }
    }
    GIVEN("servers that are unhealthy, leaving or without a permit")
    {
        f.request.allowed = version_set{0b001};
        f.view.servers[0].healthy = false;
        f.view.servers[1].leaving = true;
        f.view.servers[2].permits = 0;
        THEN("none is chosen and the explanation counts them by reason")
        {
            CHECK(f.run().error().code == error_code::overloaded);
            CHECK(f.sentence().find("1 server unhealthy, 1 server leaving, 1 server without a permit") !=
                  std::string::npos);
        }
        WHEN("another version is allowed as a fallback")
        {
            f.request.allowed = version_set{0b101};
            f.request.fallback = version_set{0b100};
            f.request.preferred = version_set{0b001};
            THEN("it is not chosen if a long answer would miss the deadline")
            {
                CHECK(f.run().error().code == error_code::overloaded);
            }
            THEN("it is chosen with the reason fallback if the deadline leaves enough time")
            {
                f.request.deadline = f.time.now() + 4s;
                CHECK(f.run()->version == version_index{2});
                CHECK(f.run()->reason == decision_reason::fallback);
            }
        }
        WHEN("another zone has free slots")
        {
            f.view.zones[1].free_slots[0] = 3;
            THEN("the request is forwarded to that zone")
            {
                CHECK(f.run()->forward);
                CHECK(f.run()->zone == zone_index{1});
                CHECK(f.sentence().find("Sent to zone zone-1") == 0);
            }
            AND_WHEN("the request was already forwarded from another zone")
            {
                f.request.forwarded = true;
                THEN("it is refused instead")
                {
                    CHECK_FALSE(f.run());
                }
            }
        }
    }
    GIVEN("a zone that is out of service")
    {
        f.view.zones[0].in_service = false;
        THEN("none of its servers is chosen, even if no other zone has free slots")
        {
            CHECK_FALSE(f.run());
        }
    }
}

SCENARIO("a session keeps its pinned version")
{
    fixture f;
    f.request.preferred.reset();
    f.request.allowed = version_set{0b011};
    GIVEN("a session that is pinned to the version with the small share")
    {
        f.request.pins.push(version_index{1});
        WHEN("the shares change and the guard stops the version")
        {
            f.view.versions[1].share = 0;
            f.view.versions[1].stopped_by_guard = true;
            THEN("the session keeps that version")
            {
                for (int i = 0; i < 50; ++i)
                    CHECK(f.run()->version == version_index{1});
            }
        }
        WHEN("the version is withdrawn with a successor")
        {
            f.view.versions[1].withdrawn = true;
            f.view.versions[1].successor = version_index{0};
            THEN("the session moves to the successor, and the result reports the move")
            {
                CHECK(f.run()->version == version_index{0});
                CHECK(f.run()->moved_from_withdrawn);
                CHECK(f.sentence().find("moved here from version model@1") != std::string::npos);
            }
        }
    }
    GIVEN("many new sessions")
    {
        int on_small_share = 0;
        for (std::uint64_t id = 1; id <= 10000; ++id) {
            f.request.session_hash = combine_hashes(id, 1);
            on_small_share += choose_versions(f.view, f.request).versions[1] ? 1 : 0;
        }
        THEN("they are distributed according to the shares")
        {
            CHECK(on_small_share > 850);
            CHECK(on_small_share < 1150);
        }
    }
}

SCENARIO("cached prefixes and corrected load reports determine the choice among servers")
{
    fixture f;
    f.request.allowed = version_set{0b001};
    f.request.session_hash = 0;
    GIVEN("a server that is indexed as holding the prompt's prefix")
    {
        f.request.prefixes.push({.hash = 99, .tokens = 250});
        f.view.prefixes.insert_prefix(99, server_index{1}, 250, f.time.now());
        THEN("it is chosen because of the prefix")
        {
            CHECK(f.run()->server == server_index{1});
            CHECK(f.run()->reason == decision_reason::cached_prefix);
        }
        WHEN("it is so busy that the cached prefix does not outweigh its load")
        {
            f.view.servers[1].reported_running = 15;
            THEN("another server is chosen")
            {
                CHECK(f.run()->server != server_index{1});
            }
        }
        WHEN("the entry was not confirmed within its lifetime")
        {
            f.time.advance(10min);
            f.request.deadline = f.time.now() + 2s;
            THEN("the entry is ignored")
            {
                CHECK(f.run()->reason != decision_reason::cached_prefix);
            }
        }
    }
    GIVEN("a server that was reported idle, but got requests from this VM since the report")
    {
        f.view.servers[0].own_sent_since_report = 16;
        f.view.servers[1].reported_running = 4;
        f.view.servers[2].reported_running = 4;
        THEN("that server is not chosen")
        {
            for (int i = 0; i < 50; ++i)
                CHECK(f.run()->server != server_index{0});
        }
    }
}
