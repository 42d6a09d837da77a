// Tests of the platform's records, with recorded examples and invalid input.
#include <catch2/catch.hpp>
#include <platform/records.h>
#include <platform/settings.h>

using namespace agatespar;
using namespace agatespar::platform;
using namespace std::chrono_literals;

static const std::string recorded_map = R"({"version":7,"routes":[
{"name":"r-6y7z5k6","hostname":"ficu95.example","path_prefix":"/pufi791/","route_type":"streaming","timeout_ms":15000,
"goal_ms":2000,"priority":1,"sizes":["daka510000","rada7437b5","ravo486f6a"],"backend":"huvo11a","attempts":3,
"public":false,"affinity":true,"resumable":true,"gap_goal_ms":1000},
{"name":"r-hvz3pfi","hostname":"ficu95.example","path_prefix":"/lohu930/","route_type":"unsafe","timeout_ms":800,
"goal_ms":100,"priority":0,"split":[{"backend":"huvo11a","weight":90},{"backend":"wuno96b","weight":10}],
"attempts":1,"public":true}],
"backends":[{"name":"huvo11a","health_path":"/healthz","max_conns":310,"protocol":"h1","tls":false,"cold_start_s":3.0,
"cold_per_s":17.0,"engine":{"slots":48,"kv_capacity":726595,"models":[{"name":"daka510000","cost":0.016},
{"name":"rada7437b5","cost":0.12}]}},
{"name":"wuno96b","health_path":"/healthz","max_conns":110,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb","anfqasnmgkcuyj8pjbvk"],"priority":1}]})";

SCENARIO("a recorded configuration is read")
{
    const auto map = read_service_map(recorded_map);
    REQUIRE(map);
    CHECK(map->version == service_map_version{7});
    REQUIRE(map->routes.size() == 2);
    const service_route& route = map->routes[0];
    CHECK(route.kind == request_kind::streaming);
    CHECK(route.resumable);
    CHECK(route.timeout == 15s);
    CHECK(route.goal == 2s);
    CHECK(route.gap_goal == 1s);
    CHECK(route.max_runs == 3);
    CHECK(route.has_prompts);
    CHECK(route.model_tiers ==
          std::vector<model_name>{model_name{"daka510000"}, model_name{"rada7437b5"}, model_name{"ravo486f6a"}});
    CHECK(map->routes[1].kind == request_kind::unsafe);
    CHECK(map->routes[1].is_public);
    REQUIRE(map->routes[1].services.size() == 2);
    CHECK(map->routes[1].services[1].weight == 10);
    const routed_service& service = map->services.at(service_name{"huvo11a"});
    CHECK(service.max_cold_rate == 17);
    CHECK(service.models.at(1).cost == cost_units{0.12});
    CHECK(map->limits.message.header_bytes == 16384);
    CHECK(map->limits.idle_timeout == 15s);
    CHECK(map->has_accounts);
    CHECK(map->keys.at("anfqasnmgkcuyj8pjbvk").account == client_account_name{"hule930"});
}

SCENARIO("a configuration with an invalid part is rejected as a whole")
{
    const std::string text =
        GENERATE("", "{", "[]", "7", R"({"version":7})", R"({"version":"7","routes":[],"backends":[]})",
                 R"({"version":7,"routes":[{"name":"r"}],"backends":[]})",
                 R"({"version":7,"routes":[{"name":"","hostname":"h","path_prefix":"/","backend":"b"}],"backends":[]})",
                 R"({"version":7,"routes":[],"backends":[{"name":5}]})",
                 R"({"version":7,"routes":[],"backends":[],"tenants":[{"name":"a","api_keys":[1]}]})",
                 R"({"version":7,"routes":[],"backends":[],"limits":{"idle_timeout_ms":-1}})");
    CAPTURE(text);
    CHECK(!read_service_map(text));
}

SCENARIO("requests of a route of unknown type are run at most once")
{
    const auto map = read_service_map(R"({"version":1,"backends":[],"routes":[
        {"name":"r","hostname":"h","path_prefix":"/","backend":"b","route_type":"novel"}]})");
    REQUIRE(map);
    CHECK(map->routes[0].kind == request_kind::unsafe);
}

