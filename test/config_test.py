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


class ConfigNumberMonitor:
    """Polls the configuration numbers of VMs and records each decrease."""

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.names = names
        self.decreases = []
        self.polls = 0
        self.ended = threading.Event()
        self.task = BackgroundTask(self.run)

    def run(self):
        highest = dict.fromkeys(self.names, 0)
        while not self.ended.wait(0.05):
            for name in self.names:
                number = self.fleet.status(name)["config"]["number"]
                if number < highest[name]:
                    self.decreases.append((name, highest[name], number))
                highest[name] = max(highest[name], number)
                self.polls += 1

    def end(self):
        self.ended.set()
        self.task.wait()


class ConfigurationCase(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        self.fleet.start_one_zone("vm-1", "vm-2")

    def read_accepted_config(self):
        code, output = self.fleet.run_agatesparctl("config", "show", "--json")
        self.assertEqual(code, ACCEPTED, output)
        return json.loads(output)

    def add_class(self, name, base):
        operation = {"op": "put_class", "fleet": "kovacic", "class": name, "deadline_ms": 20000}
        return self.fleet.patch([operation], base)


class WhenOperatorsRace(ConfigurationCase):
    def test_numbers_are_gapless_and_nothing_accepted_is_lost(self):
        monitor = ConfigNumberMonitor(self.fleet, ["vm-1", "vm-2"])
        operators = [BackgroundTask(lambda index=index: self.submit_patches(index)) for index in range(OPERATORS)]
        accepted_names = []
        for operator in operators:
            result = operator.wait()
            self.assertIsNotNone(result, repr(operator.problem))
            accepted_names += result
        last = 1 + len(accepted_names)
        self.fleet.wait_config(last)
        monitor.end()
        self.assertIsNone(monitor.task.problem, repr(monitor.task.problem))
        self.assertGreater(monitor.polls, 0)
        self.assertEqual(monitor.decreases, [])
        final = self.read_accepted_config()
        self.assertEqual(final["number"], last)
        classes = final["fleets"]["kovacic"]["classes"]
        self.assertLessEqual(set(accepted_names), set(classes))
        self.assertEqual([name for name in classes if name.startswith("race-") and name not in accepted_names], [])
        for name in self.fleet.daemons:
            self.assertEqual(self.fleet.status(name)["config"]["number"], last)

    def submit_patches(self, index):
        """Submits patches and returns the names of the accepted ones. All others must be reported as conflicts."""
        accepted_names = []
        for number in range(PATCHES_PER_OPERATOR):
            name = f"race-{index}-{number}"
            code, output = self.add_class(name, self.read_accepted_config()["number"])
            if code == ACCEPTED:
                accepted_names.append(name)
                continue
            self.assertEqual(code, REFUSED, output)
            self.assertIn("conflict", output)
        return accepted_names


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
        monitor = ConfigNumberMonitor(self.fleet, list(self.fleet.daemons))
        self.fleet.faults("log", down=False)
        self.assertEqual(self.add_class("third", 2)[0], ACCEPTED)
        self.fleet.wait_config(3)
        monitor.end()
        self.assertIsNone(monitor.task.problem, repr(monitor.task.problem))
        self.assertEqual(monitor.decreases, [])


class WhenNoVmHasTheConfiguration(ConfigurationCase):
    def test_a_vm_without_log_and_peers_accepts_no_requests(self):
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
