// Chooses a server that queues requests itself, when no server has a free slot.
#pragma once

#include <agatespar/gateway/protocol.h>
#include <agatespar/support/clock.h>

#include <cstdint>
#include <optional>
#include <span>

namespace agatespar {

/// How many requests beyond its slots a server was seen to refuse with proof of not having run them.
struct refused_queue_length {
    std::uint32_t length{0};
    steady_time seen_at;
};

/// A server without a free slot that may be sent a request nevertheless.
struct queueing_option {
    /// Estimated number of running and waiting requests.
    std::uint32_t load{0};
    std::uint32_t slots{0};
    /// The server reports its load, so that its queue can be estimated.
    bool reports_load{false};
    bool avoided{false};
    std::optional<refused_queue_length> refused;
};

/// @return how many requests beyond its slots a server had when it refused one with proof.
/// @param reported load in the refusal. @param estimated load otherwise, without the refused request.
std::uint32_t queue_length_at_refusal(const std::optional<reported_load>& reported, std::uint32_t estimated,
                                      std::uint32_t slots);

/// @return the number of requests that the server may have beyond its slots.
std::uint32_t max_queue_length(const queueing_option& option, steady_time now);

/// @return the expected wait of a new request at the server: the time until those that it has now have ended.
/// @param run_time typical time that a request of the service takes.
duration expected_server_wait(const queueing_option& option, duration run_time);

/// @param time_for_wait how long the request may wait at the server and still be answered within its route's goal.
/// @return the index of the option with the shortest expected wait, or nothing if none is short enough.
std::optional<std::size_t> choose_queueing_server(std::span<const queueing_option> options, duration run_time,
                                                  duration time_for_wait, steady_time now);

} // namespace agatespar
