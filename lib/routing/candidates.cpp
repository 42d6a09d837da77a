// Filters and scores the candidate servers of one routing decision and selects the best one.
#include "candidates.h"

#include <agatespar/routing/prediction.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <span>

namespace agatespar {

// Servers of a version that are drawn at random, in addition to those with prefix or session affinity.
static constexpr std::size_t random_sample_size = 3;
static constexpr std::size_t max_evaluated_servers = 16;

namespace {

/// The reference values for normalising scores, the servers of the current version evaluated so far, and the best
/// candidate so far.
struct search_state {
    double worst_cost{0};
    double worst_total_ms{0};
    best_candidate result;
    inline_list<server_index, max_evaluated_servers> evaluated_servers;
};

} // namespace

/// @return why the server is not a candidate, or std::nullopt if it is one.
static std::optional<filter_reason> find_filter_reason(const candidate_search& search, server_index index)
{
    const server_view& server = search.view.servers[index.value()];
    if (!server.healthy)
        return filter_reason::server_unhealthy;
    if (server.leaving)
        return filter_reason::server_leaving;
    if (search.request.excluded.contains(index))
        return filter_reason::server_already_tried;
    if (server.limit == 0)
        return filter_reason::server_full;
    if (server.permits == 0)
        return filter_reason::server_no_permit;
    const std::uint32_t running = estimated_running(server);
    if (search.request.must_run_alone && running > 0)
        return filter_reason::server_not_idle;
    if (search.full == full_servers::excluded && running >= server.limit)
        return filter_reason::server_full;
    return std::nullopt;
}

/// Inserts the candidate into the sorted list of the best ones if its score is good enough.
static void insert_if_among_best(explanation& explained, const scored_candidate& candidate)
{
    auto& top = explained.top;
    const bool fitted = top.push(candidate);
    if (!fitted) {
        if (candidate.score >= top.items[top.count - 1U].score)
            return;
        top.items[top.count - 1U] = candidate;
    }
    for (std::size_t i = top.count - 1U; i > 0 && top.items[i].score < top.items[i - 1].score; --i)
        std::swap(top.items[i], top.items[i - 1]);
}

/// Filters and scores one server. @return true if it is a candidate, false if it was filtered or already evaluated.
static bool evaluate_server(const candidate_search& search, search_state& state, server_index server,
                            std::uint32_t cached_tokens)
{
    if (state.evaluated_servers.contains(server))
        return false;
    state.evaluated_servers.push(server);
    ++search.explained.evaluated;
    if (const auto reason = find_filter_reason(search, server)) {
        ++search.explained.count_of(*reason);
        return false;
    }
    scored_candidate candidate = predict(search.view, server, search.request, cached_tokens);
    const std::chrono::duration<double, std::milli> remaining = search.request.deadline - search.now;
    if (candidate.first_token_ms > remaining.count() ||
        search.latency_factor * candidate.total_ms > remaining.count()) {
        ++search.explained.count_of(filter_reason::predicted_past_deadline);
        return false;
    }
    candidate.score =
        score(search.view, search.request, candidate, {state.worst_cost, state.worst_total_ms, remaining.count()});
    insert_if_among_best(search.explained, candidate);
    ++state.result.scored;
    if (!state.result.best || candidate.score < state.result.best->score)
        state.result.best = candidate;
    return true;
}

static std::span<const server_index> servers_of(const routing_view& view, std::size_t version)
{
    const std::size_t first = view.version_start[version];
    return {view.by_version.data() + first, view.version_start[version + 1] - first};
}

/// Evaluates the version's servers that have a prefix of the prompt in their cache. @return the number of candidates
/// among them.
static std::size_t evaluate_prefix_holders(const candidate_search& search, search_state& state, std::size_t version)
{
    std::size_t found = 0;
    for (const prompt_prefix& prefix : search.request.prefixes) {
        const prefix_holders holders = search.view.prefixes.find(prefix.hash, search.now);
        for (std::size_t i = 0; i < holders.count; ++i) {
            const prefix_holder& holder = holders.items[i];
            if (holder.server.value() < search.view.servers.size() &&
                search.view.servers[holder.server.value()].version.value() == version)
                found += evaluate_server(search, state, holder.server, std::min(holder.tokens, prefix.tokens)) ? 1 : 0;
        }
    }
    return found;
}

/// Evaluates a sample of the version's servers, as described for find_best().
static void evaluate_version(const candidate_search& search, search_state& state, std::size_t version)
{
    const std::span<const server_index> servers = servers_of(search.view, version);
    if (servers.empty())
        return;
    state.evaluated_servers.count = 0;
    std::size_t found = evaluate_prefix_holders(search, state, version);
    if (search.request.session_hash != 0) {
        const std::uint64_t affinity_position = combine_hashes(search.request.session_hash, version) % servers.size();
        found += evaluate_server(search, state, servers[affinity_position], 0) ? 1 : 0;
    }
    std::uniform_int_distribution<std::size_t> random_position{0, servers.size() - 1};
    for (std::size_t i = 0; i < random_sample_size; ++i)
        found += evaluate_server(search, state, servers[random_position(search.random)], 0) ? 1 : 0;
    if (found > 0)
        return;
    const std::size_t start = random_position(search.random);
    for (std::size_t i = 0; i < servers.size() && found < random_sample_size; ++i)
        found += evaluate_server(search, state, servers[(start + i) % servers.size()], 0) ? 1 : 0;
}

best_candidate find_best(const candidate_search& search, const version_set& versions)
{
    search_state state;
    for (std::size_t i = 0; i < search.view.versions.size(); ++i) {
        if (!versions[i])
            continue;
        const version_view& version = search.view.versions[i];
        state.worst_cost = std::max(state.worst_cost, attempt_cost(version, search.request));
        state.worst_total_ms = std::max(state.worst_total_ms, unloaded_total_ms(version, search.request));
    }
    for (std::size_t i = 0; i < search.view.versions.size(); ++i) {
        if (versions[i])
            evaluate_version(search, state, i);
    }
    return state.result;
}

} // namespace agatespar
