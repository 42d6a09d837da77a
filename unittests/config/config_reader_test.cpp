// Tests of the distribution of configurations to all VMs: normal operation, outages of the log, trimmed records, and
// inconsistent states from peers.
#include "fake_zone.h"
#include "sample_patches.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace agatespar;
using namespace std::chrono_literals;

static constexpr std::size_t zone_vms = 68;
static constexpr std::chrono::seconds propagation_target{5};

namespace {

struct zone_fixture {
    manual_event_loop loop;
    memory_log log{loop, 7};
    fake_zone zone{loop, log.service(), 11};
    std::uint64_t number{0};

    void append(const patch& change) { log.append_now({config_stream, {format_patch(change)}}); }

    void add_owners_and_followers(std::size_t count, bool announcing)
    {
        for (std::size_t i = 0; i < count; ++i) {
            zone.add(announcing).reader->set_tailing(i < 2);
        }
    }

    // Appends the next valid patch to the log.
    void change()
    {
        append(number == 0 ? two_fleets_patch("p0")
                           : zone_patch("p" + std::to_string(number), number, number % 2 == 0));
        ++number;
    }

    bool all_have_number(std::uint64_t expected)
    {
        return std::all_of(zone.vms().begin(), zone.vms().end(), [expected](const auto& vm) {
            return vm->reader->current()->number == config_number{expected};
        });
    }

    bool numbers_never_decreased()
    {
        return std::all_of(zone.vms().begin(), zone.vms().end(),
                           [](const auto& vm) { return std::is_sorted(vm->numbers.begin(), vm->numbers.end()); });
    }
};

} // namespace

// Changes the configuration 20 times. @return the longest time on any VM from acceptance until the change is in force.
static duration longest_propagation(zone_fixture& f)
{
    f.zone.run(5s);
    duration max_propagation_time{};
    for (int i = 0; i < 20; ++i) {
        f.change();
        const steady_time accepted = f.loop.time().now();
        f.zone.run(10s);
        REQUIRE(f.all_have_number(f.number));
        for (const auto& vm : f.zone.vms()) {
            max_propagation_time = std::max(max_propagation_time, vm->in_force.at(f.number) - accepted);
        }
    }
    return max_propagation_time;
}

static std::int64_t to_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

SCENARIO("an accepted change is in force on every VM of a zone within the target")
{
    zone_fixture f;
    f.zone.lost_announcements = GENERATE(0.0, 0.3);
    f.add_owners_and_followers(zone_vms, true);
    const duration max_propagation_time = longest_propagation(f);
    std::cout << "longest time from acceptance to being in force, " << zone_vms
              << " VMs, fraction of announcements lost " << f.zone.lost_announcements << ": "
              << to_ms(max_propagation_time) << " ms\n";
    CHECK(max_propagation_time <= propagation_target);
    CHECK(f.numbers_never_decreased());
    for (const auto& vm : f.zone.vms()) {
        CHECK(vm->reader->ready());
        CHECK(vm->reader->counters().hash_mismatches == 0);
    }
}

SCENARIO("without announcements, heartbeats bring a change to every VM, though possibly later than the target")
{
    zone_fixture f;
    f.add_owners_and_followers(zone_vms, false);
    std::cout << "longest time from acceptance to being in force, " << zone_vms
              << " VMs, heartbeats only: " << to_ms(longest_propagation(f)) << " ms\n";
    CHECK(f.numbers_never_decreased());
}

SCENARIO("the changes of one day cause little read traffic on each VM")
{
    constexpr std::uint64_t changes = 3'700;
    // Total budget for control traffic: 9 KB/s per VM.
    constexpr std::uint64_t control_bytes_a_day = 9'000ULL * 86'400;
    zone_fixture f;
    f.add_owners_and_followers(8, true);
    f.zone.run(5s);
    for (std::uint64_t i = 0; i < changes; ++i) {
        f.change();
        f.zone.run(1s);
    }
    REQUIRE(f.all_have_number(changes));
    const auto& owner = f.zone.at(0);
    const auto& follower = f.zone.at(5);
    const std::uint64_t owner_bytes =
        owner.reader->counters().log_bytes + owner.writer->counters().bytes_read + owner.bytes_in;
    std::cout << "bytes read at " << changes << " changes: owner " << owner_bytes << ", follower " << follower.bytes_in
              << ", snapshots written " << owner.writer->counters().written + f.zone.at(1).writer->counters().written
              << "\n";
    CHECK(owner_bytes < control_bytes_a_day / 100);
    CHECK(follower.bytes_in < control_bytes_a_day / 100);
    CHECK(follower.reader->counters().log_bytes == 0);
}

