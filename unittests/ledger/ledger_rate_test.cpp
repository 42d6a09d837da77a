// Checks the rate of appends for claims, outcomes and usage records at the peak rate of requests.
#include "ledger_fixture.h"

#include <agatespar/ledger/usage_outbox.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace agatespar;
using namespace std::chrono_literals;

// Limit of the ledger and billing together. The log service accepts several hundred appends per second.
static constexpr double append_budget_per_second = 300;
static constexpr int peak_requests_per_second = 2500;
static constexpr int non_idempotent_percent = 20;
static constexpr int claims_per_second = peak_requests_per_second * non_idempotent_percent / 100;
static constexpr int node_count = 340;

namespace {

struct claim_load {
    double appends_per_second{0};
    double records_per_append{0};
    std::vector<duration> delays;
    std::uint64_t unanswered{0};
};

} // namespace

/// Runs claims at the peak rate through one VM per zone, which owns all partitions in its zone.
static claim_load run_claims(std::chrono::seconds span, std::size_t zones, const log_faults& faults)
{
    ledger_fixture test{zones};
    test.owners_differ = true;
    test.log.set_faults(faults);
    test.settings.append_interval = append_interval_for(zones);
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::uint32_t partition = 0; partition < ledger_partition_count; ++partition) {
            test.owner(zone, ledger_partition{partition});
        }
    }
    test.loop.advance(1s);
    const steady_time started = test.loop.time().now();
    const std::uint64_t calls_before = test.log.append_calls();
    claim_load load;
    const std::int64_t total = claims_per_second * span.count();
    for (std::int64_t index = 0; index < total; ++index) {
        claim_client& client = *test.vms[static_cast<std::size_t>(index) % zones]->client;
        const steady_time sent = test.loop.time().now();
        ++load.unanswered;
        client.claim(test.order("key-" + std::to_string(index)), [&, sent](const outcome<claim_result>& result) {
            --load.unanswered;
            load.delays.push_back(test.loop.time().now() - sent);
            const granted_claim claim = granted(result);
            REQUIRE(client.begin_dispatch(claim));
            test.loop.schedule(300ms, [&client, claim] {
                client.record_outcome(claim, {claim.request, 200, "", "ok"});
            });
        });
        test.loop.advance(std::chrono::microseconds{1s} / claims_per_second);
    }
    load.appends_per_second =
        static_cast<double>(test.log.append_calls() - calls_before) / static_cast<double>(span.count());
    test.loop.advance(5s);
    std::uint64_t records = 0;
    std::uint64_t appends = 0;
    for (const auto& vm : test.vms) {
        for (const auto& [partition, owner] : vm->owners) {
            records += owner->counters().appended_records;
            appends += owner->counters().appends;
        }
    }
    // The load ran for the complete time span, and each claim and outcome was appended to the log.
    REQUIRE(test.loop.time().now() - started >= span);
    REQUIRE(records >= static_cast<std::uint64_t>(2 * total));
    load.records_per_append = static_cast<double>(records) / static_cast<double>(appends);
    std::sort(load.delays.begin(), load.delays.end());
    return load;
}

static double run_bills(std::chrono::seconds span)
{
    manual_event_loop loop;
    memory_log log{loop, 1};
    std::vector<std::unique_ptr<usage_outbox>> vms;
    usage_peers peers;
    peers.choose_holder = [](const std::vector<boot_id>&) { return boot_id{1}; };
    peers.send_hold = [](boot_id, const usage_hold&) {};
    peers.send_held = [](boot_id, const usage_held&) {};
    peers.send_release = [](boot_id, const usage_release&) {};
    for (std::uint64_t index = 0; index < node_count; ++index) {
        vms.push_back(std::make_unique<usage_outbox>(loop, log.service(), boot_id{index + 1}, usage_settings{}, peers));
    }
    const std::int64_t total = peak_requests_per_second * span.count();
    for (std::int64_t index = 0; index < total; ++index) {
        usage_outbox& vm = *vms[static_cast<std::size_t>(index) % vms.size()];
        REQUIRE(vm.reserve());
        vm.settle({}, [] {});
        loop.advance(std::chrono::microseconds{1s} / peak_requests_per_second);
    }
    return static_cast<double>(log.append_calls()) / static_cast<double>(span.count());
}

SCENARIO("claims, outcomes and usage records at the peak rate stay within the append budget of the log")
{
    const double bills = run_bills(20s);
    struct peak {
        std::size_t zones;
        double lost_answer_probability;
    };
    for (const peak& given : {peak{1, 0.0}, peak{1, 0.1}, peak{4, 0.1}, peak{10, 0.0}, peak{10, 0.1}}) {
        const claim_load load = run_claims(20s, given.zones, {false, given.lost_answer_probability, 5ms});
        CHECK(load.unanswered == 0);
        CHECK(load.appends_per_second + bills <= append_budget_per_second);
        const auto percentile_ms = [&load](double quantile) {
            const auto index = static_cast<std::size_t>(quantile * static_cast<double>(load.delays.size() - 1));
            return std::chrono::duration<double, std::milli>(load.delays[index]).count();
        };
        WARN(given.zones << " zones, lost answers " << given.lost_answer_probability << ": ledger "
                         << load.appends_per_second << " appends/s with " << load.records_per_append
                         << " records each, usage " << bills << "/s; claim duration in ms: p50 " << percentile_ms(0.5)
                         << " p99 " << percentile_ms(0.99) << " max " << percentile_ms(1.0));
    }
}
