// Order, admission and sharing of the requests that wait on this VM until a server has room.
#include <agatespar/routing/waiting_queue.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace agatespar {

// A request waits for at most this part of the time from its arrival to its deadline, so that a client that is refused
// at the end of the wait can still get an answer elsewhere.
static constexpr int max_wait_divisor = 2;
// A request whose estimate is uncertain or exceeds its time waits for at most this part of its route's goal.
static constexpr int no_prospect_goal_divisor = 8;
// Goal of routes that set none.
static constexpr std::chrono::milliseconds default_goal{1000};
// Retry-After is a random time from the estimate to this many times it.
static constexpr double retry_spread = 2.0;
static constexpr std::chrono::milliseconds min_retry_after{200};
// Accounts with a lower average of starts per second are removed: they have been idle for many time constants.
static constexpr double idle_account_rate = 1e-3;
static constexpr std::size_t max_tracked_accounts = 1024;

steady_time latest_useful_start(const queued_request& request, steady_time now)
{
    const steady_time for_deadline = request.deadline - request.run_time;
    const steady_time for_goal = request.goal_at - request.first_byte_time;
    return for_goal > now ? std::min(for_goal, for_deadline) : for_deadline;
}

std::string_view name_of(queue_refusal reason)
{
    switch (reason) {
    case queue_refusal::no_prospect:
        return "no_prospect";
    case queue_refusal::too_late:
        return "too_late";
    case queue_refusal::full:
        return "full";
    }
    return "unknown";
}

std::chrono::milliseconds spread_retry_after(std::chrono::milliseconds time, double draw)
{
    const auto least = std::max(time, min_retry_after);
    const double factor = 1 + (retry_spread - 1) * draw;
    return std::chrono::milliseconds{static_cast<std::int64_t>(static_cast<double>(least.count()) * factor)};
}

/// Time left less expected work, as a point in time: it is the same at whatever time two requests are compared.
static steady_time last_start(const queued_request& request)
{
    return request.deadline - request.run_time;
}

static bool is_more_urgent(const queued_request& one, const queued_request& other)
{
    const auto key = [](const queued_request& of) {
        return std::tuple{of.priority, last_start(of), of.arrived_at, of.ticket};
    };
    return key(one) < key(other);
}

static steady_time find_wait_limit(const queued_request& request, bool has_prospect, steady_time now)
{
    const steady_time half = request.arrived_at + (request.deadline - request.arrived_at) / max_wait_divisor;
    const steady_time useful = std::min(latest_useful_start(request, now), half);
    const duration goal = request.goal.count() > 0 ? request.goal : duration{default_goal};
    return has_prospect ? useful : std::min(useful, now + goal / no_prospect_goal_divisor);
}

// Requests of the same priority that start before a new one. The accounts take turns, so at most one more of each other
// account than of its own.
std::size_t waiting_queue::count_ahead(const queued_request& request) const
{
    std::size_t more_urgent = 0;
    std::map<std::uint64_t, std::size_t> same;
    for (const queued_request& other : waiting_) {
        more_urgent += other.priority < request.priority ? 1 : 0;
        const bool is_own_and_later = other.account == request.account && is_more_urgent(request, other);
        if (other.priority == request.priority && !is_own_and_later) {
            ++same[other.account];
        }
    }
    const std::size_t own = same[request.account];
    std::size_t ahead = more_urgent + own;
    for (const auto& [account, count] : same) {
        ahead += account == request.account ? 0 : std::min(count, own + 1);
    }
    return ahead;
}

// The first request of its priority may wait whatever the estimate says, as it may get the start of an aged priority.
bool waiting_queue::may_wait_first(const queued_request& request) const
{
    return std::none_of(waiting_.begin(), waiting_.end(),
                        [&](const queued_request& other) { return other.priority == request.priority; });
}

/// @return the index of the request that is displaced by a new one, or nothing if the new one is refused itself.
std::optional<std::size_t> waiting_queue::choose_victim(const queued_request& request) const
{
    std::map<std::uint64_t, std::size_t> by_account{{request.account, 1}};
    std::map<int, std::size_t> by_priority{{request.priority, 1}};
    for (const queued_request& other : waiting_) {
        ++by_account[other.account];
        ++by_priority[other.priority];
    }
    const std::size_t share = (settings_.max_waiting + by_account.size() - 1) / by_account.size();
    const auto largest = std::max_element(by_account.begin(), by_account.end(),
                                          [](const auto& one, const auto& other) { return one.second < other.second; });
    const bool beyond_share = largest->second > share;
    const queued_request* victim = nullptr;
    const auto consider = [&](const queued_request& candidate) {
        const bool is_eligible = !beyond_share || candidate.account == largest->first;
        // Each priority keeps one place, so that none starves.
        if (is_eligible && by_priority[candidate.priority] > 1 &&
            (victim == nullptr || is_more_urgent(*victim, candidate))) {
            victim = &candidate;
        }
    };
    std::for_each(waiting_.begin(), waiting_.end(), consider);
    consider(request);
    if (victim == nullptr || victim == &request) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(victim - waiting_.data());
}