SCENARIO("VMs keep their configuration during a long outage of the log and catch up afterwards")
{
    zone_fixture f;
    f.add_owners_and_followers(12, true);
    f.zone.run(5s);
    f.change();
    f.zone.run(10s);
    REQUIRE(f.all_have_number(1));
    WHEN("it is down")
    {
        log_faults faults;
        faults.down = true;
        f.log.set_faults(faults);
        f.zone.run(600s);
        THEN("every VM keeps its number and reports the time since the last contact")
        {
            CHECK(f.all_have_number(1));
            CHECK(f.zone.at(7).reader->contact_age() >= 590s);
            CHECK(f.zone.at(7).reader->ready());
            service_settings service;
            CHECK(accepts_new_requests(service, f.zone.at(7).reader->contact_age()));
            service.cut_off_limit = 300s;
            CHECK(!accepts_new_requests(service, f.zone.at(7).reader->contact_age()));
        }
        AND_WHEN("it is available again and contains a change")
        {
            f.log.set_faults({});
            f.change();
            f.zone.run(propagation_target);
            THEN("the change is in force within the target")
            {
                CHECK(f.all_have_number(2));
                CHECK(f.zone.at(7).reader->contact_age() <= propagation_target);
            }
        }
    }
    WHEN("it is slow")
    {
        log_faults faults;
        faults.delay = 3s;
        f.log.set_faults(faults);
        f.change();
        f.zone.run(10s);
        CHECK(f.all_have_number(2));
    }
    WHEN("the owners are cut off from their zone")
    {
        f.zone.at(0).cut_off = true;
        f.zone.at(1).cut_off = true;
        f.change();
        f.zone.run(60s);
        THEN("a follower reads the log itself and the others pull from it")
        {
            CHECK(f.all_have_number(2));
        }
    }
}

SCENARIO("a new VM starts from a snapshot and the records after it")
{
    zone_fixture f;
    f.zone.writer_settings.max_records = 50;
    f.add_owners_and_followers(4, true);
    f.zone.run(5s);
    for (int i = 0; i < 120; ++i) {
        f.change();
        f.zone.run(2s);
    }
    f.zone.run(120s);
    const read_batch snapshots = f.log.read_now({config_snapshot_stream, log_offset{1}});
    REQUIRE(!snapshots.records.empty());
    const config_snapshot newest = *parse_snapshot(snapshots.records.back().payload);
    GIVEN("a log that still has all records after the snapshot")
    {
        for (int i = 0; i < 10; ++i) {
            f.change();
        }
        f.log.trim(config_stream, log_offset{newest.state.covers.value() + 1});
        fake_zone alone{f.loop, f.log.service(), 3};
        alone.add().reader->set_tailing(true);
        const steady_time start = f.loop.time().now();
        alone.run(2s);
        const config_reader& reader = *alone.at(0).reader;
        CHECK(reader.ready());
        CHECK(reader.current()->number == config_number{f.number});
        CHECK(reader.counters().snapshots_loaded == 1);
        CHECK(reader.counters().accepted + newest.state.current->number.value() == f.number);
        std::cout
            << "start from snapshot and tail: "
            << std::chrono::duration_cast<std::chrono::milliseconds>(alone.at(0).in_force.at(f.number) - start).count()
            << " ms, " << reader.counters().log_bytes << " bytes\n";
    }
    GIVEN("a log whose first record after the snapshot was trimmed")
    {
        f.change();
        f.zone.run(5s);
        f.log.trim(config_stream, log_offset{newest.state.covers.value() + 2});
        WHEN("the VM has no peers")
        {
            fake_zone alone{f.loop, f.log.service(), 3};
            alone.add().reader->set_tailing(true);
            alone.run(30s);
            const config_reader& reader = *alone.at(0).reader;
            THEN("it is not ready, and folds no records after the gap")
            {
                CHECK(!reader.ready());
                CHECK(reader.counters().trimmed == 1);
                CHECK(reader.state().covers == newest.state.covers);
            }
            AND_WHEN("a later snapshot is available")
            {
                const config_snapshot later{f.zone.at(0).reader->state(), wall_time{}};
                f.log.append_now({config_snapshot_stream, {format_snapshot(later), format_snapshot(later), "junk"}});
                alone.run(10s);
                CHECK(reader.ready());
                CHECK(reader.current()->number == config_number{f.number});
            }
        }
        WHEN("it has peers")
        {
            fake_zone::vm& fresh = f.zone.add();
            fresh.reader->set_tailing(true);
            f.zone.run(10s);
            CHECK(fresh.reader->ready());
            CHECK(fresh.reader->current()->number == config_number{f.number});
        }
    }
}

