// Kills a VM at each step of a non-idempotent request, from the claim to the usage record, and submits the key again
// through another VM.
#include "ledger_fixture.h"
#include "usage_fixture.h"

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

/// The point at which the VM is killed.
enum class kill_step {
    before_claim,
    /// The key is claimed; the request was not sent to a backend server.
    after_claim,
    /// The request was sent to a backend server; its outcome is not recorded.
    after_dispatch,
    /// The outcome is recorded; the usage is not.
    after_outcome,
    /// Another VM holds a copy of the usage record; the log does not have it.
    after_hold,
    /// The log has the usage record.
    after_bill,
    never,
};

/// Three VMs that claim a key, run the request, record its outcome and bill its usage. The ledger and billing have
/// separate event loops, which are advanced together.
struct request_fixture {
    void advance(std::chrono::milliseconds step)
    {
        ledger.loop.advance(step);
        usage.loop.advance(step);
    }

    void kill(std::size_t vm)
    {
        ledger.kill(vm);
        usage.kill(boot_id{vm + 1});
    }

    void bill(std::size_t vm, const request_id& request)
    {
        REQUIRE(usage.bill(boot_id{vm + 1}, request.value(), true));
        advance(10ms);
        answered = answered || usage.answered[request.value()] > 0;
    }

    /// Serves the key on a VM that is killed at the given step.
    void serve(std::size_t vm, const claim_order& order, kill_step killed_at)
    {
        if (killed_at == kill_step::before_claim) {
            return kill(vm);
        }
        const auto result = ledger.claim(vm, order);
        if (killed_at == kill_step::after_claim) {
            return kill(vm);
        }
        if (!result) {
            reported_not_run = reported_not_run || result.error().ran == run_state::not_run;
            return;
        }
        if (const auto* repeat = std::get_if<stored_outcome>(&*result)) {
            return bill(vm, repeat->request);
        }
        const granted_claim claim = granted(result);
        REQUIRE(ledger.vms[vm]->client->begin_dispatch(claim));
        ++runs;
        if (killed_at == kill_step::after_dispatch) {
            return kill(vm);
        }
        ledger.vms[vm]->client->record_outcome(claim, {claim.request, 201, "", "booked", false});
        advance(500ms);
        if (killed_at == kill_step::after_outcome) {
            return kill(vm);
        }
        bill(vm, claim.request);
        if (killed_at == kill_step::after_bill) {
            advance(6s);
        }
        if (killed_at != kill_step::never) {
            kill(vm);
        }
    }

    ledger_fixture ledger{3};
    usage_fixture usage{3};
    int runs{0};
    bool answered{false};
    bool reported_not_run{false};
};

} // namespace

SCENARIO("the failure of a VM at any step causes no second run and no lost or second bill")
{
    for (int step = 0; step <= static_cast<int>(kill_step::never); ++step) {
        request_fixture test;
        test.ledger.first_owner = 2;
        // Appends of usage records fail, so that only the holder has the record of a VM that is killed after the hold.
        test.usage.log.set_faults({true, 0.0, 0ms});
        if (step == static_cast<int>(kill_step::after_bill)) {
            test.usage.log.set_faults({});
        }
        const claim_order order = test.ledger.order("k");
        test.serve(0, order, static_cast<kill_step>(step));
        test.serve(1, order, kill_step::never);
        test.usage.log.set_faults({});
        test.advance(5min);
        INFO("step " << step);
        CHECK(test.runs <= 1);
        CHECK((!test.reported_not_run || test.runs == 0));
        CHECK(test.usage.billed() == (test.answered ? 1 : 0));
        const bool lost_before_outcome =
            step == static_cast<int>(kill_step::after_claim) || step == static_cast<int>(kill_step::after_dispatch);
        CHECK(test.answered != lost_before_outcome);
    }
}
