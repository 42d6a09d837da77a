"""Tests of transparent requests while the store comes back from an older copy of itself, with real daemons."""

import base64
import json
import time
import unittest

from gateway_test import KEY, GatewayCase, service_map
from harness.processes import http_call, wait_until

# Bounds of the operators for machines in touch, which they are this long after the store is back.
CONFIG_S = 2.0
DRAIN_S = 2.0
CONTACT_S = 3.0


class RestoredStoreCase(GatewayCase):
    """Four VMs, two of which read the store and supply the others."""

    def setUp(self):
        super().setUp()
        self.entries = {"vm-1": self.entry}
        for number in (2, 3, 4):
            self.entries[f"vm-{number}"] = self.start_entry(f"vm-{number}", number + 1)
        wait_until(lambda: sum("agatespar_reads_store 1" in self.http_get(entry["metrics"], "/metrics").body
                               for entry in self.entries.values()) == 2, "two of four VMs to read the store")

    def keep_copy(self):
        self.fleet.faults("store", keep_copy=True)

    def restore_copy(self, away_s=1.0):
        """Takes the store away, and brings it back with what it had at the last keep_copy()."""
        self.fleet.faults("store", down=True)
        time.sleep(away_s)
        self.fleet.faults("store", down=False, restore_copy=True)

    def count_reads(self, seconds):
        before = self.fleet.counts("store")["reads"]
        time.sleep(seconds)
        return self.fleet.counts("store")["reads"] - before

    def statuses(self, **request):
        """Returns what each VM answers to a request."""
        return {self.fetch("safe", entry=entry, **request)[1] for entry in self.entries.values()}


class WithRestoredStore(RestoredStoreCase):
    # Guards against VMs that take no later configuration or server after the store came back from an older copy.
    def test_later_records_hold_on_all_vms_after_the_store_came_back_from_an_older_copy(self):
        calm_reads = self.count_reads(CONTACT_S)
        self.keep_copy()
        for version in (2, 3, 5):
            self.put_record("keyed.op", "config", service_map(version, keys=(KEY, "key-two")))
        wait_until(lambda: self.statuses(key="key-two") == {200}, "all VMs to know the second key")
        for _ in range(3):
            self.publish_server("calls-1", "ready")
        time.sleep(1)
        self.restore_copy()
        # A VM that has taken a configuration keeps it.
        self.assertEqual(self.statuses(key="key-two"), {200})
        time.sleep(CONTACT_S)
        self.assertLessEqual(self.count_reads(CONTACT_S), 3 * calm_reads)

        self.put_record("keyed.op", "config", service_map(9, keys=("key-two",)))
        self.publish_server("calls-1", "draining")
        time.sleep(max(CONFIG_S, DRAIN_S))
        self.assertEqual(self.statuses(key=KEY), {401})
        before = self.fleet.counts("calls-1")["runs"]
        for _ in range(6):
            self.assertEqual(self.statuses(key="key-two"), {200})
        self.assertEqual(self.fleet.counts("calls-1")["runs"], before)

        self.start_server("calls", "calls-3")
        self.publish_server("calls-2", "draining")
        time.sleep(DRAIN_S)
        self.assertEqual(self.statuses(key="key-two"), {200})
        self.assertTrue(self.fleet.counts("calls-3")["runs"])

    # Guards against a server that gets requests again as the store's copy has it from before it left.
    def test_a_server_that_was_draining_before_the_restoration_gets_no_requests_after_it(self):
        self.keep_copy()
        self.publish_server("calls-1", "draining")
        time.sleep(DRAIN_S)
        before = self.fleet.counts("calls-1")["runs"]
        self.fleet.faults("store", down=True)
        time.sleep(0.5)
        # The server writes its entry again a moment after the store is back.
        self.fleet.faults("store", down=False, restore_copy=True, rewrites=False)
        for _ in range(5):
            self.assertEqual(self.statuses(), {200})
            time.sleep(0.3)
        self.publish_server("calls-1", "draining")
        time.sleep(CONTACT_S)
        self.assertEqual(self.statuses(), {200})
        self.assertEqual(self.fleet.counts("calls-1")["runs"], before)

    def stored_report(self, service):
        """Returns the report on a service's roll-out that the store has, or None."""
        page = http_call(self.fleet.platform["store"], "GET", "/v1/log-newest?topic=keyed.status&part=0").json()
        for item in page["items"]:
            if item["key"] == "rollout/" + service:
                return json.loads(base64.b64decode(item["value"]))
        return None

    def order_rollout(self, service, duration_s):
        self.put_record("keyed.op", "rollout/" + service,
                        {"backend": service, "target": "v2", "duration_s": duration_s})

    # Guards against roll-outs whose end the operator never learns of, and against reverted versions that are rolled out
    # again by VMs that start later, after the store came back from a copy without the report.
    def test_a_report_that_the_restored_store_lacks_is_written_again_and_later_ones_can_be_written(self):
        self.start_server("calls", "calls-3", version="v2")
        self.fleet.faults("calls-3", fails=True)
        self.order_rollout("calls", 40)
        self.keep_copy()

        def is_reverted():
            self.statuses()
            return self.stored_report("calls") is not None

        wait_until(is_reverted, "the bad version to be reverted")
        before = self.stored_report("calls")
        self.assertEqual((before["state"], before["target"]), ("reverted", "v2"))
        time.sleep(1)
        self.restore_copy()
        self.assertIsNone(self.stored_report("calls"))
        time.sleep(CONTACT_S + CONFIG_S)
        after = self.stored_report("calls")
        self.assertIsNotNone(after)
        self.assertEqual((after["state"], after["target"]), ("reverted", "v2"))

        runs = self.fleet.counts("calls-3")["runs"]
        restarted = self.start_entry("vm-5", 6)
        for _ in range(30):
            self.assertEqual(self.fetch("safe", entry=restarted)[1], 200)
        self.assertEqual(self.fleet.counts("calls-3")["runs"], runs)

        self.start_server("talk", "talk-3", version="v2")
        self.order_rollout("talk", 6)
        time.sleep(6)
        self.assertEqual(self.stored_report("talk")["state"], "complete")


if __name__ == "__main__":
    unittest.main()
