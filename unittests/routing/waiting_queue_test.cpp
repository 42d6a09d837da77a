// Tests of the queue of waiting requests under named loads.
#include <agatespar/routing/waiting_queue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

struct arrival {
    std::string kind;
    int priority{1};
    std::uint64_t account{1};
    duration run{200ms};
    duration goal{800ms};
    duration timeout{3s};
    /// The client sends the request again as soon as it is refused.
    bool comes_back_at_once{false};
};

struct tally {
    int arrived{0};
    int in_goal{0};
    int started{0};
    int refused{0};
    int refused_at_once{0};
    duration longest_wait_of_refused{0};
    duration longest_wait_of_started{0};
};

/// Requests of one service, a number of places for them, and a queue, in steps of 5 ms.
class simulation {
public:
    explicit simulation(std::size_t initial_places) : places(initial_places) {}

    void arrive(const arrival& what)
    {
        ++tallies[what.kind].arrived;
        queued_request request;
        request.ticket = queue_ticket{++last_ticket_};
        request.priority = what.priority;
        request.account = what.account;
        request.arrived_at = time_.now();
        request.goal = what.goal;
        request.goal_at = time_.now() + what.goal;
        request.deadline = time_.now() + what.timeout;
        request.first_byte_time = request.run_time = what.run;
        requests_[request.ticket] = {what, time_.now()};
        if (running_.size() < places && queue_.waiting().empty()) {
            start(request.ticket);
            return;
        }
        const queue_verdict verdict = queue_.admit(request, rate(), time_.now());
        if (verdict.displaced) {
            refuse(*verdict.displaced);
        }
        if (verdict.refused) {
            retry_after.push_back(verdict.retry_after);
            refuse(request.ticket);
        }
        most_waiting = std::max(most_waiting, queue_.waiting().size());
    }

    /// Calls a function at each step, which may let requests arrive.
    void run(duration length, const std::function<void(int step)>& arrivals)
    {
        for (int step = 0; step * step_length < length; ++step) {
            std::erase_if(running_, [this](steady_time end) { return end <= time_.now(); });
            std::vector<arrival> again;
            again.swap(returning_);
            arrivals(step);
            for (const arrival& what : again) {
                arrive(what);
            }
            while (running_.size() < places) {
                const auto ticket = queue_.next({}, time_.now());
                if (!ticket) {
                    break;
                }
                queue_.remove(*ticket);
                start(*ticket);
            }
            for (const queue_ticket ticket : queue_.expired(time_.now())) {
                queue_.remove(ticket);
                refuse(ticket);
            }
            time_.advance(step_length);
        }
    }

    static constexpr std::chrono::milliseconds step_length{5};
    std::size_t places;
    std::size_t most_waiting{0};
    std::map<std::string, tally> tallies;
    std::vector<std::chrono::milliseconds> retry_after;

private:
    struct known_request {
        arrival what;
        steady_time arrived_at;
    };

    double rate() const { return static_cast<double>(running_.size()) / 0.2; }

    void start(queue_ticket ticket)
    {
        const known_request& request = requests_.at(ticket);
        running_.push_back(time_.now() + request.what.run);
        queue_.on_started(request.what.priority, request.what.account, time_.now());
        tally& of = tallies[request.what.kind];
        const duration waited = time_.now() - request.arrived_at;
        ++of.started;
        of.in_goal += waited + request.what.run <= request.what.goal ? 1 : 0;
        of.longest_wait_of_started = std::max(of.longest_wait_of_started, waited);
        requests_.erase(ticket);
    }

    void refuse(queue_ticket ticket)
    {
        const known_request& request = requests_.at(ticket);
        tally& of = tallies[request.what.kind];
        ++of.refused;
        of.refused_at_once += time_.now() == request.arrived_at ? 1 : 0;
        of.longest_wait_of_refused = std::max(of.longest_wait_of_refused, time_.now() - request.arrived_at);
        if (request.what.comes_back_at_once) {
            returning_.push_back(request.what);
        }
        requests_.erase(ticket);
    }

    manual_clock time_;
    waiting_queue queue_;
    std::uint64_t last_ticket_{0};
    std::map<queue_ticket, known_request> requests_;
    std::vector<steady_time> running_;
    std::vector<arrival> returning_;
};

} // namespace

