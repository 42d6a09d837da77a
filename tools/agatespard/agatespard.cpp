// The daemon of an entry VM.
#include <agatespar/kernel/glib_event_loop.h>
#include <agatespar/node/node.h>
#include <agatespar/node/settings.h>
#include <agatespar/telemetry/log.h>

#include <platform/entry.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

static constexpr int exit_usage = 2;
static constexpr int exit_unavailable = 3;
static constexpr int exit_cut_requests = 4;

static agatespar::environment read_environment()
{
    agatespar::environment variables;
    for (char** entry = environ; *entry != nullptr; ++entry) {
        const std::string text{*entry};
        const std::size_t equals = text.find('=');
        variables.emplace(text.substr(0, equals), equals == std::string::npos ? "" : text.substr(equals + 1));
    }
    return variables;
}

static int fail(int code, const std::string& message)
{
    std::fprintf(stderr, "agatespard: %s\n", message.c_str());
    return code;
}

static int run(const agatespar::node_settings& settings)
{
    agatespar::start_logging({to_string(settings.zone), agatespar::log_severity::info});
    agatespar::glib_event_loop loop;
    auto node = agatespar::node::open(loop, settings);
    if (!node) {
        return fail(exit_unavailable, node.error().message);
    }
    agatespar::log_event(agatespar::log_severity::info, "started",
                         {{"http", (*node)->http_address()}, {"peer", (*node)->peer_address()}});
    loop.watch_signal(SIGTERM, [&node] { (*node)->stop(); });
    loop.watch_signal(SIGINT, [&node] { (*node)->stop(); });
    loop.run();
    return (*node)->cut_requests() == 0 ? 0 : exit_cut_requests;
}

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    const auto has = [&arguments](const char* flag) {
        return std::find(arguments.begin(), arguments.end(), flag) != arguments.end();
    };
    if (has("--help") || has("-h")) {
        std::fputs(agatespar::settings_help().c_str(), stdout);
        std::puts("\nOn the users' platform: agatespard --gateway, without other flags; see docs/OPERATORS.md.");
        return 0;
    }
    if (has("--version")) {
        std::puts("agatespard 0.1.0");
        return 0;
    }
    // With --gateway, all settings come from the platform's settings file.
    if (has("--gateway")) {
        return agatespar::platform::run_entry();
    }
    const auto settings = agatespar::read_settings(arguments, read_environment());
    if (!settings) {
        return fail(exit_usage, settings.error().message);
    }
    return run(*settings);
}
