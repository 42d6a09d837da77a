"""Tests the analysis of a day on the users' platform, on small days whose bound is computed by hand."""

import os
import tempfile
import unittest

from harness.platform_day import analyse, read_site, write_plot, write_text

# The only server of the service talk reads ten tokens per millisecond. The small model answers half of the requests
# well, at no cost; the large one costs 0.4 per 1,000 tokens. A long request has 1,000 prompt tokens of its own, and 10
# events of 15 tokens.
SITE = """
models = [
  { name = "small", pace = 1.0, quality = 0.5, cost = 0.0 },
  { name = "large", pace = 3.0, quality = 1.0, cost = 0.4 },
]
[[services]]
name = "talk"
servers = [{ zone = "hall", count = 1 }]
llm = { batch = 10, step_ms = 2.0, prefill_tokens_per_ms = 10.0, stride = 15 }
[[services]]
name = "calls"
servers = [{ zone = "hall", count = 1 }]
[[classes]]
name = "long"
service = "talk"
worth = 2.0
late_worth = 1.0
stream = { pieces = { mean = 10.0 }, prompt_tokens = { mean = 1000.0 }, chain = [{ tokens = { mean = 500.0 } }], sizes = [0, 1] }
[[classes]]
name = "call"
service = "calls"
worth = 1.0
late_worth = 0.5
error_share = 0.1
attempts = 2
"""


def report(n_long, late=0, failed=0, worth=1.0):
    return {
        "G": 0.5,
        "parts": [["whole day", 1.0, 0.6]],
        "prices": [["machine-seconds", 10.0, 0.05], ["worth paid for the use of models", 3.0, 0.1], ["cloud calls", 0, 0.0]],
        "classes": [
            {"name": "long", "n": n_long, "not_owed": 0, "late": late, "refused": 0, "failed": failed, "worth": worth},
            {"name": "call", "n": 20, "not_owed": 0, "late": 0, "refused": 0, "failed": 0, "worth": 1.0},
        ],
        "zones": [{"name": "hall", "worth": 0.6, "late": late, "failed": failed}],
        "windows": [{"name": "0", "n": n_long + 20, "worth": 0.6}],
        "events": [{"at_s": 1.0, "to_s": 1.5, "kind": "burst"}, {"at_s": 2.0, "to_s": 3.0, "kind": "zone_cut"}],
        "unserved_by": [["deadline", failed, []]],
    }


class PlatformDay(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.plot = os.path.join(folder, "day.gp")
        path = os.path.join(folder, "site.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(SITE)
        self.site = read_site(path)

    def test_without_overload_the_bound_depends_on_prices_and_failures_alone(self):
        found = analyse(report(5), *self.site)
        # All owed requests are worth 30: five times two, and twenty. One call in a hundred fails in both of its runs.
        self.assertAlmostEqual(found["bound"]["credit"], 1 - 20 * 0.01 / 30)
        # Half of the five need the large model: (1000 / 4 + 150) tokens at 0.4 per thousand cost 0.16.
        self.assertAlmostEqual(found["bound"]["models"], 5 * 0.5 * 0.16 / 30)
        self.assertAlmostEqual(found["bound"]["fixed"], 0.05)
        self.assertAlmostEqual(found["share_of_bound"], 0.5 / found["bound"]["worth"])

    def test_utilization_is_the_time_that_the_best_mix_of_models_requires(self):
        found = analyse(report(10), *self.site)
        # Paces of one and three, half each: 2 * (1000 / 10 + 150 * 2 / 10) ms per request, ten requests in two seconds.
        self.assertAlmostEqual(found["windows"][0]["use"], 10 * 0.26 / 2)

    def test_work_beyond_the_time_of_the_servers_is_late(self):
        found = analyse(report(20), *self.site)
        self.assertAlmostEqual(found["windows"][0]["use"], 2.6)
        # Twenty long requests take 5.2 s in a window of 2 s: requests of 3.2 s in total are late. Each takes 0.26 s and
        # loses a worth of one.
        self.assertAlmostEqual(found["bound"]["credit"], 1 - 20 * 0.01 / 60 - 3.2 / 0.26 / 60)

    def test_losses_are_reported_by_kind_and_reason_and_add_up(self):
        found = analyse(report(10, late=4, failed=2, worth=0.6), *self.site)
        lost = found["kinds"][0]["lost"]
        self.assertAlmostEqual(lost["late"], 4 * 1.0 / 40)
        self.assertAlmostEqual(lost["failed"], 2 * 2.0 / 40)
        self.assertAlmostEqual(sum(lost.values()), 10 * 2.0 * 0.4 / 40)

    def test_windows_list_their_events_and_prices_are_sorted_by_cost(self):
        found = analyse(report(10), *self.site)
        self.assertEqual(found["windows"][0]["events"], ["burst"])
        self.assertEqual([row["price"] for row in found["prices"]], ["worth paid for the use of models", "machine-seconds"])
        self.assertIn("burst", "\n".join(write_text(found)))

    def test_the_plot_has_a_row_for_each_window(self):
        found = analyse(report(10), *self.site)
        write_plot(found, self.plot)
        with open(self.plot, encoding="utf-8") as file:
            self.assertIn("0.0 0.6 ", file.read())


if __name__ == "__main__":
    unittest.main()
