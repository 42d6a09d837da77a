"""Non-idempotent calls run at most once, and callers get correct results, when VMs, the log and servers fail."""

import os
import unittest

from harness.fleet import Fleet, new_key
from harness.processes import BackgroundTask, wait_until

ORDERS = "kovacic-orders-1"


class CallersCase(unittest.TestCase):
    """A zone whose entry VMs are killed and replaced, and callers that submit their keys repeatedly."""

    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        self.fleet.start_one_zone("vm-1", "vm-2")
        self.answers = {}

    def runs(self, key):
        return self.fleet.counts(ORDERS)["runs"].get(key, 0)

    def book(self, name, key):
        """Sends a booking and records the answer."""
        answer = self.fleet.service(name, "narudzbe/book", {"order": key}, idempotency_key=key, timeout=180)
        if answer.status != 200 and answer.error()["ran"] == "not_run":
            # No other request with this key is in flight, so any run counted now happened before the answer.
            self.assertEqual(self.runs(key), 0, "not_run was reported for a call that ran: " + answer.body)
        self.answers.setdefault(key, []).append(answer)
        return answer

    def book_in_background(self, name, key):
        return BackgroundTask(lambda: self.book(name, key))

    def check_runs_and_answers(self, key):
        """Checks that the call ran at most once and that each caller with an answer got the answer of that run."""
        self.assertLessEqual(self.runs(key), 1, "the call ran twice")
        bodies = {answer.body for answer in self.answers.get(key, []) if answer.status == 200}
        self.assertLessEqual(len(bodies), 1, "two callers of one key got different answers")
        if bodies:
            self.assertEqual(self.runs(key), 1, "an answer was given, but the call did not run")


class WhenAnEntryVmIsKilled(CallersCase):
    def test_each_step_of_a_call_leaves_at_most_one_run(self):
        steps = {
            "while its claim is pending": self.kill_while_the_claim_is_pending,
            "while the server has not read the call": self.kill_before_the_server_reads_the_call,
            "while the server works": self.kill_while_the_call_runs,
            "after the answer, before the bill": self.kill_after_the_answer,
        }
        repeats = []
        for number, (step, kill) in enumerate(steps.items()):
            victim = f"victim-{number}"
            self.fleet.start_daemon("kovacic", "centre", victim)
            self.fleet.wait_serving(victim, servers=2)
            self.wait_booking("vm-1", "vm-2", victim)
            key = new_key()
            kill(victim, key)
            self.fleet.remove_from_vm_list(victim)
            repeats.append((step, key, self.book_in_background("vm-2", key)))
        for step, key, repeat in repeats:
            with self.subTest(killed=step):
                self.assertIsNotNone(repeat.wait(), f"the repeated submission failed: {repeat.problem!r}")
                self.check_runs_and_answers(key)
        with self.subTest("the other VMs still serve"):
            key = new_key()
            self.assertEqual(self.book("vm-1", key).status, 200)
            self.check_runs_and_answers(key)

    def wait_booking(self, *vms):
        """Waits until bookings run through each VM. A new permit owner grants no permits for a server that it has no
        load report of."""
        self.fleet.wait_for_ledger_owners(*vms)
        for name in vms:
            wait_until(lambda name=name: self.book(name, new_key()).status == 200, "a booking at " + name)

    def kill_while_the_claim_is_pending(self, victim, key):
        self.fleet.faults("log", delay_ms=1500)
        self.book_in_background(victim, key)
        wait_until(lambda: self.fleet.running(victim) == 1, "the call to start")
        self.fleet.processes[victim].kill()
        self.fleet.faults("log", delay_ms=0)

    def kill_before_the_server_reads_the_call(self, victim, key):
        sent_before = self.fleet.status(victim)["requests"]["attempts"]
        self.fleet.processes[ORDERS].pause()
        self.book_in_background(victim, key)
        wait_until(lambda: self.fleet.status(victim)["requests"]["attempts"] > sent_before, "the call to be sent")
        self.fleet.processes[victim].kill()
        self.fleet.processes[ORDERS].resume()

    def kill_while_the_call_runs(self, victim, key):
        self.fleet.faults(ORDERS, delay_ms=1000)
        self.book_in_background(victim, key)
        wait_until(lambda: self.runs(key) == 1, "the call to run")
        self.fleet.processes[victim].kill()
        self.fleet.faults(ORDERS, delay_ms=0)

    def kill_after_the_answer(self, victim, key):
        self.fleet.faults("log", delay_ms=500)
        first = self.book(victim, key)
        self.assertEqual(first.status, 200, first.body)
        self.fleet.processes[victim].kill()
        self.fleet.faults("log", delay_ms=0)


