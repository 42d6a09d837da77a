// Tests of crash attribution.
// Failure: a client retries a request that crashes its server, through a different VM each time, and each VM runs it
// on another server.
#include <agatespar/backend/crash_guard.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

/// VMs that receive each other's verdicts before the caller receives its response.
struct guarded_zone {
    std::vector<crash_guard> vms = std::vector<crash_guard>(8);
    steady_time now{1h};
    int crashes{0};
    int refused{0};

    // Sends a request that crashes its server; `others` are in flight on the same server unless the request must run
    // alone.
    void send_crashing_request(std::size_t vm, crash_subject crashing_request, const std::vector<crash_subject>& others)
    {
        const crash_verdict verdict = vms[vm].verdict(crashing_request, now);
        if (verdict == crash_verdict::guilty) {
            ++refused;
            return;
        }
        ++crashes;
        const bool alone = verdict == crash_verdict::suspect;
        std::vector<gossip_item> items{vms[vm].on_crash(crashing_request, alone, now, wall_time{1h}).item};
        if (!alone) {
            for (std::size_t index = 0; index < others.size(); ++index) {
                items.push_back(vms[index % vms.size()].on_crash(others[index], false, now, wall_time{1h}).item);
            }
        }
        deliver_to_all(items);
    }

    void deliver_to_all(const std::vector<gossip_item>& items)
    {
        for (const gossip_item& item : items) {
            for (crash_guard& guard : vms) {
                REQUIRE(guard.on_item(item, now));
            }
        }
        now += 2s;
    }
};

} // namespace

SCENARIO("a request that crashes its servers is refused after two crashes at most")
{
    guarded_zone zone;
    const crash_subject crashing_request{666};
    const std::vector<crash_subject> concurrent_requests{crash_subject{1}, crash_subject{2}};

    WHEN("its caller sends it 20 times through different VMs")
    {
        for (std::size_t attempt = 0; attempt < 20; ++attempt) {
            zone.send_crashing_request(attempt % zone.vms.size(), crashing_request, concurrent_requests);
        }
        THEN("it crashes two servers at most and is then refused")
        {
            CHECK(zone.crashes <= 2);
            CHECK(zone.refused == 20 - zone.crashes);
        }
        THEN("requests that were in flight at the crash are cleared once they complete alone on a server")
        {
            CHECK(zone.vms[5].verdict(concurrent_requests[0], zone.now) == crash_verdict::suspect);
            const auto item = zone.vms[3].on_completed_alone(concurrent_requests[0], zone.now, wall_time{1h});
            REQUIRE(item);
            zone.deliver_to_all({*item});
            CHECK(zone.vms[5].verdict(concurrent_requests[0], zone.now) == crash_verdict::clear);
            CHECK_FALSE(zone.vms[3].on_completed_alone(concurrent_requests[0], zone.now, wall_time{1h}));
        }
        THEN("a guilty verdict is not cleared by completion and expires after its lifetime")
        {
            CHECK_FALSE(zone.vms[0].on_completed_alone(crashing_request, zone.now, wall_time{1h}));
            CHECK(zone.vms[0].verdict(crashing_request, zone.now + 2h) == crash_verdict::clear);
        }
    }
    WHEN("there are more verdicts than a VM may store")
    {
        for (std::uint64_t index = 0; index < 2000; ++index) {
            zone.vms[0].on_crash(crash_subject{index}, false, zone.now + std::chrono::seconds{index}, wall_time{1h});
        }
        THEN("the oldest verdicts are evicted")
        {
            CHECK(zone.vms[0].size() == crash_guard_settings{}.max_verdicts);
            CHECK(zone.vms[0].verdict(crash_subject{1999}, zone.now + 2000s) == crash_verdict::suspect);
        }
    }
    THEN("a malformed gossip item is rejected")
    {
        CHECK_FALSE(zone.vms[0].on_item({gossip_kind::quarantine_verdict, "\xc1", 1, 0, "\xc1"}, zone.now));
    }
}

