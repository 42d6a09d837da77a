// Selects the server for a request: a function of the servers' known state and a random generator, without side
// effects.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace agatespar {

/// A server that may be chosen for the request.
struct server_option {
    /// Estimated number of running and waiting requests.
    std::uint32_t load{0};
    std::uint32_t slots{0};
    /// Prompt processing that is queued before a new request, in units of running requests that would delay it as much.
    double backlog{0};
    /// Whether the server, or its zone, is avoided because of recent failures.
    bool avoided{false};
    /// Rendezvous hashing weight of the server for the prompt prefix that the request shares with others; equal on all
    /// VMs.
    std::uint64_t prompt_weight{0};
    /// How long work takes at the server at present, relative to the usual time. Servers that do not say count as 1.
    double slowness{1};
};

struct choice_settings {
    /// A server gets the requests of its prompts until its load is this many times the mean: consistent hashing with
    /// bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016).
    double load_bound{1.25};
    /// Requests allowed on top of the bound, so that small loads do not scatter the requests of one prompt over several
    /// servers.
    double load_slack{4};
};

/// @param prefer_prompt_affinity whether to prefer the server with the highest prompt weight.
/// @return the index of the chosen option, or nothing if no option has a free slot.
std::optional<std::size_t> choose_server(std::span<const server_option> options, bool prefer_prompt_affinity,
                                         const choice_settings& settings, std::mt19937_64& random);

} // namespace agatespar
