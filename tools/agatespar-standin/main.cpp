// agatespar-standin simulates a service of the platform or a backend server, for tests and the demo.
#include "role.h"

#include <agatespar/kernel/glib_event_loop.h>

#include <docopt/docopt.h>

#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

using namespace agatespar;
using namespace agatespar::standin;

static constexpr const char* usage = R"(Simulates a service of the platform or a backend server.

Usage:
  agatespar-standin --role=ROLE [options]

The role is log, engine, plain, vms, rating or weights, or of the users' platform store or runner.
On start, the role and the port are printed as one JSON line on standard output.
POST /admin/faults sets faults, GET /admin/counts returns counters.

Options:
  --listen=ADDRESS        IP address and port; port 0 selects a free one [default: 127.0.0.1:0].
  --port-file=FILE        Also write the port to a file.
  --seed=N                Seed of the random numbers [default: 1].
  --fleet=NAME            Fleet of a backend server [default: ].
  --zone=NAME             Availability zone of a backend server [default: ].
  --name=NAME             Name of a backend server [default: ].
  --versions=LIST         model@version, separated by commas, that an engine has loaded [default: ].
  --slots=N               Requests that a backend server runs concurrently [default: 8].
  --cold-slots=N          Requests above which a cold engine crashes [default: 2].
  --warm-after=N          Completions after which a cold engine is warm [default: 8].
  --warm                  Start an engine warm.
  --fences                Refuse requests and orders with an outdated fencing number.
  --decode-ms=N           Time for each token of a warm engine [default: 5].
  --prefill-tps=N         Prompt tokens that an engine processes per second [default: 4000].
  --restart-ms=N          Time until a crashed engine is up again [default: 500].
  --load-ms=N             Time in which an engine loads versions [default: 200].
  --report-lag-ms=N       Time between two load reports [default: 100].
  --retain=N              Records that a stream of the log keeps, 0 for all [default: 0].
  --appends-per-second=N  Append calls that the log accepts per second, 0 for no limit [default: 0].
  --grants-per-second=N   Grants that the weight store gives per second [default: 2].
  --help                  Show this text.
)";

namespace {

using options = std::map<std::string, docopt::value>;

struct listen_address {
    std::string address;
    std::uint16_t port;
};

} // namespace

static std::uint32_t number(const options& arguments, const char* name)
{
    const std::string text = arguments.at(name).asString();
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        throw std::invalid_argument{std::string{name} + ": '" + text + "' is not a number"};
    }
    return value;
}

static std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> items;
    std::istringstream stream{list};
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

static role_settings read_settings(const options& arguments)
{
    role_settings settings;
    settings.seed = number(arguments, "--seed");
    settings.fleet = arguments.at("--fleet").asString();
    settings.zone = arguments.at("--zone").asString();
    settings.name = arguments.at("--name").asString();
    settings.versions = split(arguments.at("--versions").asString());
    settings.slots = number(arguments, "--slots");
    settings.cold_slots = number(arguments, "--cold-slots");
    settings.warm_after = number(arguments, "--warm-after");
    settings.warm = arguments.at("--warm").asBool();
    settings.fences = arguments.at("--fences").asBool();
    settings.decode_step = std::chrono::milliseconds{number(arguments, "--decode-ms")};
    settings.prefill_tokens_per_second = std::max(1U, number(arguments, "--prefill-tps"));
    settings.restart_delay = std::chrono::milliseconds{number(arguments, "--restart-ms")};
    settings.load_time = std::chrono::milliseconds{number(arguments, "--load-ms")};
    settings.report_lag = std::chrono::milliseconds{std::max(1U, number(arguments, "--report-lag-ms"))};
    settings.retained_records = number(arguments, "--retain");
    settings.appends_per_second = number(arguments, "--appends-per-second");
    settings.grants_per_second = std::max(1U, number(arguments, "--grants-per-second"));
    return settings;
}

static listen_address read_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const char* digits = colon == std::string::npos ? end : text.data() + colon + 1;
    const auto parsed = std::from_chars(digits, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        throw std::invalid_argument{"--listen: '" + text + "' has no valid port"};
    }
    return {text.substr(0, colon), port};
}

static std::unique_ptr<role> make_role(const std::string& name, event_loop& loop, const role_settings& settings,
                                       crash_function crash)
{
    if (name == "log") {
        return make_log_role(loop, settings);
    }
    if (name == "engine") {
        return make_engine_role(loop, settings, std::move(crash));
    }
    if (name == "plain") {
        return make_plain_role(loop, settings);
    }
    if (name == "vms") {
        return make_vms_role(loop);
    }
    if (name == "rating") {
        return make_rating_role(loop);
    }
    if (name == "store") {
        return make_store_role(loop);
    }
    if (name == "runner") {
        return make_runner_role(loop, settings);
    }
    if (name == "weights") {
        return make_weights_role(loop, settings);
    }
    throw std::invalid_argument{"unknown role '" + name + "'"};
}

static void serve(role& service, const std::shared_ptr<exchange>& call)
{
    if (call->path() == "/admin/faults") {
        service.set_faults(nlohmann::json::parse(call->body()));
        call->answer(200, nlohmann::json::object());
    }
    else if (call->path() == "/admin/counts") {
        call->answer(200, service.counts());
    }
    else {
        service.handle(call);
    }
}

static void announce(const options& arguments, std::uint16_t port)
{
    std::cout << nlohmann::json{{"role", arguments.at("--role").asString()}, {"port", port}}.dump() << std::endl;
    if (arguments.at("--port-file")) {
        std::ofstream{arguments.at("--port-file").asString()} << port << '\n';
    }
}

static int run(const options& arguments)
{
    glib_event_loop loop;
    std::unique_ptr<role> service;
    http_server server{[&service](const std::shared_ptr<exchange>& call) { serve(*service, call); }};
    service = make_role(arguments.at("--role").asString(), loop, read_settings(arguments),
                        [&loop, &server](std::chrono::milliseconds down) {
                            server.stop();
                            loop.schedule(down, [&loop, &server] {
                                if (!server.restart()) {
                                    std::cerr << "agatespar-standin: cannot listen again\n";
                                    loop.quit();
                                }
                            });
                        });
    const listen_address endpoint = read_address(arguments.at("--listen").asString());
    if (!server.listen(endpoint.address, endpoint.port)) {
        std::cerr << "agatespar-standin: cannot listen on " << arguments.at("--listen").asString() << '\n';
        return 1;
    }
    announce(arguments, server.port());
    loop.watch_signal(SIGTERM, [&loop] { loop.quit(); });
    loop.watch_signal(SIGINT, [&loop] { loop.quit(); });
    loop.run();
    return 0;
}

int main(int argc, char** argv)
{
    try {
        return run(docopt::docopt_parse(usage, {argv + 1, argv + argc}));
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    }
    catch (const std::exception& problem) {
        std::cerr << "agatespar-standin: " << problem.what() << '\n';
        return 2;
    }
}