queue_verdict waiting_queue::admit(const queued_request& request, double places_per_second, steady_time now)
{
    queue_verdict verdict;
    const duration slack = find_wait_limit(request, true, now) - now;
    const admission_verdict estimate = evaluate_wait(count_ahead(request), places_per_second, slack);
    verdict.expected_wait = estimate.expected_wait;
    verdict.retry_after = estimate.retry_after;
    if (slack.count() <= 0) {
        verdict.refused = queue_refusal::too_late;
        return verdict;
    }
    if (!estimate.admitted && !may_wait_first(request)) {
        verdict.refused = queue_refusal::no_prospect;
        return verdict;
    }
    if (waiting_.size() >= settings_.max_waiting) {
        const auto victim = choose_victim(request);
        if (!victim) {
            verdict.refused = queue_refusal::full;
            verdict.retry_after = time_to_empty(places_per_second).value_or(min_retry_after);
            return verdict;
        }
        verdict.displaced = waiting_[*victim].ticket;
        remove(*verdict.displaced);
    }
    waiting_.push_back(request);
    waiting_.back().wait_until = find_wait_limit(request, estimate.in_time, now);
    return verdict;
}

double waiting_queue::recent_starts(std::uint64_t account, steady_time now) const
{
    const auto known = account_starts_.find(account);
    return known == account_starts_.end() ? 0 : known->second.per_second(now);
}

int waiting_queue::choose_priority(const std::vector<const queued_request*>& ready) const
{
    std::set<int> priorities;
    for (const queued_request* request : ready) {
        priorities.insert(request->priority);
    }
    if (urgent_starts_ < settings_.starts_per_aged_start) {
        return *priorities.begin();
    }
    const auto last_start_of = [this](int priority) {
        const auto known = last_starts_.find(priority);
        return known == last_starts_.end() ? 0 : known->second;
    };
    return *std::min_element(priorities.begin(), priorities.end(),
                             [&](int one, int other) { return last_start_of(one) < last_start_of(other); });
}

std::optional<queue_ticket> waiting_queue::next(std::span<const std::uint64_t> full_needs, steady_time now) const
{
    std::vector<const queued_request*> ready;
    for (const queued_request& request : waiting_) {
        const bool is_full = std::find(full_needs.begin(), full_needs.end(), request.need) != full_needs.end();
        if (!is_full && request.not_before <= now && request.wait_until > now) {
            ready.push_back(&request);
        }
    }
    if (ready.empty()) {
        return std::nullopt;
    }
    const int priority = choose_priority(ready);
    std::erase_if(ready, [priority](const queued_request* request) { return request->priority != priority; });
    std::map<std::uint64_t, double> starts;
    for (const queued_request* request : ready) {
        starts.try_emplace(request->account, recent_starts(request->account, now));
    }
    double total = 0;
    for (const auto& [account, rate] : starts) {
        total += rate;
    }
    const double share = total / static_cast<double>(starts.size());
    const queued_request* best = nullptr;
    for (const queued_request* request : ready) {
        // Tolerates rounding, so that one of the accounts is always within its share.
        constexpr double tolerance = 1e-6;
        if (starts[request->account] <= share + tolerance && (best == nullptr || is_more_urgent(*request, *best))) {
            best = request;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->ticket};
}

std::optional<queued_request> waiting_queue::remove(queue_ticket ticket)
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [ticket](const queued_request& request) { return request.ticket == ticket; });
    if (found == waiting_.end()) {
        return std::nullopt;
    }
    const queued_request removed = *found;
    *found = waiting_.back();
    waiting_.pop_back();
    return removed;
}

void waiting_queue::forget_idle_accounts(steady_time now)
{
    std::erase_if(account_starts_,
                  [now](const auto& entry) { return entry.second.per_second(now) < idle_account_rate; });
}

void waiting_queue::on_started(int priority, std::uint64_t account, steady_time now)
{
    if (account_starts_.size() >= max_tracked_accounts) {
        forget_idle_accounts(now);
    }
    account_starts_.try_emplace(account, start_rate{settings_.rate_time}).first->second.count(now);
    last_starts_[priority] = ++starts_;
    const bool passed_urgent = std::any_of(waiting_.begin(), waiting_.end(),
                                           [&](const queued_request& other) { return other.priority < priority; });
    urgent_starts_ = passed_urgent ? 0 : std::min(urgent_starts_ + 1, settings_.starts_per_aged_start);
}

std::vector<queue_ticket> waiting_queue::expired(steady_time now) const
{
    std::vector<queue_ticket> tickets;
    for (const queued_request& request : waiting_) {
        if (request.wait_until <= now) {
            tickets.push_back(request.ticket);
        }
    }
    return tickets;
}

std::optional<std::chrono::milliseconds> waiting_queue::time_to_empty(double places_per_second) const
{
    if (places_per_second <= 0) {
        return std::nullopt;
    }
    const duration wait = evaluate_wait(waiting_.size(), places_per_second, std::chrono::hours{1}).expected_wait;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

} // namespace agatespar
