// Requests of one prompt go to the same server as long as its load is within the bound; other requests go to the less
// loaded of two random servers.
#include <agatespar/gateway/server_choice.h>

#include <algorithm>
#include <vector>

namespace agatespar {

static double utilization(const server_option& option, double added_load = 0)
{
    return (option.load + option.backlog + added_load) / std::max(1U, option.slots);
}

/// @return whether a new request is better sent to the first server than to the second.
static bool is_preferable(const server_option& one, const server_option& other)
{
    if (one.slowness == other.slowness) {
        return utilization(one) < utilization(other);
    }
    // The request itself counts too; otherwise an idle server would be preferred however slow it is.
    return utilization(one, 1) * one.slowness < utilization(other, 1) * other.slowness;
}

/// @return the indices of the options that have a free slot and are not avoided; if there are none, of all those with a
/// free slot.
static std::vector<std::size_t> usable_options(std::span<const server_option> options)
{
    std::vector<std::size_t> preferred;
    std::vector<std::size_t> avoided;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (options[i].load >= options[i].slots) {
            continue;
        }
        (options[i].avoided ? avoided : preferred).push_back(i);
    }
    return preferred.empty() ? avoided : preferred;
}

static std::size_t least_loaded_of_two(std::span<const server_option> options, const std::vector<std::size_t>& usable,
                                       std::mt19937_64& random)
{
    // Two random choices prevent VMs with the same outdated reports from all choosing the same server (Mitzenmacher,
    // 2001).
    std::uniform_int_distribution<std::size_t> any{0, usable.size() - 1};
    const std::size_t first = usable[any(random)];
    const std::size_t second = usable[any(random)];
    return is_preferable(options[second], options[first]) ? second : first;
}

std::optional<std::size_t> choose_server(std::span<const server_option> options, bool prefer_prompt_affinity,
                                         const choice_settings& settings, std::mt19937_64& random)
{
    const std::vector<std::size_t> usable = usable_options(options);
    if (usable.empty()) {
        return std::nullopt;
    }
    if (!prefer_prompt_affinity) {
        return least_loaded_of_two(options, usable, random);
    }
    double loads = 0;
    double slots = 0;
    for (const std::size_t i : usable) {
        loads += options[i].load + options[i].backlog;
        slots += options[i].slots / options[i].slowness;
    }
    const double mean_utilization = loads / std::max(1.0, slots);
    std::optional<std::size_t> best;
    for (const std::size_t i : usable) {
        const double bound = settings.load_bound * mean_utilization * options[i].slots + settings.load_slack;
        // A slow server counts as one with more load.
        if ((options[i].load + options[i].backlog) * options[i].slowness <= bound &&
            (!best || options[i].prompt_weight > options[*best].prompt_weight)) {
            best = i;
        }
    }
    return best ? best : least_loaded_of_two(options, usable, random);
}

} // namespace agatespar
