// Tests of the daemon's settings.
#include <agatespar/node/settings.h>

#include <catch2/catch.hpp>

using namespace agatespar;

static environment complete_environment()
{
    return {{"AGATESPAR_ZONE", "kovacic/osijek-a"},
            {"AGATESPAR_LOG_URL", "http://127.0.0.1:1"},
            {"AGATESPAR_VM_LIST_URL", "http://127.0.0.1:2"},
            {"AGATESPAR_VM_KEY", "a secret of all VMs"},
            {"AGATESPAR_SESSION_SECRET", "a secret of all sessions"},
            {"PATH", "/bin"}};
}

SCENARIO("flags override environment variables, which override defaults")
{
    const auto settings = read_settings({"--region=north", "--peers=127.0.0.1:5,127.0.0.1:6", "--drain-time=1.5"},
                                        complete_environment());
    REQUIRE(settings);
    CHECK(to_string(settings->zone) == "kovacic/osijek-a");
    CHECK(settings->region == region_name{"north"});
    CHECK(settings->peers.size() == 2);
    CHECK(settings->drain_time == std::chrono::milliseconds{1500});
    CHECK(settings->listen == "127.0.0.1:8080");
    CHECK(settings->client_memory_bytes == std::size_t{256} * 1024 * 1024);
    CHECK(settings->max_connections == 4096);

    WHEN("a flag and its environment variable differ")
    {
        const auto both = read_settings({"--zone=kovacic/dakovo"}, complete_environment());
        REQUIRE(both);
        CHECK(both->zone.name == zone_name{"dakovo"});
    }
}

SCENARIO("an invalid setting causes a one-line error that names it")
{
    const auto refusal_of = [](const std::string& argument) {
        const auto settings = read_settings({argument}, complete_environment());
        REQUIRE(!settings);
        CHECK(settings.error().message.find('\n') == std::string::npos);
        return settings.error().message;
    };
    CHECK(refusal_of("--unknown=1").starts_with("--unknown"));
    CHECK(refusal_of("--lis=127.0.0.1:1").starts_with("--lis"));
    CHECK(refusal_of("--listen=nonsense").starts_with("--listen"));
    CHECK(refusal_of("--listen=127.0.0.1:99999").starts_with("--listen"));
    CHECK(refusal_of("--zone=osijek").starts_with("--zone"));
    CHECK(refusal_of("--log-url=ftp://x").starts_with("--log-url"));
    CHECK(refusal_of("--vm-key=short").starts_with("--vm-key"));
    CHECK(refusal_of("--drain-time=-1").starts_with("--drain-time"));
    CHECK(refusal_of("--drain-time=nan").starts_with("--drain-time"));
    CHECK(refusal_of("--client-memory=0").starts_with("--client-memory"));
    CHECK(refusal_of("--client-memory=1x").starts_with("--client-memory"));
    CHECK(refusal_of("--max-connections=0").starts_with("--max-connections"));
    CHECK(refusal_of("--tls-key=x").starts_with("--tls-certificate"));
    CHECK(refusal_of("--operator-key-hashes=abc").starts_with("--operator-key-hashes"));
    CHECK(refusal_of("stray").starts_with("command line"));

    WHEN("a setting is missing, contradicts another one or is given twice, or a variable is misspelled")
    {
        environment variables = complete_environment();
        CHECK(read_settings({"--trace-file=a", "--trace-url=http://b"}, variables)
                  .error()
                  .message.starts_with("--trace"));
        CHECK(read_settings({"--zone=a/b", "--zone=a/c"}, variables).error().message.starts_with("--zone"));
        variables.erase("AGATESPAR_ZONE");
        CHECK(read_settings({}, variables).error().message.starts_with("--zone"));
        variables["AGATESPAR_ZOEN"] = "a/b";
        CHECK(read_settings({}, variables).error().message.find("AGATESPAR_ZOEN") != std::string::npos);
    }
}