SCENARIO("a server's record is read, and an invalid one is rejected")
{
    const std::string recorded =
        R"({"backend":"huvo11a","address":"10.128.0.9:8080","zone":"osijek-a","version":"v1","slots":48,"state":"ready",
        "cold_left_ms":250,"stage":"both","models":[{"name":"daka510000","version":1,"adapters":[]}],"sequence":4,
        "born":1790000000000})";
    const auto server = read_server("i-7f3a91c2", recorded);
    REQUIRE(server);
    CHECK(server->name == server_name{"i-7f3a91c2"});
    CHECK(server->address == "10.128.0.9:8080");
    CHECK(server->remaining_cold_time == 250ms);
    CHECK(!server->leaving);
    CHECK(server->started_unix_ms == 1'790'000'000'000);
    CHECK(server->models == std::vector<model_name>{model_name{"daka510000"}});
    const std::string broken =
        GENERATE("", "\xff\xfe", "null", "{}", R"({"backend":"b","address":"a:1","zone":"z","version":"v","slots":4})",
                 R"({"backend":"b","address":"a:1","zone":"z","version":"v","slots":4,"state":"resting"})",
                 R"({"backend":7,"address":"a:1","zone":"z","version":"v","slots":4,"state":"ready"})",
                 R"({"backend":"b","address":"a:1","zone":"z","version":"v","slots":"4","state":"ready"})",
                 R"({"backend":"b","address":"","zone":"z","version":"v","slots":4,"state":"ready"})",
                 R"({"backend":"b","address":"a:1","zone":"z","version":"v","slots":4,"state":"ready","models":[1]})");
    CAPTURE(broken);
    CHECK(!read_server("i-1", broken));
}