namespace {

constexpr crash_subject common_part{1};
constexpr crash_subject deadly_part{2};
constexpr crash_subject companion_part{3};

/// VMs whose requests' prompts consist of a common part, one of a hundred parts, and in some requests a deadly one. All
/// requests with the deadly part, and few others, have one more part in common. Each VM learns of the others' verdicts
/// after a delay, as through the platform's store.
class prompt_fleet {
public:
    prompt_fleet(std::size_t vms, std::uint64_t seed) : vms_(vms), random_(seed) {}

    // Sends one request to a VM, which retries it after a crash while the verdict permits that. The server crashes 0.1
    // s after it begins to run a request with the deadly part, and one other request that it has not begun to answer
    // goes with it.
    void send(bool deadly)
    {
        const crash_suspects request = new_request(deadly);
        const std::uint64_t client_attempt = request.request.value();
        const std::size_t vm = draw(vms_.size());
        for (int attempt = 0; attempt < 3; ++attempt) {
            while (vms_[vm].verdict(request, now) == crash_verdict::unsettled) {
                advance(100ms);
            }
            if (vms_[vm].refused_until(request, now)) {
                refused_sound += deadly ? 0 : 1;
                return;
            }
            if (!deadly) {
                publish(vms_[vm].on_answer(request, now, wall_now()));
                return;
            }
            reached.push_back(now);
            const steady_time sent_at = now;
            advance(100ms);
            crashes.push_back(now);
            publish(vms_[vm].on_crash({request, client_attempt, ++crash_, sent_at, true}, now, wall_now()));
            lose_beside(sent_at);
        }
    }

    // Servers crash for another reason, and each takes requests with it that are then answered elsewhere.
    void lose_servers(int count)
    {
        const steady_time sent_at = now;
        std::vector<std::pair<std::size_t, crash_suspects>> lost;
        advance(50ms);
        for (int i = 0; i < count; ++i) {
            lost.emplace_back(draw(vms_.size()), new_request(false));
            publish(vms_[lost.back().first].on_crash(
                {lost.back().second, lost.back().second.request.value(), ++crash_, sent_at, true}, now, wall_now()));
        }
        for (const auto& [vm, request] : lost) {
            answer_elsewhere(vms_[vm], request);
        }
    }

    void advance(duration time)
    {
        now += time;
        while (!in_transit_.empty() && in_transit_.front().first <= now) {
            for (const gossip_item& item : in_transit_.front().second) {
                for (crash_guard& vm : vms_) {
                    REQUIRE(vm.on_item(item, now));
                }
            }
            in_transit_.erase(in_transit_.begin());
        }
    }

    steady_time now{1h};
    std::vector<steady_time> reached;
    std::vector<steady_time> crashes;
    int refused_sound{0};

private:
    std::size_t draw(std::size_t count) { return std::uniform_int_distribution<std::size_t>{0, count - 1}(random_); }
    wall_time wall_now() const { return wall_time{now.time_since_epoch()}; }

    crash_suspects new_request(bool deadly)
    {
        crash_suspects request{crash_subject{++requests_ + 1000}, {common_part, crash_subject{100 + draw(100)}}};
        if (deadly) {
            request.parts = {common_part, companion_part, deadly_part};
        }
        else if (draw(100) == 0) {
            request.parts = {common_part, companion_part};
        }
        return request;
    }

    void lose_beside(steady_time sent_at)
    {
        const crash_suspects request = new_request(false);
        crash_guard& vm = vms_[draw(vms_.size())];
        publish(vm.on_crash({request, request.request.value(), crash_, sent_at, true}, now, wall_now()));
        answer_elsewhere(vm, request);
    }

    void answer_elsewhere(crash_guard& vm, const crash_suspects& request)
    {
        while (vm.verdict(request, now) == crash_verdict::unsettled) {
            advance(100ms);
        }
        if (vm.refused_until(request, now)) {
            ++refused_sound;
            return;
        }
        publish(vm.on_answer(request, now, wall_now()));
    }

    void publish(std::vector<gossip_item> items)
    {
        if (!items.empty()) {
            in_transit_.emplace_back(now + 500ms, std::move(items));
        }
    }

