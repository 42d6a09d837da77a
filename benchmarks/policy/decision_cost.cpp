// Measures the cost of one routing decision at the design size: allocations, evaluated servers, accessed bytes and
// time.
#include <agatespar/routing/decision.h>
#include <agatespar/routing/view.h>
#include <agatespar/support/hash.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>

using namespace agatespar;

// Number of allocations, counted by the replaced global operator new below.
static std::size_t allocations = 0;

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc{};
}
void operator delete(void* memory) noexcept
{
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

static constexpr int versions = 11;
static constexpr int decisions = 20000;

namespace {

/// The cost of many decisions: totals of `allocations` and `refused`, otherwise the maximum or the mean of a decision.
struct decision_cost {
    std::size_t allocations{0};
    std::size_t max_evaluated{0};
    double mean_evaluated{0};
    double bytes{0};
    double microseconds{0};
    int refused{0};
};

/// The load of the servers of the zone.
enum class server_state { idle, mostly_full, all_full };

} // namespace

static routing_view view_of(int servers, int zones, server_state state)
{
    routing_view view;
    view.weights.push_back({});
    view.zones.resize(static_cast<std::size_t>(zones));
    for (int i = 0; i < versions; ++i) {
        version_view version;
        version.model = model_index{static_cast<std::uint8_t>(i / 2)};
        version.share = i % 2 == 0 ? 0.9 : 0.1;
        version.cost_per_1k_tokens = 1 + i;
        version.prefill_tokens_per_s = 8000;
        version.decode_ms_per_token = 10;
        version.decode_slope = 1.2;
        view.versions.push_back(version);
    }
    for (int i = 0; i < servers; ++i) {
        server_view server;
        server.version = version_index{static_cast<std::uint8_t>(i % versions)};
        server.limit = server.slots = 16;
        const bool full = state == server_state::all_full || (state == server_state::mostly_full && i % 29 != 0);
        server.reported_running = full ? std::uint16_t{16} : static_cast<std::uint16_t>(i % 12);
        server.permits = state == server_state::all_full ? 0 : UINT16_MAX;
        view.servers.push_back(server);
    }
    index_servers(view);
    return view;
}

static decision_cost measure(int servers, int zones, server_state state)
{
    routing_view view = view_of(servers, zones, state);
    std::mt19937_64 random{5};
    const steady_time now{std::chrono::hours{1}};
    for (std::uint64_t i = 1; i <= 2000; ++i) {
        const auto server = static_cast<std::uint16_t>(random() % static_cast<std::uint64_t>(servers));
        view.prefixes.insert_prefix(i, server_index{server}, 500, now);
    }
    route_request request;
    for (int i = 0; i < versions; ++i)
        request.allowed.set(static_cast<std::size_t>(i));
    request.prompt_tokens = 700;
    request.expected_output_tokens = 180;
    request.deadline = now + std::chrono::seconds{30};
    request.streamed = true;

    decision_cost cost;
    explanation explained;
    const std::size_t before = allocations;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t i = 1; i <= decisions; ++i) {
        request.session_hash = combine_hashes(i, 3);
        request.prefixes.count = 0;
        request.prefixes.push({i % 2500 + 1, 400});
        const outcome<decision> result = decide(view, request, now, random, &explained);
        cost.refused += result ? 0 : 1;
        cost.max_evaluated = std::max<std::size_t>(cost.max_evaluated, explained.evaluated);
        cost.mean_evaluated += static_cast<double>(explained.evaluated) / decisions;
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
    cost.allocations = allocations - before;
    cost.microseconds = time.count() / decisions;
    cost.bytes = cost.mean_evaluated * sizeof(server_view) + versions * sizeof(version_view) +
                 static_cast<double>(zones) * sizeof(zone_view) + sizeof(explanation) + sizeof(route_request);
    return cost;
}

/// Measures and prints one line. @return whether the decisions allocated nothing and stayed within `max_evaluated`.
static bool report(const char* state_name, server_state state, int servers, int zones, std::size_t max_evaluated)
{
    const decision_cost cost = measure(servers, zones, state);
    const bool ok = cost.allocations == 0 && cost.max_evaluated <= max_evaluated;
    std::printf("%-12s %4d servers %3d zones: %zu allocations, %.1f servers evaluated (max. %zu, bound %zu), "
                "%.0f bytes accessed, %.2f us, %d refused: %s\n",
                state_name, servers, zones, cost.allocations, cost.mean_evaluated, cost.max_evaluated, max_evaluated,
                cost.bytes, cost.microseconds, cost.refused, ok ? "ok" : "MISSED");
    return ok;
}

int main()
{
    bool ok = true;
    // The cost is at most linear: a decision searches up to three times, among the preferred versions, the fallback
    // versions, and the preferred versions including full servers. Each search evaluates every server of the zone once,
    // plus a constant number of randomly drawn servers.
    constexpr std::size_t drawn = 3 * versions * 8;
    for (const int servers : {40, 80, 160, 320}) {
        const auto linear = 3 * static_cast<std::size_t>(servers) + drawn;
        ok = report("idle", server_state::idle, servers, 5, drawn) && ok;
        ok = report("mostly full", server_state::mostly_full, servers, 5, linear) && ok;
        ok = report("all full", server_state::all_full, servers, 5, linear) && ok;
    }
    // Eight times as many servers may cost at most eight times as much.
    for (const server_state state : {server_state::idle, server_state::mostly_full, server_state::all_full}) {
        const double growth = measure(320, 5, state).mean_evaluated / measure(40, 5, state).mean_evaluated;
        std::printf("servers evaluated, 320 over 40 servers: %.2f (bound 8): %s\n", growth,
                    growth <= 8 ? "ok" : "MISSED");
        ok = ok && growth <= 8;
    }
    // Each other zone is one summary in the view, whatever its number of servers, and adds no evaluated server.
    const std::size_t single_zone = measure(320, 1, server_state::mostly_full).max_evaluated;
    ok = report("mostly full", server_state::mostly_full, 320, 10, single_zone) && ok;
    return ok ? 0 : 1;
}