// Guards against refusals while a short wait would do.
SCENARIO("a burst of 1.7 times the usual load for 3 s")
{
    // 10 places serve 50 requests/s; usual are 40/s, one each 25 ms.
    simulation load{10};
    load.run(2s, [&](int step) {
        if (step % 5 == 0) {
            load.arrive({.kind = "usual"});
        }
    });
    CHECK(load.tallies["usual"].refused == 0);
    load.run(3s, [&](int step) {
        if (step % 3 == 0) {
            load.arrive({.kind = "burst"});
        }
    });
    load.run(2s, [&](int step) {
        if (step % 5 == 0) {
            load.arrive({.kind = "after"});
        }
    });
    const tally& burst = load.tallies["burst"];
    THEN("the places stay in use, and what is started is answered within its goal")
    {
        CHECK(burst.started >= 150);
        CHECK(burst.in_goal == burst.started);
        CHECK(burst.longest_wait_of_refused <= 100ms);
    }
    THEN("the usual load is served again afterwards")
    {
        CHECK(load.tallies["after"].refused <= 4);
        CHECK(load.tallies["after"].in_goal == load.tallies["after"].started);
    }
}

// Guards against a queue that stays long under lasting overload, so that all answers are late.
SCENARIO("a quarter of the servers fails")
{
    simulation load{12};
    const auto usual = [&](int step) {
        if (step % 4 == 0) {
            load.arrive({.kind = "usual"});
        }
    };
    load.run(2s, usual);
    load.places = 9;
    load.run(10s, usual);
    const tally& usual_tally = load.tallies["usual"];
    CHECK(usual_tally.in_goal == usual_tally.started);
    CHECK(usual_tally.refused > 0);
    CHECK(usual_tally.refused_at_once == usual_tally.refused);
    // 45/s are possible for 10 s, and 50/s were for 2 s.
    CHECK(usual_tally.started >= 540);
    CHECK(usual_tally.longest_wait_of_refused <= 100ms);
    CHECK(std::all_of(load.retry_after.begin(), load.retry_after.end(), [](auto time) { return time >= 200ms; }));
}

// Guards against an account that takes the places of all others.
SCENARIO("one account at 8 times its usual rate")
{
    simulation load{10};
    const auto accounts = [&](bool surge) {
        return [&load, surge](int step) {
            // Four accounts with 10/s each are 40/s of 50/s.
            for (std::uint64_t account = 1; account <= 4; ++account) {
                const int interval = account == 1 && surge ? 20 / 8 : 20;
                if (step % interval == static_cast<int>(account) % interval) {
                    load.arrive({.kind = account == 1 ? "surging" : "other", .account = account});
                }
            }
        };
    };
    load.run(2s, accounts(false));
    load.run(6s, accounts(true));
    THEN("the others are answered as usual, and the account uses what they leave")
    {
        CHECK(load.tallies["other"].refused == 0);
        CHECK(load.tallies["other"].in_goal == load.tallies["other"].started);
        // 50/s less the others' 30/s for 6 s, and what it had before.
        CHECK(load.tallies["surging"].started >= 120);
        CHECK(load.tallies["surging"].refused > 0);
    }
    WHEN("the others fall silent")
    {
        const int before = load.tallies["surging"].started;
        load.run(4s, [&](int step) {
            if (step % 2 == 0) {
                load.arrive({.kind = "surging"});
            }
        });
        THEN("the account gets all places: its share is no limit while nobody else waits")
        {
            CHECK(load.tallies["surging"].started - before >= 195);
        }
    }
}

// Guards against clients that ignore Retry-After and crowd out those that honour it.
SCENARIO("clients that retry at once")
{
    simulation load{10};
    load.run(6s, [&](int step) {
        if (step % 5 == 0) {
            load.arrive({.kind = "impatient", .account = 1, .comes_back_at_once = true});
        }
        if (step % 10 == 0) {
            load.arrive({.kind = "patient", .account = 2});
        }
    });
    CHECK(load.tallies["patient"].refused == 0);
    CHECK(load.tallies["patient"].in_goal == load.tallies["patient"].started);
    CHECK(load.tallies["impatient"].started >= 150);
    CHECK(load.most_waiting <= waiting_queue_settings{}.max_waiting);
}

// Guards against urgent requests behind others, and against a priority that gets nothing.
SCENARIO("priorities mixed under lasting overload")
{
    simulation load{10};
    load.run(20s, [&](int step) {
        // Priority 0 alone needs 40/s of 50/s; together they are 90/s.
        if (step % 5 == 0) {
            load.arrive({.kind = "urgent", .priority = 0});
            load.arrive({.kind = "usual", .priority = 3});
        }
        if (step % 20 == 0) {
            load.arrive({.kind = "spare", .priority = 7});
        }
    });
    CHECK(load.tallies["urgent"].refused == 0);
    CHECK(load.tallies["urgent"].in_goal == load.tallies["urgent"].started);
    CHECK(load.tallies["usual"].started > 0);
    CHECK(load.tallies["spare"].started > 0);

    WHEN("the most urgent ones alone are more than the servers can serve")
    {
        load.tallies.clear();
        load.run(20s, [&](int step) {
            if (step % 3 == 0) {
                load.arrive({.kind = "urgent", .priority = 0});
            }
            if (step % 20 == 0) {
                load.arrive({.kind = "usual", .priority = 3});
                load.arrive({.kind = "spare", .priority = 7});
            }
        });
        THEN("each other priority still gets a part of the places, and the urgent ones most")
        {
            CHECK(load.tallies["urgent"].started >= 850);
            CHECK(load.tallies["usual"].started >= 20);
            CHECK(load.tallies["spare"].started >= 20);
        }
    }
}

