"""Tests of the configuration with running VMs: concurrent operators, replaced VMs and an outage of the log.

The configuration number must never decrease on any VM.
"""

import json
import os
import threading
import unittest

from harness.fleet import Fleet
from harness.processes import BackgroundTask, wait_until

OPERATORS = 8
PATCHES_PER_OPERATOR = 5
ACCEPTED = 0
REFUSED = 1


class NumberWatch:
    """Polls the configuration numbers of VMs and records each decrease."""

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.names = names
        self.falls = []
        self.looks = 0
        self.ended = threading.Event()
        self.work = BackgroundTask(self.run)

    def run(self):
        highest = dict.fromkeys(self.names, 0)
        while not self.ended.wait(0.05):
            for name in self.names:
                number = self.fleet.status(name)["config"]["number"]
                if number < highest[name]:
                    self.falls.append((name, highest[name], number))
                highest[name] = max(highest[name], number)
                self.looks += 1

    def end(self):
        self.ended.set()
        self.work.wait()


class ConfigurationCase(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        self.fleet.start_one_zone("vm-1", "vm-2")

    def accepted(self):
        code, output = self.fleet.run_agatesparctl("config", "show", "--json")
        self.assertEqual(code, ACCEPTED, output)
        return json.loads(output)

    def add_class(self, name, base):
        operation = {"op": "put_class", "fleet": "kovacic", "class": name, "deadline_ms": 20000}
        return self.fleet.patch([operation], base)


class WhenOperatorsRace(ConfigurationCase):
    def test_numbers_are_gapless_and_nothing_accepted_is_lost(self):
        watch = NumberWatch(self.fleet, ["vm-1", "vm-2"])
        operators = [BackgroundTask(lambda index=index: self.operate(index)) for index in range(OPERATORS)]
        won = []
        for operator in operators:
            result = operator.wait()
            self.assertIsNotNone(result, repr(operator.problem))
            won += result
        last = 1 + len(won)
        self.fleet.wait_config(last)
        watch.end()
        self.assertIsNone(watch.work.problem, repr(watch.work.problem))
        self.assertGreater(watch.looks, 0)
        self.assertEqual(watch.falls, [])
        final = self.accepted()
        self.assertEqual(final["number"], last)
        classes = final["fleets"]["kovacic"]["classes"]
        self.assertLessEqual(set(won), set(classes))
        self.assertEqual([name for name in classes if name.startswith("race-") and name not in won], [])
        for name in self.fleet.daemons:
            self.assertEqual(self.fleet.status(name)["config"]["number"], last)

    def operate(self, index):
        """Submits patches and returns the names of the accepted ones. All others must be reported as conflicts."""
        won = []
        for number in range(PATCHES_PER_OPERATOR):
            name = f"race-{index}-{number}"
            code, output = self.add_class(name, self.accepted()["number"])
            if code == ACCEPTED:
                won.append(name)
                continue
            self.assertEqual(code, REFUSED, output)
            self.assertIn("conflict", output)
        return won


class WhenAVmIsReplaced(ConfigurationCase):
    def test_its_successor_reaches_the_same_number(self):
        self.assertEqual(self.add_class("second", 1)[0], ACCEPTED)
        self.fleet.wait_config(2)
        self.fleet.kill_daemon("vm-1")
        self.assertEqual(self.add_class("third", 2)[0], ACCEPTED)
        self.fleet.start_daemon("kovacic", "centre", "vm-3")
        self.fleet.wait_ready(["vm-3"])
        self.fleet.wait_config(3)

    def test_while_the_log_is_down_it_starts_from_a_peer_and_catches_up_later(self):
        self.assertEqual(self.add_class("second", 1)[0], ACCEPTED)
        self.fleet.wait_config(2)
        self.fleet.faults("log", down=True)
        self.fleet.start_daemon("kovacic", "centre", "vm-3")
        self.fleet.wait_ready(["vm-3"])
        self.assertGreaterEqual(self.fleet.status("vm-3")["config"]["number"], 2)
        self.fleet.wait_servers("vm-3", 2)
        answer = self.fleet.chat("vm-3", "Which finish suits oak?")
        self.assertEqual(answer.status, 200, answer.body)
        watch = NumberWatch(self.fleet, list(self.fleet.daemons))
        self.fleet.faults("log", down=False)
        self.assertEqual(self.add_class("third", 2)[0], ACCEPTED)
        self.fleet.wait_config(3)
        watch.end()
        self.assertIsNone(watch.work.problem, repr(watch.work.problem))
        self.assertEqual(watch.falls, [])


class WhenNobodyKnowsTheConfiguration(ConfigurationCase):
    def test_a_vm_without_log_and_peers_takes_no_work(self):
        self.fleet.kill_daemon("vm-1")
        self.fleet.kill_daemon("vm-2")
        self.fleet.faults("log", down=True)
        self.fleet.start_daemon("kovacic", "centre", "vm-3")
        answer = self.fleet.chat("vm-3", "Is anyone there?")
        self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(answer.error()["ran"], "not_run")
        self.assertFalse(self.fleet.is_ready("vm-3"))
        self.fleet.faults("log", down=False)
        self.fleet.wait_ready(["vm-3"])
        self.fleet.wait_config(1)


if __name__ == "__main__":
    unittest.main()
