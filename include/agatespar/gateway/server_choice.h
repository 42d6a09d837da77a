// Which server gets a request: a pure function over what is known of the servers.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace agatespar {

/// A server that may take the request.
struct server_option {
    /// Running and waiting requests, estimated.
    std::uint32_t load{0};
    std::uint32_t slots{0};
    /// Prompts that it has to read before a new one, in requests that would delay a new one as much.
    double backlog{0};
    /// It failed lately.
    bool avoided{false};
    /// Rendezvous weight for the part of the prompt that the request shares with others; equal on all VMs.
    std::uint64_t prompt_weight{0};
};

struct choice_settings {
    /// A server keeps its prompts' requests until its load is this many times the mean: consistent hashing with
    /// bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016).
    double load_bound{1.25};
    /// Requests above the bound that do no harm, so that small counts don't scatter prompts.
    double load_slack{4};
};

/// @param follow_prompt whether to prefer the server with the highest prompt weight.
/// @return the place of the chosen option, or nothing if there is none with a free place.
std::optional<std::size_t> choose_server(std::span<const server_option> options, bool follow_prompt,
                                         const choice_settings& settings, std::mt19937_64& random);

} // namespace agatespar