// Guards against an odd entry of another writer that ends VMs, draws all requests, or hides the entries beside it.
SCENARIO("a server's record with numbers or an address out of range is rejected")
{
    const std::string start = R"({"backend":"b","zone":"z","version":"v","state":"ready",)";
    CHECK(read_server("i-1", start + R"("address":"10.0.0.1:80","slots":4})"));
    const std::string odd = GENERATE(
        R"("address":"10.0.0.1:80","slots":-1)", R"("address":"10.0.0.1:80","slots":1099511627776)",
        R"("address":"10.0.0.1:80","slots":4294967295)", R"("address":"10.0.0.1:80","slots":1e300)",
        R"("address":"10.0.0.1:80","slots":1e400)", R"("address":"10.0.0.1:80","slots":4.5)",
        R"("address":"10.0.0.1:80","slots":18446744073709551616)", R"("address":"10.0.0.1:80","slots":4,"born":-1)",
        R"("address":"10.0.0.1:80","slots":4,"born":1e300)",
        R"("address":"10.0.0.1:80","slots":4,"cold_left_ms":1e300)",
        R"("address":"10.0.0.1:80","slots":4,"cold_left_ms":-1)", R"("address":"10.0.0.1:80","slots":4,"models":"m")",
        R"("address":"10.0.0.1:70000","slots":4)", R"("address":"10.0.0.1:0","slots":4)",
        R"("address":"10.0.0.1:-1","slots":4)", R"("address":"10.0.0.1:99999999999999999999","slots":4)",
        R"("address":"10.0.0.1","slots":4)", R"("address":"10.0.0.1:80\r\nX-Tenant: a","slots":4)");
    CAPTURE(odd);
    CHECK(!read_server("i-1", start + odd + "}"));
    CHECK(!read_server("i-1\r\nX-Tenant: a", start + R"("address":"10.0.0.1:80","slots":4})"));
    const std::string deep(100'000, '[');
    CHECK(!read_server("i-1", start + R"("address":"10.0.0.1:80","slots":4,"x":)" + deep));
    CHECK(!read_server("i-1", std::string(100'000, '{')));
}

SCENARIO("orders and reports are identified by their keys and read")
{
    CHECK(read_operator_key("config").what == operator_key::subject::service_map);
    CHECK(read_operator_key("rollout/huvo11a").name == "huvo11a");
    CHECK(read_operator_key("evacuate/osijek-a").what == operator_key::subject::evacuation);
    CHECK(read_operator_key("other").what == operator_key::subject::unknown);
    const auto order = read_rollout("huvo11a", R"({"backend":"huvo11a","target":"v2","duration_s":12})");
    REQUIRE(order);
    CHECK(order->target == version_name{"v2"});
    CHECK(order->time == 12s);
    CHECK(!read_rollout("s", R"({"target":"v2"})"));
    CHECK(!read_rollout("s", R"({"target":"v2","duration_s":-1})"));
    CHECK(!read_rollout("s", R"({"target":2,"duration_s":1})"));

    for (const auto state : {rollout_state::in_progress, rollout_state::complete, rollout_state::reverted}) {
        const auto record = write_report({service_name{"huvo11a"}, version_name{"v2"}, state});
        const auto report = read_report(record.key, *record.value);
        REQUIRE(report);
        CHECK(report->state == state);
        CHECK(report->service == service_name{"huvo11a"});
        // As written by VMs that run an earlier version.
        CHECK(!report->order_position);
        CHECK(report->retired.empty());
    }
    const auto record = write_report({service_name{"s"},
                                      version_name{"v3"},
                                      rollout_state::complete,
                                      log_position{store_era{2}, 7},
                                      {version_name{"v2"}}});
    const auto report = read_report(record.key, *record.value);
    REQUIRE(report);
    CHECK(report->order_position == log_position{store_era{2}, 7});
    CHECK(report->retired == std::vector{version_name{"v2"}});
    CHECK(!read_report("rollout/s", R"({"state":"complete","target":"v2","order":-1})"));
    CHECK(!read_report("rollout/s", R"({"state":"complete","target":"v2","retired":"v1"})"));
    CHECK(!read_report("rollout/s", R"({"state":"complete","target":"v2","retired":[1]})"));
    CHECK(!read_report("rollout/s", R"({"state":"done","target":"v2"})"));
    CHECK(!read_report("other", R"({"state":"complete","target":"v2"})"));
}

SCENARIO("the settings file is read, and a missing field is named in the error")
{
    const auto settings = read_settings(
        R"({"metrics_port":9464,"fields":{"node_name":"edge-1","ip":"10.1.0.40","zone":"osijek-a","listen":{"front":"10.1.0.40:8227",
        "readiness":"10.1.0.40:8220"},"platform":{"address":"10.200.1.7:8223"},"bounds":{"grace_s":8,"retry_ratio":0.9,
        "retry_slack":58},"novel":{"field":1},"limits":{"max_fds":2870}}})");
    REQUIRE(settings);
    CHECK(settings->gateway.max_fds == 2870);
    CHECK(settings->gateway.vm_name == "edge-1");
    CHECK(settings->gateway.front_address == "10.1.0.40:8227");
    CHECK(settings->gateway.shutdown_timeout == 8s);
    CHECK(settings->gateway.metrics_address == "10.1.0.40:9464");
    CHECK(settings->store_address == "10.200.1.7:8223");
    const auto without_limits = read_settings(
        R"({"metrics_port":1,"fields":{"node_name":"e","ip":"1","zone":"z","listen":{"front":"1","readiness":"1"},
        "platform":{"address":"1"}}})");
    REQUIRE(without_limits);
    CHECK(!without_limits->gateway.max_fds);
    const auto missing = read_settings(
        R"({"metrics_port":9464,"fields":{"node_name":"edge-1","ip":"1","zone":"z","listen":{"front":"1"}}})");
    REQUIRE(!missing);
    CHECK(missing.error().message.find("readiness") != std::string::npos);
    CHECK(!read_settings("node_name = \"edge\""));
}