// Guards against a size of requests that starves, or that blocks the others.
SCENARIO("a long request among many short ones")
{
    simulation load{10};
    load.run(6s, [&](int step) {
        if (step % 4 == 0) {
            load.arrive({.kind = "short"});
        }
        if (step % 200 == 100) {
            load.arrive({.kind = "long", .run = 1500ms, .goal = 2500ms, .timeout = 4s});
        }
    });
    CHECK(load.tallies["long"].started == load.tallies["long"].arrived);
    CHECK(load.tallies["long"].in_goal == load.tallies["long"].arrived);
    CHECK(load.tallies["short"].started >= 200);
}

SCENARIO("within a priority, the request that would first become late is sent first")
{
    manual_clock time;
    waiting_queue queue;
    std::uint64_t last = 0;
    const auto admit = [&](duration left, duration run) {
        queued_request request;
        request.ticket = queue_ticket{++last};
        request.account = last;
        request.arrived_at = time.now();
        request.goal = left;
        request.goal_at = request.deadline = time.now() + left;
        request.run_time = request.first_byte_time = run;
        queue.admit(request, 100, time.now());
    };
    admit(3s, 100ms);
    admit(2s, 100ms);
    admit(3s, 2s);
    std::vector<std::uint64_t> order;
    while (const auto ticket = queue.next({}, time.now())) {
        order.push_back(ticket->value());
        queue.remove(*ticket);
    }
    // The third has the least time left once its work is subtracted.
    CHECK(order == std::vector<std::uint64_t>{3, 2, 1});
}

SCENARIO("a full queue refuses the least urgent request")
{
    manual_clock time;
    waiting_queue queue{{.max_waiting = 4}};
    std::uint64_t last = 0;
    const auto admit = [&](int priority, std::uint64_t account) {
        queued_request request;
        request.ticket = queue_ticket{++last};
        request.priority = priority;
        request.account = account;
        request.arrived_at = time.now();
        request.goal = 1s;
        request.goal_at = time.now() + 1s;
        request.deadline = time.now() + 3s;
        request.run_time = request.first_byte_time = 100ms;
        return queue.admit(request, 100, time.now());
    };
    GIVEN("four waiting requests of two priorities")
    {
        admit(0, 1);
        admit(2, 1);
        admit(2, 1);
        admit(2, 1);
        WHEN("a more urgent one comes")
        {
            THEN("it displaces one of the lower priority")
            {
                const queue_verdict verdict = admit(0, 1);
                CHECK_FALSE(verdict.refused);
                CHECK(verdict.displaced == queue_ticket{4});
            }
        }
        WHEN("a less urgent one of the same priority comes")
        {
            THEN("it is refused itself, and told when to come again")
            {
                const queue_verdict verdict = admit(2, 1);
                CHECK(verdict.refused == queue_refusal::full);
                CHECK(verdict.retry_after.count() > 0);
            }
        }
        WHEN("one of another account comes")
        {
            THEN("the account that holds more than its share gives up its least urgent one")
            {
                CHECK(admit(2, 2).displaced == queue_ticket{4});
            }
        }
    }
    GIVEN("a request that would be late even if it were started now")
    {
        queued_request request;
        request.ticket = queue_ticket{9};
        request.arrived_at = time.now();
        request.goal = 100ms;
        request.goal_at = time.now() + 100ms;
        request.deadline = time.now() + 300ms;
        request.first_byte_time = request.run_time = 400ms;
        THEN("it is refused at once")
        {
            CHECK(queue.admit(request, 100, time.now()).refused == queue_refusal::too_late);
        }
    }
    GIVEN("a request without prospect in an empty queue")
    {
        queued_request request;
        request.ticket = queue_ticket{9};
        request.arrived_at = time.now();
        request.goal = 800ms;
        request.goal_at = time.now() + 800ms;
        request.deadline = time.now() + 3s;
        queue.admit(request, 0.1, time.now());
        THEN("it waits for an eighth of its goal")
        {
            REQUIRE(queue.waiting().size() == 1);
            CHECK(queue.waiting().front().wait_until == time.now() + 100ms);
        }
    }
}

// Guards against clients that were refused together and come back together.
SCENARIO("Retry-After is spread over a range that begins at the estimate")
{
    CHECK(spread_retry_after(400ms, 0) == 400ms);
    CHECK(spread_retry_after(400ms, 0.5) == 600ms);
    CHECK(spread_retry_after(1ms, 0) == 200ms);
}