    std::vector<crash_guard> vms_;
    std::mt19937_64 random_;
    std::uint64_t requests_{0};
    std::uint64_t crash_{0};
    std::vector<std::pair<steady_time, std::vector<gossip_item>>> in_transit_;
};

} // namespace

// Guards against a part of a prompt that crashes one server after the other, in requests of which no two are alike.
SCENARIO("requests with a prompt part that crashes servers are refused soon, and no others")
{
    // Requests per second, and every how many of them has the deadly part.
    const auto [vms, per_second, deadly_every] =
        GENERATE(std::tuple{std::size_t{7}, 12, 20}, std::tuple{std::size_t{7}, 12, 4},
                 std::tuple{std::size_t{300}, 300, 20}, std::tuple{std::size_t{1}, 5, 50});
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        prompt_fleet fleet{vms, seed};
        for (int i = 0; i < per_second * 40; ++i) {
            fleet.send(i % deadly_every == deadly_every / 2);
            fleet.advance(1'000'000us / per_second);
        }
        CAPTURE(vms, per_second, deadly_every, seed, fleet.crashes.size());
        REQUIRE(fleet.crashes.size() >= 2);
        // The operators' bound: at most three requests reach servers later than three seconds after the fifth crash.
        const steady_time bound = fleet.crashes[std::min<std::size_t>(fleet.crashes.size(), 5) - 1] + 3s;
        CHECK(std::count_if(fleet.reached.begin(), fleet.reached.end(), [&](auto at) { return at > bound; }) <= 3);
        CHECK(fleet.refused_sound == 0);
    }
}

// Guards against refusing sound requests because servers crash for other reasons.
SCENARIO("no prompt part is refused because servers crash for other reasons")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        prompt_fleet fleet{7, seed};
        for (int i = 0; i < 400; ++i) {
            fleet.send(false);
            fleet.advance(50ms);
            if (i % 10 == 0) {
                fleet.lose_servers(8);
            }
        }
        CHECK(fleet.refused_sound == 0);
    }
}

/// @return an attempt of a caller of its own, at a server of its own.
static crashed_attempt make_crash(std::uint64_t request, std::vector<crash_subject> parts, steady_time sent_at)
{
    static std::uint64_t crashes = 0;
    ++crashes;
    return {{crash_subject{request}, std::move(parts)}, crashes, crashes, sent_at, true};
}

SCENARIO("one request that crashes several servers makes no part of its prompt guilty")
{
    crash_guard guard;
    const steady_time start{1h};
    const std::vector<crash_subject> parts{common_part, deadly_part};
    const crashed_attempt first = make_crash(1000, parts, start);
    guard.on_crash(first, start + 1s, wall_time{1h});
    CHECK(guard.verdict(first.suspects, start + 1s) == crash_verdict::suspect);

    WHEN("a VM sends it to further servers")
    {
        crashed_attempt second = make_crash(1000, parts, start + 2s);
        second.client_attempt = first.client_attempt;
        second.may_be_retried = false;
        const auto items = guard.on_crash(second, start + 3s, wall_time{1h});
        THEN("that is no more evidence, but the other VMs are told of the request")
        {
            CHECK(guard.verdict(first.suspects, start + 4s) == crash_verdict::suspect);
            CHECK(items.size() == 1);
        }
    }
    WHEN("its caller sends it again")
    {
        guard.on_crash(make_crash(1000, parts, start + 2s), start + 3s, wall_time{1h});
        THEN("the request is guilty, its parts are not")
        {
            CHECK(guard.verdict(first.suspects.request, start + 4s) == crash_verdict::guilty);
            CHECK(guard.verdict(deadly_part, start + 4s) == crash_verdict::suspect);
        }
    }
    WHEN("a different request with the part crashes another server")
    {
        guard.on_crash(make_crash(1001, {deadly_part}, start + 2s), start + 3s, wall_time{1h});
        const crash_suspects next{crash_subject{1002}, {deadly_part}};
        THEN("the part is guilty once the other VMs have had time to tell of answers")
        {
            CHECK(guard.verdict(next, start + 3s) == crash_verdict::unsettled);
            CHECK(guard.verdict(next, start + 4s) == crash_verdict::guilty);
            CHECK(guard.refused_until(next, start + 4s) == start + 3s + crash_guard_settings{}.verdict_lifetime);
            CHECK(guard.verdict(common_part, start + 4s) == crash_verdict::suspect);
        }
        THEN("an answer to a request with it clears it")
        {
            CHECK(guard.on_answer(next, start + 4s, wall_time{1h}).size() == 1);
            CHECK(guard.verdict(next, start + 4s) == crash_verdict::clear);
        }
    }
    WHEN("the request was sent before this VM knew of the first crash")
    {
        guard.on_crash(make_crash(1001, {deadly_part}, start), start + 2s, wall_time{1h});
        THEN("it is no further evidence, as servers may crash together for any reason")
        {
            CHECK(guard.verdict(deadly_part, start + 3s) == crash_verdict::suspect);
        }
    }
}

