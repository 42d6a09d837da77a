// The requests that wait on this VM until a server of their service has room: when they are tried again, and what is
// known of how long requests of a service take.
#pragma once

#include <agatespar/gateway/queueing_servers.h>
#include <agatespar/gateway/recent_times.h>
#include <agatespar/gateway/service_map.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/routing/waiting_queue.h>
#include <agatespar/support/ids.h>
#include <agatespar/telemetry/metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace agatespar {

/// @return whether requests wait for room instead of being refused at once: the configuration gives priorities that
/// differ between routes or client accounts, or servers report how long work takes on them at present.
bool uses_waiting_queue(const service_map& map, bool servers_report_speed);

/// What happens with a request that waits. Both are called from the event loop.
struct waiting_callbacks {
    /// Sends the request if a server has room. @return whether it was sent or has ended.
    std::function<bool()> try_start;
    /// Refuses the request, which has left the queue. @param retry_after nothing if it is not known.
    std::function<void(const char* reason, std::optional<std::chrono::milliseconds> retry_after)> refuse;
};

/// Typical times of attempts.
struct typical_times {
    /// From the send until the answer begins, and until it is complete.
    duration first_byte{0};
    duration run{0};
};

/// A period in which requests of a service wait, for its log lines.
struct queueing_period {
    steady_time began_at;
    /// When the queue was last empty; nothing while requests wait.
    std::optional<steady_time> empty_since;
    std::uint64_t entered{0};
    std::uint64_t sent{0};
    std::uint64_t refused{0};
    duration longest_wait{0};
};
class service_queues {
public:
    service_queues(event_loop& loop, metrics_registry& metrics, std::uint64_t seed);
    service_queues(const service_queues&) = delete;
    service_queues& operator=(const service_queues&) = delete;
    ~service_queues();

    /// Adds a request, or refuses it by its callback. One that is less urgent may be refused in its place, from the
    /// event loop.
    /// @param request its ticket is set by this function.
    /// @return the ticket, or nothing if the request was refused.
    std::optional<queue_ticket> enter(const service_name& service, queued_request request, waiting_callbacks callbacks);
    /// Removes a request that has been sent, has ended or was abandoned.
    /// @return how long it has waited.
    duration leave(const service_name& service, queue_ticket ticket, const char* outcome);
    /// @param need see queued_request. @return whether a request of the service with the same needs waits and may be
    /// sent now, so that a new one must not be sent before it.
    bool has_waiting(const service_name& service, std::uint64_t need) const;

    void on_attempt_started(const service_name& service, int priority, std::uint64_t account);
    /// @param times of the attempt; nothing if the server did not run the request.
    void on_attempt_ended(const service_name& service, const route_name& route, std::optional<typical_times> times);
    /// Tries the waiting requests of the service again soon: a server may have room.
    void on_room(const service_name& service);
    /// Records that a server refused a request with proof of not having run it.
    void note_refusal(const server_name& server, std::uint32_t queue_length);
    std::optional<refused_queue_length> refusal_of(const server_name& server) const;
    /// @return typical times of requests of a route; half of its goal while none are known.
    typical_times times_of(const service_name& service, const service_route& route) const;

    /// Refuses all that wait and all that come later: the VM stops.
    void stop();

private:
    struct entry {
        waiting_callbacks callbacks;
        steady_time entered_at;
    };
    struct route_times {
        recent_times first_byte;
        recent_times run;
    };
    struct service_queue {
        waiting_queue order;
        std::map<queue_ticket, entry> entries;
        /// Displaced requests that have not been refused yet.
        std::vector<queue_ticket> displaced;
        std::map<route_name, route_times> times;
        recent_times run;
        start_rate ends{std::chrono::seconds{2}};
        std::uint32_t running{0};
        std::optional<queueing_period> period;
    };

    double places_per_second(const service_queue& queue) const;
    void refuse(const service_name& service, queue_ticket ticket, const char* reason,
                std::optional<std::chrono::milliseconds> retry_after);
    void count_refusal(const service_name& service, std::string_view reason);
    void schedule_retry(duration delay);
    void post_retry();
    void retry_all();
    void retry_service(const service_name& service, service_queue& queue);
    void begin_period(const service_name& service, service_queue& queue);
    void end_idle_period(const service_name& service, service_queue& queue);
    std::optional<std::chrono::milliseconds> spread(std::optional<std::chrono::milliseconds> time);
    void show_waiting(const service_name& service, const service_queue& queue);

    event_loop& loop_;
    metrics_registry& metrics_;
    std::mt19937_64 random_;
    std::map<service_name, service_queue> queues_;
    std::map<server_name, refused_queue_length> refusals_;
    std::uint64_t last_ticket_{0};
    std::optional<timer_id> timer_;
    steady_time timer_due_;
    std::optional<timer_id> posted_;
    bool stopping_{false};
};

} // namespace agatespar
