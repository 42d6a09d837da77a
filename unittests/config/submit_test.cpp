// Tests of submissions: concurrent operators, lost answers, outages of the log, and the reported status.
#include "fake_zone.h"
#include "sample_patches.h"

#include <agatespar/config/submit.h>

#include <catch2/catch.hpp>

#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <set>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

// An operator that submits patches one after the other, each based on the number that it has just fetched.
struct operator_script {
    manual_event_loop& loop;
    log_service log;
    std::string name;
    int remaining;
    std::vector<submit_report> reports;

    void next()
    {
        if (remaining-- == 0) {
            return;
        }
        fetch_state(loop, log, {600'000ms, 50ms}, [this](const outcome<fold_state>& state) {
            REQUIRE(state);
            const std::uint64_t base = state->current->number.value();
            const patch change = zone_patch(name + "-" + std::to_string(remaining), base, base % 2 == 0);
            submit_patch(loop, log, change, {600'000ms, 50ms}, [this](const submit_report& report) {
                reports.push_back(report);
                next();
            });
        });
    }
};

} // namespace

static fold_state fold_all(const memory_log& log)
{
    fold_state state;
    for (const log_record& record : log.read_now({config_stream, log_offset{1}, 1'000'000}).records) {
        fold(state, record);
    }
    return state;
}

SCENARIO("eight operators submit 200 patches concurrently against the same numbers")
{
    const double lost = GENERATE(0.0, 0.1, 0.5);
    manual_event_loop loop;
    memory_log log{loop, 5};
    log.append_now({config_stream, {format_patch(two_fleets_patch("p0"))}});
    log_faults faults;
    faults.lost_answer_probability = lost;
    faults.delay = 20ms;
    log.set_faults(faults);
    fake_zone zone{loop, log.service(), 2};
    for (int i = 0; i < 6; ++i) {
        zone.add().reader->set_tailing(i < 2);
    }
    std::vector<std::unique_ptr<operator_script>> operators;
    for (int i = 0; i < 8; ++i) {
        operators.push_back(std::make_unique<operator_script>(
            operator_script{loop, log.service(), "operator" + std::to_string(i), 25, {}}));
        operators.back()->next();
    }
    zone.run(60s);

    const fold_state expected_state = fold_all(log);
    std::map<std::uint64_t, std::string> accepted;
    int conflicts = 0;
    for (const auto& one : operators) {
        REQUIRE(one->reports.size() == 25);
        for (const submit_report& report : one->reports) {
            const patch_verdict* verdict = find_verdict(expected_state, report.id);
            if (report.status == submit_status::accepted) {
                CHECK(accepted.emplace(report.number.value(), report.id.value()).second);
                REQUIRE(verdict != nullptr);
                CHECK(verdict->kind == verdict_kind::accepted);
                CHECK(verdict->number == report.number);
                continue;
            }
            REQUIRE(report.status == submit_status::conflict);
            CHECK(!report.accepted_since_base.empty());
            CHECK((verdict == nullptr || verdict->kind == verdict_kind::conflict));
            ++conflicts;
        }
    }
    CHECK(accepted.size() + conflicts == 200);
    REQUIRE(expected_state.current->number.value() == accepted.size() + 1);
    CHECK(accepted.begin()->first == 2);
    CHECK(accepted.rbegin()->first == accepted.size() + 1);
    for (const auto& vm : zone.vms()) {
        CHECK(vm->reader->current()->number == expected_state.current->number);
        CHECK(vm->reader->current()->chain_hash == expected_state.current->chain_hash);
        CHECK(std::is_sorted(vm->numbers.begin(), vm->numbers.end()));
    }
    std::cout << "concurrent operators, fraction of answers lost " << lost << ": accepted " << accepted.size()
              << ", conflicts " << conflicts << ", appends " << log.append_calls() << "\n";
}

SCENARIO("a submission reports a verdict only if the log confirms it")
{
    manual_event_loop loop;
    memory_log log{loop, 5};
    log.append_now({config_stream, {format_patch(two_fleets_patch("p0"))}});
    std::optional<submit_report> report;
    const auto submit = [&](const patch& change) {
        submit_patch(loop, log.service(), change, {}, [&](const submit_report& result) { report = result; });
    };
    log_faults faults;

    GIVEN("a log that is down from the start")
    {
        faults.down = true;
        log.set_faults(faults);
        submit(zone_patch("p1", 1, false));
        loop.advance(31s);
        REQUIRE(report);
        CHECK(report->status == submit_status::unreachable);
        CHECK(log.append_calls() == 0);
    }
    GIVEN("a log that goes down between the append and its answer")
    {
        faults.delay = 1s;
        faults.lost_answer_probability = 1.0;
        log.set_faults(faults);
        submit(zone_patch("p1", 1, false));
        // The search for a snapshot and one read precede the append.
        loop.advance(2500ms);
        REQUIRE(log.append_calls() == 1);
        faults.down = true;
        log.set_faults(faults);
        WHEN("it stays down")
        {
            loop.advance(30s);
            REQUIRE(report);
            CHECK(report->status == submit_status::unknown);
        }
        WHEN("it is available again before the time-out")
        {
            loop.advance(10s);
            CHECK(!report);
            log.set_faults({});
            loop.advance(5s);
            REQUIRE(report);
            CHECK(report->status == submit_status::accepted);
            CHECK(report->number == config_number{2});
        }
    }
    GIVEN("a patch that is based on an older number")
    {
        log.append_now({config_stream, {format_patch(zone_patch("other", 1, false))}});
        submit(zone_patch("p1", 1, true));
        loop.advance(1s);
        REQUIRE(report);
        CHECK(report->status == submit_status::conflict);
        REQUIRE(report->accepted_since_base.size() == 1);
        CHECK(report->accepted_since_base[0].id == patch_id{"other"});
        CHECK(log.append_calls() == 0);
    }
    GIVEN("an invalid patch")
    {
        submit(make_patch("p1", 1, {remove_fleet{fleet_name{"kovacic"}}}));
        loop.advance(1s);
        REQUIRE(report);
        CHECK(report->status == submit_status::invalid);
        CHECK(log.append_calls() == 0);
    }
    GIVEN("a log with records of newer rules")
    {
        log.append_now({config_stream, {R"({"rules":2})"}});
        submit(zone_patch("p1", 1, false));
        loop.advance(1s);
        REQUIRE(report);
        CHECK(report->status == submit_status::too_new);
        CHECK(log.append_calls() == 0);
    }
}
