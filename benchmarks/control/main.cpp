// Measures the control traffic and the control state of each node, and fails if a figure exceeds its bound. A node is a
// simulated entry VM.
#include "control_fleet.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <cstdio>

using namespace agatespar;

namespace {

constexpr const char* usage = R"(Measures the control traffic and state of a simulated fleet.

Usage:
  bench_control [--nodes N] [--servers N] [--seconds N] [--seed N]
  bench_control --csv [--seconds N] [--seed N]
  bench_control --help

Options:
  --nodes N    number of entry VMs [default: 340]
  --servers N  number of backend servers [default: 1600]
  --seconds N  simulated time to measure, in seconds [default: 60]
  --seed N     random seed [default: 1]
  --csv        print one row for each fleet size and message kind; check no bounds
)";

// Upper bounds of the traffic and the heap of one node, and of the time until a configuration change reaches all nodes.
constexpr double max_bytes_per_second = 9.0 * 1024;
constexpr std::int64_t max_heap_bytes = 32LL * 1024 * 1024;
constexpr std::chrono::seconds max_config_propagation{5};

struct kind_name {
    std::uint8_t kind;
    const char* name;
};

constexpr kind_name kind_names[] = {
    {static_cast<std::uint8_t>(message_kind::probe), "probe"},
    {static_cast<std::uint8_t>(message_kind::probe_ack), "probe_ack"},
    {static_cast<std::uint8_t>(message_kind::probe_request), "probe_request"},
    {static_cast<std::uint8_t>(message_kind::member_leaving), "member_leaving"},
    {static_cast<std::uint8_t>(message_kind::zone_summary), "zone_summary"},
    {static_cast<std::uint8_t>(message_kind::config_pull), "config_pull"},
    {static_cast<std::uint8_t>(message_kind::config_state), "config_state"},
    {static_cast<std::uint8_t>(message_kind::permit_request), "permit_request"},
    {static_cast<std::uint8_t>(message_kind::permit_grant), "permit_grant"},
    {static_cast<std::uint8_t>(message_kind::permit_release), "permit_release"},
    {poll_kind, "server_poll"},
};

/// Bytes and messages per second, sent and received.
/// - mean_bytes and mean_messages: mean over the nodes
/// - busiest_bytes: the most of any node
struct traffic_rate {
    double mean_bytes{0};
    double busiest_bytes{0};
    double mean_messages{0};
};

} // namespace

static traffic_rate rate_of_kind(const fleet_result& result, std::uint8_t kind)
{
    traffic_rate rate;
    for (const traffic_by_kind& node : result.nodes) {
        const auto found = node.find(kind);
        if (found == node.end()) {
            continue;
        }
        const double bytes = static_cast<double>(found->second.bytes()) / result.seconds;
        rate.mean_bytes += bytes / static_cast<double>(result.nodes.size());
        rate.busiest_bytes = std::max(rate.busiest_bytes, bytes);
        rate.mean_messages +=
            static_cast<double>(found->second.messages()) / result.seconds / static_cast<double>(result.nodes.size());
    }
    return rate;
}

static traffic_rate total_rate(const fleet_result& result)
{
    traffic_rate total;
    for (const traffic_by_kind& node : result.nodes) {
        double bytes = 0;
        double messages = 0;
        for (const auto& [kind, counted] : node) {
            bytes += static_cast<double>(counted.bytes()) / result.seconds;
            messages += static_cast<double>(counted.messages()) / result.seconds;
        }
        total.mean_bytes += bytes / static_cast<double>(result.nodes.size());
        total.mean_messages += messages / static_cast<double>(result.nodes.size());
        total.busiest_bytes = std::max(total.busiest_bytes, bytes);
    }
    return total;
}

static std::uint64_t all_bytes(const traffic_by_kind& node)
{
    std::uint64_t bytes = 0;
    for (const auto& [kind, counted] : node) {
        bytes += counted.bytes();
    }
    return bytes;
}

static const traffic_by_kind& busiest_node(const fleet_result& result)
{
    return *std::max_element(result.nodes.begin(), result.nodes.end(),
                             [](const auto& left, const auto& right) { return all_bytes(left) < all_bytes(right); });
}

static int check(const char* what, double figure, double bound, const char* unit)
{
    const bool within_bound = figure < bound;
    std::printf("%-4s %s: %.1f %s, bound %.1f\n", within_bound ? "ok" : "FAIL", what, figure, unit, bound);
    return within_bound ? 0 : 1;
}

