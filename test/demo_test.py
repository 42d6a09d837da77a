"""Runs all steps of the demo, including the one that kills an entry VM."""

import os
import unittest

from harness import demo
from harness.fleet import Fleet


class DemoTest(unittest.TestCase):
    def test_serves_requests_of_two_fleets_and_survives_a_killed_vm(self):
        with Fleet(os.environ["TESTED_BUILD"]) as fleet:
            demo.start_everything(fleet)
            demo.show_requests(fleet)
            demo.show_refusals(fleet)
            demo.show_calls(fleet)
            demo.show_killed_vm(fleet)
            demo.show_explanation(fleet)
            demo.stop_everything(fleet)


if __name__ == "__main__":
    unittest.main()
