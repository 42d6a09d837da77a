// Checks the invariants runs_at_most_once and not_run_is_true over random schedules of submissions, VM failures,
// changes of owner and faults of the log.
#include "ledger_fixture.h"

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

constexpr int caller_count = 8;

/// The caller of one key. Submits the key again after a time-out, until an answer other than outcome_unknown arrives.
struct caller {
    std::string key;
    wall_time key_time;
    int submissions{0};
    /// Number of the latest submission; answers to earlier ones are ignored.
    int latest_submission{0};
    bool settled{false};
    bool reported_not_run{false};
    int runs{0};
};

struct schedule_fixture {
    explicit schedule_fixture(std::uint64_t seed) : ledger(3, seed), random(seed * 7919)
    {
        ledger.settings.key_window = 40s;
        ledger.settings.window_slack = 15s;
        ledger.settings.claim_lifetime = 10s;
        ledger.settings.max_clock_skew = 1s;
        ledger.settings.max_run_time = 10s;
        ledger.settings.min_snapshot_tail = 5;
        for (std::size_t index = 0; index < ledger.vms.size(); ++index) {
            ledger.boot(index);
        }
        for (caller& sender : callers) {
            sender.key = "key-" + std::to_string(&sender - callers.data());
        }
    }

    std::chrono::milliseconds up_to(std::chrono::milliseconds bound)
    {
        return std::chrono::milliseconds{random() % static_cast<std::uint64_t>(bound.count())};
    }

    bool chance(double probability) { return std::bernoulli_distribution{probability}(random); }

    void submit(caller& sender)
    {
        if (sender.settled || sender.submissions == 5) {
            return;
        }
        const int submission_number = ++sender.submissions;
        sender.latest_submission = submission_number;
        const std::size_t vm = random() % ledger.vms.size();
        if (submission_number > 1 && chance(0.2)) {
            cancel(sender, vm, submission_number);
        }
        else {
            send_claim(sender, vm, submission_number);
        }
        ledger.loop.schedule(2s + up_to(14s), [this, &sender] { submit(sender); });
    }

    claim_order order_of(const caller& sender, int submission_number)
    {
        const bool first = submission_number == 1 && chance(0.5);
        claim_order order = ledger.order(sender.key, first ? submission::first : submission::possibly_repeated);
        order.key_time = sender.key_time;
        order.timeout = 500ms + up_to(5s);
        return order;
    }

    void send_claim(caller& sender, std::size_t vm, int submission_number)
    {
        const std::weak_ptr<ledger_vm> process = ledger.vms[vm];
        ledger.vms[vm]->client->claim(order_of(sender, submission_number), [this, &sender, process, submission_number](
                                                                               const outcome<claim_result>& result) {
            if (!result) {
                on_result(sender, submission_number, result.error().ran);
                return;
            }
            if (std::holds_alternative<stored_outcome>(*result)) {
                on_result(sender, submission_number, run_state::ran);
                return;
            }
            // Simulates a pause of the holder that may be longer than claim_lifetime.
            ledger.loop.schedule(chance(0.7) ? up_to(500ms) : up_to(20s),
                                 [this, &sender, process, submission_number, claim = granted(result)] {
                                     dispatch(sender, process, submission_number, claim);
                                 });
        });
    }

    void dispatch(caller& sender, const std::weak_ptr<ledger_vm>& process, int submission_number,
                  const granted_claim& claim)
    {
        const auto vm = process.lock();
        if (!vm) {
            return;
        }
        if (const auto verdict = vm->client->begin_dispatch(claim); !verdict) {
            on_result(sender, submission_number, verdict.error().ran);
            return;
        }
        ++sender.runs;
        ledger.loop.schedule(up_to(3s), [this, &sender, process, submission_number, claim] {
            if (const auto alive = process.lock()) {
                alive->client->record_outcome(claim, {claim.request, 200, "", claim.key.key.value(), false});
                on_result(sender, submission_number, run_state::ran);
            }
        });
    }

    void cancel(caller& sender, std::size_t vm, int submission_number)
    {
        const claim_order order = order_of(sender, submission_number);
        ledger.vms[vm]->client->cancel(order.key, order.key_time, order.timeout,
                                       [this, &sender, submission_number](const outcome<key_report>& report) {
                                           if (report && report->state == ledger_verdict::cancelled) {
                                               on_result(sender, submission_number, run_state::not_run);
                                           }
                                       });
    }

    void on_result(caller& sender, int submission_number, run_state ran)
    {
        if (submission_number != sender.latest_submission || sender.settled) {
            return;
        }
        sender.settled = ran != run_state::outcome_unknown;
        sender.reported_not_run = ran == run_state::not_run;
    }

    void inject_fault()
    {
        switch (random() % 8) {
        case 0:
        case 1: {
            const std::size_t victim = random() % ledger.vms.size();
            ledger.kill(victim);
            ledger.boot(victim);
            break;
        }
        case 2:
            ledger.first_owner = random() % ledger.vms.size();
            break;
        case 3:
            ledger.owners_differ = !ledger.owners_differ;
            break;
        case 4:
            ledger.log.set_faults({!ledger.log.faults().down, 0.1 + 0.1 * static_cast<double>(random() % 5), 20ms});
            break;
        case 5:
            ledger.late_append_probability = chance(0.5) ? 0.3 : 0.0;
            break;
        case 6:
            ledger.log.set_faults({false, 0.3, up_to(1500ms)});
            break;
        default:
            trim();
        }
    }

    void trim()
    {
        const stream_name stream =
            ledger_stream(partition_of(ledger.order(callers[random() % callers.size()].key).key));
        const read_batch head = ledger.log.read_now({stream, log_offset{1}, 0});
        const std::uint64_t kept = head.next.value() - head.first_retained.value();
        if (kept > 0) {
            ledger.log.trim(stream, log_offset{head.first_retained.value() + random() % kept});
        }
    }

    void run()
    {
        for (caller& sender : callers) {
            ledger.loop.schedule(up_to(20s), [this, &sender] {
                sender.key_time = ledger.loop.time().wall_now();
                submit(sender);
            });
        }
        for (int fault = 0; fault < 12; ++fault) {
            ledger.loop.advance(up_to(6s));
            inject_fault();
        }
        ledger.log.set_faults({});
        ledger.loop.advance(2min);
    }

    ledger_fixture ledger;
    std::mt19937_64 random;
    std::vector<caller> callers{caller_count};
};

} // namespace

SCENARIO("runs_at_most_once and not_run_is_true hold over random schedules")
{
    int runs = 0;
    int reported_not_run = 0;
    int settled = 0;
    constexpr int seeds = 3000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_fixture test{seed};
        test.run();
        for (const caller& sender : test.callers) {
            INFO("seed " << seed << ", key " << sender.key);
            INFO("runs_at_most_once");
            REQUIRE(sender.runs <= 1);
            INFO("not_run_is_true");
            REQUIRE((!sender.reported_not_run || sender.runs == 0));
            runs += sender.runs;
            reported_not_run += sender.reported_not_run ? 1 : 0;
            settled += sender.settled ? 1 : 0;
        }
    }
    // The invariants are meaningful only if the schedules contain enough runs and enough refusals.
    CHECK(runs > seeds * caller_count / 4);
    CHECK(reported_not_run > seeds * caller_count / 40);
    WARN("runs " << runs << ", reported not run " << reported_not_run << ", settled " << settled << " of "
                 << seeds * caller_count);
}
