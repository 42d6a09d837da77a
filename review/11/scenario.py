"""The store comes back from a copy some seconds old. A later configuration must still come into force."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from stand_ins import Client, Entry, Runner, Store, run_case, wait_until

HOST = "shop.example"
CONFIG_S = 2.0
CONTACT_S = 3.0


def configuration(version, service, keys):
    route = {"hostname": HOST, "route_type": "safe", "attempts": 2, "timeout_ms": 800, "goal_ms": 100, "priority": 0}
    return {
        "version": version,
        "routes": [{**route, "name": "stock", "path_prefix": "/stock/", "backend": service}],
        "backends": [{"name": name, "health_path": "/healthz", "max_conns": 110} for name in ("orders", "orders-new")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 20000},
        "tenants": [{"name": name, "api_keys": held} for name, held in keys.items()],
    }


def scenario(record, folder, trouble, started):
    store = Store(record)
    started.append(store)
    runners = [Runner(record, service, f"i-{service}-{number}")
               for service in ("orders", "orders-new") for number in (1, 2)]
    started += runners

    def acknowledge(version, service, keys):
        store.put("keyed.op", "config", configuration(version, service, keys))
        record.write(f"operator: version {version}, /stock/ to {service}, keys {keys}; acknowledged")

    keys = {"small": ["key-small"], "large": ["key-large"]}
    acknowledge(1, "orders", keys)
    for runner in runners:
        store.put("keyed.servers", runner.name, runner.entry())
    entries = []
    for number in (1, 2):
        entries.append(Entry(record, folder, f"edge-osijek-a-{number}", store.address, number))
        started.append(entries[-1])
    for entry in entries:
        entry.wait_ready()
    client = Client(record, HOST)

    def serve(count, key):
        results = []
        for number in range(count):
            for entry in entries:
                results.append((entry, client.send(entry, "GET", f"/stock/{number}", key=key)))
                time.sleep(0.02)
        return results

    # Configurations in quick succession, as on any day.
    time.sleep(1)
    copy = store.copy()
    for version in (3, 4, 6):
        acknowledge(version, "orders", keys)
        time.sleep(0.4)
    if any(result[2] != 200 for _, result in serve(3, "key-small")):
        return record.write("the calm requests were not served") or False
    time.sleep(1)
    if trouble:
        record.write("the store goes away")
        store.take_down()
        time.sleep(1)
        # What the operator wrote since the copy, version 6, is written again.
        store.come_back(copy)
    time.sleep(CONTACT_S + 2)
    wait_until(lambda: all(entry.is_ready() for entry in entries), "the VMs to be ready")
    acknowledge(9, "orders-new", {"small": ["key-small"]})
    acknowledged = record.now()
    time.sleep(CONFIG_S + 0.3)
    moved = serve(20, "key-small")
    dropped = serve(20, "key-large")
    old_runs = {run[1] for runner in runners if runner.service == "orders" for run in runner.runs
                if run[0] > acknowledged + CONFIG_S}
    by_old_service = sum(result[1] in old_runs for _, result in moved)
    with_dropped_key = sum(result[2] == 200 for _, result in dropped)
    record.write(f"{by_old_service} of {len(moved)} requests, sent {CONFIG_S} s and more after version 9 was "
                 f"acknowledged, ran at the old service")
    record.write(f"{with_dropped_key} of {len(dropped)} ran with a key that version 9 had dropped")
    record.write(f"calls of the VMs to the store: {store.reads}")
    return by_old_service + with_dropped_key > 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, scenario))
