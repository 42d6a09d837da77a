// Use of servers beyond their slots, within what their reports and refusals say of their queues.
#include <agatespar/gateway/queueing_servers.h>

#include <algorithm>

namespace agatespar {

// Without a refusal that shows a server's own limit, it gets this part of its slots beyond them, at least one: several
// VMs with the same report may choose it at the same time, and a request that waits on its VM keeps its place in the
// order and costs no send.
static constexpr std::uint32_t queue_slots_divisor = 4;
// A refusal says something about the server's queue for this long; then one more request may find out.
static constexpr std::chrono::seconds refusal_lifetime{5};

std::uint32_t queue_length_at_refusal(const std::optional<reported_load>& reported, std::uint32_t estimated,
                                      std::uint32_t slots)
{
    const std::uint32_t load = reported ? reported->running + reported->waiting : estimated;
    return load > slots ? load - slots : 0;
}

std::uint32_t max_queue_length(const queueing_option& option, steady_time now)
{
    if (!option.reports_load) {
        return 0;
    }
    const std::uint32_t usual = std::max(1U, option.slots / queue_slots_divisor);
    const bool is_known = option.refused && now - option.refused->seen_at < refusal_lifetime;
    return is_known ? std::min(usual, option.refused->length) : usual;
}

duration expected_server_wait(const queueing_option& option, duration run_time)
{
    const double turns = static_cast<double>(option.load) / std::max(1U, option.slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(run_time) * turns);
}

std::optional<std::size_t> choose_queueing_server(std::span<const queueing_option> options, duration run_time,
                                                  duration time_for_wait, steady_time now)
{
    std::optional<std::size_t> best;
    duration best_wait = time_for_wait;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const queueing_option& option = options[i];
        const duration wait = expected_server_wait(option, run_time);
        // A limit of n refused requests means that n - 1 beyond the slots were accepted.
        const bool has_room = option.load < option.slots + max_queue_length(option, now);
        if (!option.avoided && has_room && wait <= best_wait && (!best || wait < best_wait)) {
            best = i;
            best_wait = wait;
        }
    }
    return best;
}

} // namespace agatespar