SCENARIO("invalid records and records of newer rules do not change the configuration")
{
    zone_fixture f;
    f.add_owners_and_followers(6, true);
    f.change();
    f.log.append_now(
        {config_stream, {"junk", format_patch(two_fleets_patch("p0")), format_patch(zone_patch("x", 0, true))}});
    f.change();
    f.zone.run(10s);
    REQUIRE(f.all_have_number(2));
    CHECK(f.zone.at(0).reader->counters().malformed == 1);
    CHECK(f.zone.at(0).reader->counters().repeated == 1);
    CHECK(f.zone.at(0).reader->counters().conflicts == 1);
    f.log.append_now({config_stream, {R"({"rules":2})"}});
    f.change();
    f.zone.run(60s);
    CHECK(f.all_have_number(2));
    CHECK(f.zone.at(0).reader->counters().too_new == 1);
    CHECK(f.zone.at(0).reader->state().stopped_by_rules == 2);
}

SCENARIO("a peer's state that contradicts this VM's history or itself is refused")
{
    zone_fixture f;
    f.add_owners_and_followers(3, true);
    f.change();
    f.change();
    f.zone.run(10s);
    config_reader& reader = *f.zone.at(2).reader;
    config_mark wrong = f.zone.at(0).reader->mark();
    wrong.chain_hash += 1;
    reader.handle_peer_mark(wrong);
    CHECK(reader.counters().hash_mismatches == 1);

    GIVEN("a state folded from other records")
    {
        fold_state other;
        record_history history;
        for (std::uint64_t i = 0; i < 4; ++i) {
            const log_record record{
                log_offset{i + 1},
                format_patch(i == 0 ? two_fleets_patch("q0") : zone_patch("q" + std::to_string(i), i, false))};
            fold(other, record);
            history.add(record);
        }
        const config_mark mark{boot_id{9}, other.current->number, other.current->chain_hash, other.covers, true, 0};
        reader.handle_state(answer_pull(other, history, {log_offset{2}}, mark));
        THEN("its records result in another hash and are not adopted")
        {
            CHECK(reader.counters().hash_mismatches == 2);
            CHECK(reader.current()->number == config_number{2});
        }
        THEN("a snapshot that does not match its mark is not adopted")
        {
            config_state wrong_mark = answer_pull(other, record_history{}, {log_offset{0}}, mark);
            wrong_mark.mark.number = config_number{1};
            reader.handle_state(wrong_mark);
            CHECK(reader.counters().states_refused == 1);
            CHECK(reader.current()->number == config_number{2});
        }
    }
    GIVEN("a snapshot of a smaller number that claims a later offset")
    {
        fold_state old;
        fold(old, {log_offset{1}, format_patch(two_fleets_patch("p0"))});
        old.covers = log_offset{100};
        const config_mark mark{boot_id{9}, old.current->number, old.current->chain_hash, old.covers, true, 0};
        reader.handle_state(answer_pull(old, record_history{}, {log_offset{2}}, mark));
        THEN("the number does not decrease")
        {
            CHECK(reader.counters().states_refused == 1);
            CHECK(reader.current()->number == config_number{2});
        }
    }
}

SCENARIO("a pull whose answer is lost is sent again, a limited number of times")
{
    manual_event_loop loop;
    memory_log log{loop, 7};
    std::mt19937_64 random{1};
    unsigned pulls = 0;
    config_reader_environment environment;
    environment.log = log.service();
    environment.send_pull = [&](boot_id, const config_pull&) { ++pulls; };
    environment.changed = [](const std::shared_ptr<const configuration>&) {};
    config_reader_settings settings;
    settings.self = boot_id{1};
    config_reader reader{loop, environment, settings, random};
    reader.start();
    fold_state ahead;
    record_history history;
    const log_record record{log_offset{1}, format_patch(two_fleets_patch("p0"))};
    fold(ahead, record);
    history.add(record);
    const config_mark mark{boot_id{2}, ahead.current->number, ahead.current->chain_hash, ahead.covers, true, 0};
    reader.handle_peer_mark(mark);
    CHECK(pulls == 1);
    WHEN("the second pull is answered")
    {
        loop.advance(1500ms);
        CHECK(pulls == 2);
        reader.handle_state(answer_pull(ahead, history, {log_offset{0}}, mark));
        loop.advance(10s);
        CHECK(pulls == 2);
        CHECK(reader.ready());
        CHECK(reader.current()->number == config_number{1});
    }
    WHEN("no pull is answered")
    {
        loop.advance(60s);
        CHECK(pulls == settings.max_pulls);
        CHECK(reader.current()->number == config_number{0});
    }
}