static int run_bounded(const fleet_settings& settings)
{
    const fleet_result result = control_fleet{settings}.run();
    std::printf("%zu nodes in %zu zones, %zu servers, %.0f requests/s, %.0f s, seed %llu\n", settings.nodes,
                settings.zones, settings.servers, settings.requests_per_second, result.seconds,
                static_cast<unsigned long long>(settings.seed));
    const traffic_by_kind& busiest = busiest_node(result);
    // "most bytes" is the most of any node for the kind, "busiest node" the bytes of the node with the most in total.
    std::printf("%-16s %12s %12s %14s %12s  per second, sent and received\n", "kind", "mean bytes", "most bytes",
                "busiest node", "messages");
    for (const kind_name& each : kind_names) {
        const traffic_rate rate = rate_of_kind(result, each.kind);
        const auto found = busiest.find(each.kind);
        const std::uint64_t bytes = found == busiest.end() ? 0 : found->second.bytes();
        std::printf("%-16s %12.1f %12.1f %14.1f %12.2f\n", each.name, rate.mean_bytes, rate.busiest_bytes,
                    static_cast<double>(bytes) / result.seconds, rate.mean_messages);
    }
    const traffic_rate total = total_rate(result);
    std::printf("%-16s %12.1f %12.1f %14.1f %12.2f\n", "all", total.mean_bytes, total.busiest_bytes,
                total.busiest_bytes, total.mean_messages);
    std::printf("permits %llu (%llu from store), refused %llu; processor time %.4f%% of a core per node\n",
                static_cast<unsigned long long>(result.permits), static_cast<unsigned long long>(result.from_store),
                static_cast<unsigned long long>(result.refused),
                100 * result.cpu_seconds / static_cast<double>(settings.nodes) /
                    std::chrono::duration<double>(settings.warm_up + settings.length).count());
    int failed = check("busiest node", total.busiest_bytes, max_bytes_per_second, "B/s");
    failed |= check("largest control state", static_cast<double>(result.largest_heap) / 1024,
                    static_cast<double>(max_heap_bytes) / 1024, "KiB");
    failed |= check("slowest change of configuration", static_cast<double>(result.longest_config_propagation.count()),
                    std::chrono::duration<double, std::milli>(max_config_propagation).count(), "ms");
    failed |= check("running VMs declared dead", static_cast<double>(result.false_deaths), 1, "");
    return failed;
}

static int run_csv(fleet_settings settings)
{
    constexpr std::size_t sizes[] = {8, 24, 64, 128, 256, 340};
    const double servers_per_node = static_cast<double>(settings.servers) / static_cast<double>(settings.nodes);
    const double requests_per_node = settings.requests_per_second / static_cast<double>(settings.nodes);
    std::printf("nodes,servers,kind,mean_bytes_per_s,busiest_bytes_per_s,mean_messages_per_s,largest_heap_bytes\n");
    for (const std::size_t nodes : sizes) {
        settings.nodes = nodes;
        settings.zones = std::min<std::size_t>(5, nodes / 2);
        settings.servers = static_cast<std::size_t>(servers_per_node * static_cast<double>(nodes));
        settings.requests_per_second = requests_per_node * static_cast<double>(nodes);
        const fleet_result result = control_fleet{settings}.run();
        const auto print = [&](const char* name, const traffic_rate& rate) {
            std::printf("%zu,%zu,%s,%.1f,%.1f,%.3f,%lld\n", nodes, settings.servers, name, rate.mean_bytes,
                        rate.busiest_bytes, rate.mean_messages, static_cast<long long>(result.largest_heap));
        };
        for (const kind_name& each : kind_names) {
            print(each.name, rate_of_kind(result, each.kind));
        }
        print("all", total_rate(result));
    }
    return 0;
}

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    fleet_settings settings;
    settings.nodes = static_cast<std::size_t>(arguments["--nodes"].asLong());
    settings.servers = static_cast<std::size_t>(arguments["--servers"].asLong());
    settings.length = std::chrono::seconds{arguments["--seconds"].asLong()};
    settings.seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    // The default rate is that of a fleet of 340 nodes.
    settings.requests_per_second *= static_cast<double>(settings.nodes) / 340;
    return arguments["--csv"].asBool() ? run_csv(settings) : run_bounded(settings);
}