SCENARIO("a prompt part that has been answered becomes guilty after more crashes than an unknown one")
{
    crash_guard guard;
    const steady_time start{1h};
    const crash_subject changed{7};
    guard.on_answer({crash_subject{2000}, {changed}}, start, wall_time{1h});
    int crashes = 0;
    for (auto at = start + 1s; guard.verdict(changed, at) != crash_verdict::guilty; at += 4s, ++crashes) {
        REQUIRE(crashes < 5);
        const auto request = static_cast<std::uint64_t>(3000 + crashes);
        guard.on_crash(make_crash(request, {changed}, at), at + 1s, wall_time{1h});
    }
    CHECK(crashes == 4);
}

// Guards against counting one crash once for each request that it took with it.
SCENARIO("requests that lose the same server count as one crash against a part that has been answered")
{
    crash_guard guard;
    const steady_time start{1h};
    guard.on_answer({crash_subject{1}, {common_part}}, start, wall_time{1h});
    crashed_attempt lost = make_crash(4000, {common_part}, start);
    for (std::uint64_t request = 4000; request < 4010; ++request) {
        lost.suspects.request = crash_subject{request};
        lost.client_attempt = request;
        guard.on_crash(lost, start + 1s, wall_time{1h});
    }
    CHECK(guard.verdict(common_part, start + 1s) == crash_verdict::clear);
}

// Guards against refusing sound requests that share a part with all requests that crash servers.
SCENARIO("parts that only occur together in requests that crash servers are refused only together")
{
    crash_guard guard;
    const steady_time start{1h};
    const std::vector<crash_subject> both{companion_part, deadly_part};
    guard.on_crash(make_crash(1000, both, start), start + 1s, wall_time{1h});
    guard.on_crash(make_crash(1001, both, start + 2s), start + 3s, wall_time{1h});
    const steady_time settled = start + 4s;
    CHECK(guard.verdict({crash_subject{1002}, both}, settled) == crash_verdict::guilty);
    CHECK(guard.verdict({crash_subject{1003}, {companion_part}}, settled) == crash_verdict::suspect);
    CHECK(guard.verdict({crash_subject{1004}, {deadly_part}}, settled) == crash_verdict::suspect);

    WHEN("a request with one of them is answered")
    {
        guard.on_answer({crash_subject{1003}, {companion_part}}, settled, wall_time{1h});
        THEN("requests with the other one are refused")
        {
            CHECK(guard.verdict({crash_subject{1003}, {companion_part}}, settled) == crash_verdict::clear);
            CHECK(guard.verdict({crash_subject{1002}, both}, settled) == crash_verdict::guilty);
            CHECK(guard.verdict({crash_subject{1004}, {deadly_part}}, settled) == crash_verdict::guilty);
        }
    }
    WHEN("a request with the other one crashes a server")
    {
        guard.on_crash(make_crash(1004, {deadly_part}, settled), settled + 1s, wall_time{1h});
        THEN("that part is guilty on its own")
        {
            CHECK(guard.verdict({crash_subject{1005}, {deadly_part}}, settled + 2s) == crash_verdict::guilty);
        }
    }
}