class WhenTheHolderOfAClaimIsPaused(CallersCase):
    def test_a_holder_that_resumes_after_its_claim_expired_runs_nothing_twice(self):
        self.fleet.faults("log", delay_ms=1500)
        keys = [new_key() for _ in range(4)]
        first = [self.book_in_background("vm-1", key) for key in keys]
        wait_until(lambda: self.fleet.running("vm-1") == len(keys), "the calls to start")
        self.fleet.processes["vm-1"].pause()
        self.fleet.faults("log", delay_ms=0)
        # Claims expire after 30 s. Each key is submitted again until the answer is no longer that its claim is held.
        for key in keys:
            self.repeat_until_final_answer("vm-2", key)
        self.fleet.processes["vm-1"].resume()
        for caller in first:
            caller.wait()
            self.assertIsNone(caller.problem, f"a paused call got no answer: {caller.problem!r}")
        wait_until(lambda: self.fleet.running("vm-1") == 0, "the paused VM to end its calls")
        for key in keys:
            self.check_runs_and_answers(key)

    def repeat_until_final_answer(self, name, key):
        def is_final():
            answer = self.book(name, key)
            return answer.status == 200 or answer.error()["code"] == "outcome_unknown"

        wait_until(is_final, "a final answer", timeout_s=120)


class WhenAServerRefuses(CallersCase):
    # Guards against a second run of an order: client libraries send a call again by themselves after 429 and 503.
    def test_a_call_that_may_have_run_gets_no_status_that_asks_for_a_repeat(self):
        for server_status in (408, 429, 503):
            self.fleet.faults(ORDERS, unproven_status=server_status)
            for keyed in (True, False):
                with self.subTest(server_status=server_status, keyed=keyed):
                    key = new_key() if keyed else None
                    runs_before = self.count_all_runs()
                    answer = self.fleet.service("vm-1", "narudzbe/book", {"order": 1}, idempotency_key=key)
                    self.assertEqual(self.count_all_runs(), runs_before + 1)
                    self.assertNotIn(answer.status, (408, 421, 429, 503), answer.body)
                    self.assertEqual(answer.error()["ran"], "outcome_unknown")
                    self.assertNotIn("Retry-After", answer.headers)
                    self.assertIsNone(answer.error()["retry_after_ms"])

    def test_a_call_that_its_server_refused_with_proof_may_be_sent_again(self):
        self.fleet.faults(ORDERS, refuse=True)
        answer = self.fleet.service("vm-1", "narudzbe/book", {"order": 1})
        self.assertEqual((answer.status, answer.error()["ran"]), (503, "not_run"))
        self.assertEqual(self.count_all_runs(), 0)

    def count_all_runs(self):
        return sum(self.fleet.counts(ORDERS)["runs"].values())


class WhenAnswersOfTheLogAreLost(CallersCase):
    def test_repeated_keys_run_at_most_once_and_agree(self):
        self.fleet.faults("log", lost_answers=0.5)
        keys = [new_key() for _ in range(12)]
        callers = [BackgroundTask(lambda key=key: self.repeat(key)) for key in keys]
        for key, caller in zip(keys, callers):
            caller.wait()
            self.assertIsNone(caller.problem, f"a repeated submission failed: {caller.problem!r}")
            self.check_runs_and_answers(key)
        self.fleet.faults("log", lost_answers=0)
        for key in keys:
            last = self.book("vm-1", key)
            self.check_runs_and_answers(key)
            if any(answer.status == 200 for answer in self.answers[key][:-1]):
                self.assertEqual(last.status, 200, "the outcome of an answered key was lost: " + last.body)

    def repeat(self, key):
        for name in ("vm-1", "vm-2", "vm-1"):
            self.book(name, key)


class WhenTheLogIsDown(CallersCase):
    def test_bookings_are_refused_with_the_correct_state_while_chat_requests_run(self):
        self.fleet.faults("log", down=True)
        keys = [new_key() for _ in range(3)]
        callers = [self.book_in_background(name, key) for name, key in zip(("vm-1", "vm-2", "vm-1"), keys)]
        chat = self.fleet.chat("vm-1", "Which finish suits oak?")
        self.assertEqual(chat.status, 200, chat.body)
        found = self.fleet.service("vm-2", "narudzbe/look_up", {"order": 7})
        self.assertEqual(found.status, 200, found.body)
        for key, caller in zip(keys, callers):
            answer = caller.wait()
            self.assertIsNotNone(answer, f"the booking got no answer: {caller.problem!r}")
            self.assertNotEqual(answer.status, 200, "a booking ran without a claim in the log")
            self.assertIn(answer.error()["ran"], ("not_run", "outcome_unknown"))
            self.assertEqual(self.runs(key), 0)
        self.fleet.faults("log", down=False)
        for key in keys:
            self.check_booking_after_outage(key)

    def check_booking_after_outage(self, key):
        wait_until(lambda: self.book("vm-2", key).status == 200, "a booking after the outage of the log", timeout_s=120)
        self.check_runs_and_answers(key)


if __name__ == "__main__":
    unittest.main()
