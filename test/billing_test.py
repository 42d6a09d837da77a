"""Each answered request is billed once, with repeated keys, killed VMs, and lost or late answers of the log."""

import os
import unittest

from harness.fleet import Fleet, is_complete, new_key
from harness.processes import BackgroundTask, wait_until

ACCOUNT = "kovacic/front"


class BillingCase(unittest.TestCase):
    """A zone, and the number of requests that were answered."""

    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        self.fleet.start_one_zone("vm-1", "vm-2")
        # start_one_zone() gets one question answered through each VM.
        self.answered = 2

    def send_until_it_runs(self, send):
        """Sends a request until it is answered. A request refused as not_run is sent again; it must not be billed."""
        answers = []

        def ran():
            answers.append(send())
            return answers[-1].status == 200 or answers[-1].error()["ran"] != "not_run"

        wait_until(ran, "a request to run")
        self.assertEqual(answers[-1].status, 200, answers[-1].body)
        return answers[-1]

    def send_chat(self, name, prompt, **fields):
        answer = self.send_until_it_runs(lambda: self.fleet.chat(name, prompt, **fields))
        if not fields.get("stream"):
            self.assertTrue(is_complete(answer, prompt), answer.body)
        self.answered += 1

    def book(self, name, key):
        self.send_until_it_runs(
            lambda: self.fleet.service(name, "narudzbe/book", {"order": key}, idempotency_key=key)
        )

    def check_number_of_bills(self):
        """Waits until all bills are in the log, stops all VMs, as a VM appends its pending records when it stops, and
        checks the number of bills."""
        wait_until(lambda: self.fleet.read_usage_counts(ACCOUNT)[0] >= self.answered, f"{self.answered} bills")
        for name in self.fleet.daemons:
            self.assertEqual(self.fleet.processes[name].stop(), 0)
        self.assertEqual(self.fleet.read_usage_counts(ACCOUNT)[0], self.answered)


class WhenNothingFails(BillingCase):
    def test_each_answer_has_one_bill(self):
        for number in range(10):
            self.send_chat("vm-1" if number % 2 else "vm-2", f"question {number}", stream=number % 3 == 0)
        self.fleet.service("vm-1", "narudzbe/look_up", {"order": 1})
        self.answered += 1
        self.check_number_of_bills()

    def test_a_repeated_key_has_one_bill(self):
        keys = [new_key() for _ in range(3)]
        for key in keys:
            for name in ("vm-1", "vm-2", "vm-2"):
                self.book(name, key)
        self.answered += len(keys)
        self.check_number_of_bills()

    def test_a_refusal_has_no_bill(self):
        refused = self.fleet.chat("vm-1", "Draft it", target="assistant-colombe")
        self.assertEqual(refused.error()["ran"], "not_run")
        self.send_chat("vm-1", "Which finish suits oak?")
        self.check_number_of_bills()


class WhenAVmIsKilledAfterItsAnswers(BillingCase):
    def test_another_vm_appends_its_bills(self):
        for number in range(8):
            self.send_chat("vm-1", f"question {number}")
        key = new_key()
        self.book("vm-1", key)
        self.answered += 1
        self.fleet.kill_daemon("vm-1")
        # If the outcome was lost with the VM, the repeated submission fails with an unknown outcome and is not billed.
        repeat = self.fleet.service("vm-2", "narudzbe/book", {"order": key}, idempotency_key=key)
        self.assertTrue(repeat.status == 200 or repeat.error()["ran"] != "not_run", repeat.body)
        self.send_chat("vm-2", "Is anyone there?")
        self.check_number_of_bills()


class WhenTheLogFails(BillingCase):
    def test_bills_are_appended_once_the_log_is_up_again(self):
        self.fleet.faults("log", down=True)
        callers = [
            BackgroundTask(lambda number=number: self.send_chat("vm-1", f"question {number}")) for number in range(6)
        ]
        for caller in callers:
            caller.wait()
            self.assertIsNone(caller.problem, repr(caller.problem))
        self.fleet.faults("log", down=False)
        self.check_number_of_bills()

    def test_lost_answers_of_the_log_cause_no_duplicate_bill(self):
        self.fleet.faults("log", lost_answers=0.5)
        for number in range(12):
            self.send_chat("vm-1" if number % 2 else "vm-2", f"question {number}")
        wait_until(lambda: self.fleet.read_usage_counts(ACCOUNT)[0] >= self.answered, f"{self.answered} bills")
        self.fleet.faults("log", lost_answers=0)
        self.check_number_of_bills()

    def test_a_vm_killed_while_the_log_is_down_loses_no_bill(self):
        self.fleet.faults("log", down=True)
        for number in range(4):
            self.send_chat("vm-1", f"question {number}")
        self.fleet.kill_daemon("vm-1")
        self.fleet.faults("log", down=False)
        self.check_number_of_bills()


if __name__ == "__main__":
    unittest.main()
