// Holds requests until a server has room, in the order that waiting_queue decides.
#include <agatespar/gateway/service_queues.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <set>
#include <utility>

namespace agatespar {

// Load estimates decay with time alone, so waiting requests are tried again at this interval even if nothing happens.
static constexpr std::chrono::milliseconds retry_interval{25};
// A period of queueing ends when no request has waited for this long, so that a queue that fills and empties many times
// a second gives two log lines in all.
static constexpr std::chrono::milliseconds period_end_delay{1000};
// Until an attempt of a route has ended, requests are assumed to take this part of its goal.
static constexpr int assumed_goal_divisor = 2;
static constexpr std::chrono::milliseconds default_goal{1000};
static constexpr std::size_t max_refusals = 4096;

bool uses_waiting_queue(const service_map& map, bool servers_report_speed)
{
    if (servers_report_speed) {
        return true;
    }
    std::set<int> priorities;
    for (const service_route& route : map.routes) {
        priorities.insert(route.priority);
    }
    for (const auto& [key, owner] : map.keys) {
        if (owner.priority) {
            priorities.insert(*owner.priority);
        }
    }
    return priorities.size() > 1;
}

service_queues::service_queues(event_loop& loop, metrics_registry& metrics, std::uint64_t seed)
    : loop_(loop), metrics_(metrics), random_(seed)
{
}

service_queues::~service_queues()
{
    for (const auto& timer : {timer_, posted_}) {
        if (timer) {
            loop_.cancel(*timer);
        }
    }
}

// While requests wait, places become free as attempts of this VM end. The number of running attempts over their typical
// time gives that rate (Little's law) also when few have ended lately.
double service_queues::places_per_second(const service_queue& queue) const
{
    const double ended = queue.ends.per_second(loop_.time().now());
    const auto run = median(queue.run.times);
    if (!run || run->count() <= 0) {
        return ended;
    }
    return std::max(ended, queue.running / std::chrono::duration<double>(*run).count());
}

std::optional<std::chrono::milliseconds> service_queues::spread(std::optional<std::chrono::milliseconds> time)
{
    if (!time) {
        return std::nullopt;
    }
    return spread_retry_after(*time, std::uniform_real_distribution<double>{}(random_));
}

void service_queues::count_refusal(const service_name& service, std::string_view reason)
{
    metrics_
        .make_counter("agatespar_wait_refusals_total", "Requests refused instead of waiting (further), by reason.",
                      {{"service", service.value()}, {"reason", std::string{reason}}})
        .add();
}

void service_queues::show_waiting(const service_name& service, const service_queue& queue)
{
    metrics_
        .make_gauge("agatespar_waiting_requests", "Requests that wait until a server has room.",
                    {{"service", service.value()}})
        .set(static_cast<double>(queue.entries.size()));
}

bool service_queues::has_waiting(const service_name& service, std::uint64_t need) const
{
    const auto known = queues_.find(service);
    if (known == queues_.end()) {
        return false;
    }
    const auto& waiting = known->second.order.waiting();
    return std::any_of(waiting.begin(), waiting.end(), [need, now = loop_.time().now()](const queued_request& request) {
        return request.need == need && request.not_before <= now;
    });
}

std::optional<queue_ticket> service_queues::enter(const service_name& service, queued_request request,
                                                  waiting_callbacks callbacks)
{
    service_queue& queue = queues_[service];
    const steady_time now = loop_.time().now();
    if (stopping_) {
        count_refusal(service, "stop");
        callbacks.refuse("this VM stops", std::nullopt);
        return std::nullopt;
    }
    request.ticket = queue_ticket{++last_ticket_};
    const double rate = places_per_second(queue);
    const queue_verdict verdict = queue.order.admit(request, rate, now);
    if (verdict.displaced) {
        // Refused later, as the next request of its client may enter the queue within that call.
        queue.displaced.push_back(*verdict.displaced);
        post_retry();
    }
    if (verdict.refused) {
        count_refusal(service, name_of(*verdict.refused));
        callbacks.refuse("no server has room", rate > 0 ? spread(verdict.retry_after) : std::nullopt);
        return std::nullopt;
    }
    queue.entries.emplace(request.ticket, entry{std::move(callbacks), now});
    begin_period(service, queue);
    show_waiting(service, queue);
    schedule_retry(retry_interval);
    return request.ticket;
}

duration service_queues::leave(const service_name& service, queue_ticket ticket, const char* outcome)
{
    service_queue& queue = queues_[service];
    const auto found = queue.entries.find(ticket);
    if (found == queue.entries.end()) {
        return {};
    }
    const steady_time now = loop_.time().now();
    const duration waited = now - found->second.entered_at;
    queue.order.remove(ticket);
    queue.entries.erase(found);
    show_waiting(service, queue);
    metrics_
        .make_histogram("agatespar_wait_seconds", "Time that requests waited for room, by outcome.", latency_bounds(),
                        {{"service", service.value()}, {"outcome", outcome}})
        .record(std::chrono::duration<double>(waited).count());
    if (queue.period) {
        queue.period->longest_wait = std::max(queue.period->longest_wait, waited);
        queue.period->sent += outcome == std::string_view{"sent"} ? 1 : 0;
        if (queue.entries.empty()) {
            queue.period->empty_since = now;
        }
    }
    return waited;
}

void service_queues::refuse(const service_name& service, queue_ticket ticket, const char* reason,
                            std::optional<std::chrono::milliseconds> retry_after)
{
    service_queue& queue = queues_[service];
    const auto found = queue.entries.find(ticket);
    if (found == queue.entries.end()) {
        return;
    }
    // The callback ends the request, which leaves the queue.
    const auto callback = found->second.callbacks.refuse;
    count_refusal(service, reason);
    if (queue.period) {
        ++queue.period->refused;
    }
    callback(reason == std::string_view{"stop"} ? "this VM stops" : "no server has room", spread(retry_after));
}

void service_queues::on_attempt_started(const service_name& service, int priority, std::uint64_t account)
{
    service_queue& queue = queues_[service];
    ++queue.running;
    queue.order.on_started(priority, account, loop_.time().now());
}

void service_queues::on_attempt_ended(const service_name& service, const route_name& route,
                                      std::optional<typical_times> times)
{
    service_queue& queue = queues_[service];
    queue.running -= std::min(queue.running, 1U);
    if (times) {
        note_time(queue.times[route].first_byte, times->first_byte);
        note_time(queue.times[route].run, times->run);
        note_time(queue.run, times->run);
        queue.ends.count(loop_.time().now());
    }
    on_room(service);
}

void service_queues::on_room(const service_name& service)
{
    const auto known = queues_.find(service);
    if (known != queues_.end() && !known->second.entries.empty()) {
        post_retry();
    }
}

// Posted, as the caller may be a callback of the attempt that ends.
void service_queues::post_retry()
{
    if (!posted_) {
        posted_ = loop_.post([this] {
            posted_.reset();
            retry_all();
        });
    }
}

void service_queues::note_refusal(const server_name& server, std::uint32_t queue_length)
{
    if (refusals_.size() >= max_refusals) {
        refusals_.clear();
    }
    refusals_[server] = {queue_length, loop_.time().now()};
}

std::optional<refused_queue_length> service_queues::refusal_of(const server_name& server) const
{
    const auto known = refusals_.find(server);
    return known == refusals_.end() ? std::nullopt : std::optional{known->second};
}

typical_times service_queues::times_of(const service_name& service, const service_route& route) const
{
    const duration goal = route.goal.count() > 0 ? route.goal : default_goal;
    const duration assumed = goal / assumed_goal_divisor;
    const auto queue = queues_.find(service);
    if (queue == queues_.end()) {
        return {assumed, assumed};
    }
    const auto known = queue->second.times.find(route.name);
    if (known == queue->second.times.end()) {
        return {assumed, assumed};
    }
    return {median(known->second.first_byte.times).value_or(assumed),
            median(known->second.run.times).value_or(assumed)};
}

void service_queues::schedule_retry(duration delay)
{
    const steady_time due = loop_.time().now() + delay;
    if (timer_ && timer_due_ <= due) {
        return;
    }
    if (timer_) {
        loop_.cancel(*timer_);
    }
    timer_due_ = due;
    timer_ = loop_.schedule(delay, [this] {
        timer_.reset();
        retry_all();
    });
}

void service_queues::retry_all()
{
    bool any_waits = false;
    bool any_period = false;
    for (auto& [service, queue] : queues_) {
        retry_service(service, queue);
        end_idle_period(service, queue);
        any_waits = any_waits || !queue.entries.empty();
        any_period = any_period || queue.period.has_value();
    }
    if (any_waits || any_period) {
        schedule_retry(any_waits ? retry_interval : period_end_delay);
    }
}

void service_queues::retry_service(const service_name& service, service_queue& queue)
{
    for (const queue_ticket ticket : std::exchange(queue.displaced, {})) {
        refuse(service, ticket, "displaced", queue.order.time_to_empty(places_per_second(queue)));
    }
    std::vector<std::uint64_t> full_needs;
    while (const auto ticket = queue.order.next(full_needs, loop_.time().now())) {
        const auto& waiting = queue.order.waiting();
        const auto tried = std::find_if(waiting.begin(), waiting.end(),
                                        [&](const queued_request& each) { return each.ticket == *ticket; });
        const std::uint64_t need = tried->need;
        // A copy, as the request leaves the queue if it is sent.
        const auto try_start = queue.entries.at(*ticket).callbacks.try_start;
        if (!try_start()) {
            full_needs.push_back(need);
        }
    }
    for (const queue_ticket ticket : queue.order.expired(loop_.time().now())) {
        refuse(service, ticket, "waited_too_long", queue.order.time_to_empty(places_per_second(queue)));
    }
}

void service_queues::begin_period(const service_name& service, service_queue& queue)
{
    if (!queue.period) {
        queue.period.emplace();
        queue.period->began_at = loop_.time().now();
        log_event(log_severity::info, "queueing_began",
                  {{"service", service.value()},
                   {"running", static_cast<std::uint64_t>(queue.running)},
                   {"places_per_s", places_per_second(queue)}});
    }
    queue.period->empty_since.reset();
    ++queue.period->entered;
}

void service_queues::end_idle_period(const service_name& service, service_queue& queue)
{
    const steady_time now = loop_.time().now();
    if (!queue.period || !queue.period->empty_since || now - *queue.period->empty_since < period_end_delay) {
        return;
    }
    const auto in_ms = [](duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    log_event(log_severity::info, "queueing_ended",
              {{"service", service.value()},
               {"ms", in_ms(*queue.period->empty_since - queue.period->began_at)},
               {"waited", queue.period->entered},
               {"sent", queue.period->sent},
               {"refused", queue.period->refused},
               {"longest_wait_ms", in_ms(queue.period->longest_wait)}});
    queue.period.reset();
}

void service_queues::stop()
{
    stopping_ = true;
    for (auto& [service, queue] : queues_) {
        std::vector<queue_ticket> tickets;
        for (const auto& [ticket, waiting] : queue.entries) {
            tickets.push_back(ticket);
        }
        for (const queue_ticket ticket : tickets) {
            refuse(service, ticket, "stop", std::nullopt);
        }
    }
}

} // namespace agatespar
