"""A zone is drained and returned under traffic: it gets no new work, and the other zone answers every request."""

import os
import unittest

from harness.fleet import Fleet, is_complete, new_key, two_fleets_operations
from harness.processes import wait_until

CENTRE = "kovacic-engine-1"
NORTH = "kovacic-engine-2"


class WhenAZoneIsDrained(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        fleet = self.fleet
        fleet.start_platform()
        fleet.start_engine("kovacic", "centre", "engine-1", "small@1,large@1")
        fleet.start_engine("kovacic", "north", "engine-2", "small@1,large@1")
        fleet.start_plain("kovacic", "centre", "orders-1", "narudzbe")
        fleet.start_plain("kovacic", "north", "orders-2", "narudzbe")
        self.assertEqual(fleet.patch(two_fleets_operations(), 0)[0], 0)
        fleet.start_daemon("kovacic", "centre", "vm-1")
        fleet.start_daemon("kovacic", "north", "vm-2")
        fleet.wait_serving("vm-1", "vm-2", servers=2)
        for name in fleet.daemons:
            fleet.wait_answering(name)

    def send_chat(self, name, prompt):
        """Sends a request and returns whether it was answered."""
        answer = self.fleet.chat(name, prompt)
        if answer.status == 200:
            self.assertTrue(is_complete(answer, prompt), answer.body)
            return True
        # A request may be refused only while the zone's state changes, and a refused request must not have run.
        self.assertEqual(answer.error()["ran"], "not_run", answer.body)
        return False

    def runs(self, *servers):
        return sum(sum(self.fleet.counts(server)["runs"].values()) for server in servers)

    def change_zone(self, action, number):
        code, output = self.fleet.run_agatesparctl("zone", action, "kovacic/centre")
        self.assertEqual(code, 0, output)
        self.fleet.wait_config(number)

    def test_it_gets_no_new_work_and_nothing_is_lost(self):
        self.assertTrue(self.send_chat("vm-1", "before"))
        self.change_zone("drain", 2)
        wait_until(
            lambda: self.send_chat("vm-1", "in the change") and self.send_chat("vm-2", "in the change"),
            "both VMs to serve",
        )
        before = self.runs(CENTRE, "kovacic-orders-1")
        for number in range(10):
            for name in ("vm-1", "vm-2"):
                self.assertTrue(
                    self.send_chat(name, f"question {number}"), "request refused although the other zone serves"
                )
        key = new_key()
        booked = self.fleet.service("vm-1", "narudzbe/book", {"order": 1}, idempotency_key=key)
        self.assertEqual(booked.status, 200, booked.body)
        self.assertEqual(self.fleet.counts("kovacic-orders-2")["runs"], {key: 1})
        self.assertEqual(self.runs(CENTRE, "kovacic-orders-1"), before, "the drained zone got new work")
        self.change_zone("return", 3)
        wait_until(
            lambda: self.send_chat("vm-1", "after the return") and self.runs(CENTRE) > before, "work in the zone again"
        )


if __name__ == "__main__":
    unittest.main()
