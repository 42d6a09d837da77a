"""The demo's whole path, also with an entry VM that is killed in the middle."""

import os
import unittest

from harness import demo
from harness.fleet import Fleet


class DemoTest(unittest.TestCase):
    def test_serves_the_main_job_and_survives_a_death(self):
        with Fleet(os.environ["TESTED_BUILD"]) as fleet:
            demo.start_everything(fleet)
            demo.show_requests(fleet)
            demo.show_refusals(fleet)
            demo.show_calls(fleet)
            demo.show_death(fleet)
            demo.show_explanation(fleet)
            demo.stop_everything(fleet)


if __name__ == "__main__":
    unittest.main()
