// The candidates of one decision: filtered, scored, and the best of them.
#include "candidates.h"

#include <agatespar/routing/prediction.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <span>

namespace agatespar {

// How many servers of a version are drawn at random beside the ones with affinity.
static constexpr std::size_t random_choices = 3;
static constexpr std::size_t max_looked_at = 16;

namespace {

/// The scales to which scores relate, and the search's result so far.
struct scoring {
    double worst_cost{0};
    double worst_total_ms{0};
    best_candidate result;
    inline_list<server_index, max_looked_at> looked_at;
};

} // namespace

static std::optional<filter_reason> filtered_by(const candidate_search& search, server_index index)
{
    const server_view& server = search.view.servers[index.value()];
    if (!server.healthy)
        return filter_reason::server_unhealthy;
    if (server.leaving)
        return filter_reason::server_leaving;
    if (search.request.excluded.contains(index))
        return filter_reason::server_tried;
    if (server.limit == 0)
        return filter_reason::server_full;
    if (server.permits == 0)
        return filter_reason::server_no_permit;
    const std::uint32_t running = estimated_running(server);
    if (search.request.must_run_alone && running > 0)
        return filter_reason::server_not_alone;
    if (search.full == full_servers::excluded && running >= server.limit)
        return filter_reason::server_full;
    return std::nullopt;
}

static void keep_if_among_best(explanation& explained, const scored_candidate& candidate)
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

/// @return whether the server is a candidate.
static bool look_at(const candidate_search& search, scoring& state, server_index server, std::uint32_t cached_tokens)
{
    if (state.looked_at.contains(server))
        return false;
    state.looked_at.push(server);
    ++search.explained.evaluated;
    if (const auto reason = filtered_by(search, server)) {
        ++search.explained.count_of(*reason);
        return false;
    }
    scored_candidate candidate = predict(search.view, server, search.request, cached_tokens);
    const std::chrono::duration<double, std::milli> left = search.request.deadline - search.now;
    if (candidate.first_token_ms > left.count() || search.tail_allowance * candidate.total_ms > left.count()) {
        ++search.explained.count_of(filter_reason::predicted_too_late);
        return false;
    }
    candidate.score =
        score(search.view, search.request, candidate, {state.worst_cost, state.worst_total_ms, left.count()});
    keep_if_among_best(search.explained, candidate);
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

/// @return how many of the looked-at servers are candidates.
static std::size_t look_at_prefix_holders(const candidate_search& search, scoring& state, std::size_t version)
{
    std::size_t found = 0;
    for (const prompt_prefix& prefix : search.request.prefixes) {
        const prefix_holders holders = search.view.prefixes.find(prefix.hash, search.now);
        for (std::size_t i = 0; i < holders.count; ++i) {
            const prefix_holder& holder = holders.items[i];
            if (holder.server.value() < search.view.servers.size() &&
                search.view.servers[holder.server.value()].version.value() == version)
                found += look_at(search, state, holder.server, std::min(holder.tokens, prefix.tokens)) ? 1 : 0;
        }
    }
    return found;
}

static void look_at_version(const candidate_search& search, scoring& state, std::size_t version)
{
    const std::span<const server_index> servers = servers_of(search.view, version);
    if (servers.empty())
        return;
    state.looked_at.count = 0;
    std::size_t found = look_at_prefix_holders(search, state, version);
    if (search.request.session_hash != 0) {
        const std::uint64_t home = combine_hashes(search.request.session_hash, version) % servers.size();
        found += look_at(search, state, servers[home], 0) ? 1 : 0;
    }
    std::uniform_int_distribution<std::size_t> draw{0, servers.size() - 1};
    for (std::size_t i = 0; i < random_choices; ++i)
        found += look_at(search, state, servers[draw(search.random)], 0) ? 1 : 0;
    if (found > 0)
        return;
    const std::size_t start = draw(search.random);
    for (std::size_t i = 0; i < servers.size() && found < random_choices; ++i)
        found += look_at(search, state, servers[(start + i) % servers.size()], 0) ? 1 : 0;
}

best_candidate find_best(const candidate_search& search, const version_set& versions)
{
    scoring state;
    for (std::size_t i = 0; i < search.view.versions.size(); ++i) {
        if (!versions[i])
            continue;
        const version_view& version = search.view.versions[i];
        state.worst_cost = std::max(state.worst_cost, attempt_cost(version, search.request));
        state.worst_total_ms = std::max(state.worst_total_ms, unloaded_total_ms(version, search.request));
    }
    for (std::size_t i = 0; i < search.view.versions.size(); ++i) {
        if (versions[i])
            look_at_version(search, state, i);
    }
    return state.result;
}

} // namespace agatespar
