"""The store comes back from a copy without the last report on a roll-out. A later bad version must be taken back."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from stand_ins import Client, Entry, Runner, Store, answer, run_case, wait_until

HOST = "shop.example"
CONTACT_S = 3.0
ROLLBACK_S = 5.0
BAD_ANSWERS = 50


class VersionedRunner(Runner):
    """Runners of version v2 fail half of their requests."""

    def respond(self, connection, method, target, headers, body):
        time.sleep(0.005)
        identity = headers["x-attempt-id"]
        failed = self.version == "v2" and int(identity, 16) % 2 == 0
        if failed:
            self.bad.append((self.record.now(), identity))
        answer(connection, 500 if failed else 200,
               self.head(headers) + [("X-Runner-Seal", f"{self.name}.{identity}")], b"answer")
        return None


def configuration(version):
    route = {"hostname": HOST, "route_type": "safe", "attempts": 2, "timeout_ms": 800, "goal_ms": 100, "priority": 0}
    return {
        "version": version,
        "routes": [{**route, "name": name, "path_prefix": f"/{name}/", "backend": name} for name in ("stock", "orders")],
        "backends": [{"name": name, "health_path": "/healthz", "max_conns": 110} for name in ("stock", "orders")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 20000},
        "tenants": [{"name": "small", "api_keys": ["key-small"]}],
    }


def scenario(record, folder, trouble, started):
    store = Store(record)
    started.append(store)
    runners = []

    def add_runners(service, version, count):
        for number in range(count):
            runner = VersionedRunner(record, service, f"i-{service}-{version}-{number}", 24, version)
            runner.bad = []
            runners.append(runner)
            started.append(runner)
            store.put("keyed.servers", runner.name, runner.entry())

    def order(service, seconds):
        offset = store.put("keyed.op", "rollout/" + service, orders[service])
        record.write(f"operator: roll-out of {service} {orders[service]}; acknowledged at {offset}")

    orders = {name: {"backend": name, "target": "v2", "duration_s": 30} for name in ("stock", "orders")}
    store.put("keyed.op", "config", configuration(1))
    for service in ("stock", "orders"):
        add_runners(service, "v1", 3)
    entries = []
    for number in (1, 2):
        entries.append(Entry(record, folder, f"edge-osijek-a-{number}", store.address, number))
        started.append(entries[-1])
    for entry in entries:
        entry.wait_ready()
    client = Client(record, HOST, "key-small")
    active = {"service": None}
    sent = {}
    ending = threading.Event()

    def send_requests(entry):
        while not ending.is_set():
            service = active["service"]
            if service is None:
                time.sleep(0.02)
                continue
            result = client.send(entry, "GET", f"/{service}/{random.randrange(1000)}")
            sent[result[1]] = result[0]
            time.sleep(0.02)

    workers = [threading.Thread(target=send_requests, args=(entries[number % 2],), daemon=True) for number in range(8)]
    for worker in workers:
        worker.start()

    def reported(service):
        entry = store.newest_of("keyed.status").get(("rollout/" + service).encode())
        return entry is not None and b"reverted" in entry[1]

    # A first bad version is ordered and reverted.
    active["service"] = "orders"
    time.sleep(2)
    add_runners("orders", "v2", 2)
    time.sleep(1)
    order("orders", 30)
    copy = None
    deadline = time.monotonic() + 40
    while not reported("orders") and time.monotonic() < deadline:
        with store.news:
            held = store.copy()
            if b"rollout/orders" not in store.newest_of("keyed.status"):
                copy = held
        time.sleep(0.1)
    record.write(f"the store has the report on orders: {reported('orders')}")
    if not reported("orders"):
        ending.set()
        return record.write("the first version was not reverted") or False
    active["service"] = None
    time.sleep(2.5)
    if trouble:
        record.write("the store goes away")
        store.take_down()
        time.sleep(1)
        # What the operator and the runners wrote is written again; what the system wrote since is gone.
        store.come_back(copy)
    time.sleep(CONTACT_S + 2)
    wait_until(lambda: all(entry.is_ready() for entry in entries), "the VMs to be ready")
    # The second bad version, well after the disruption.
    active["service"] = "stock"
    time.sleep(2)
    add_runners("stock", "v2", 2)
    time.sleep(1)
    order("stock", 40)
    time.sleep(38)
    ending.set()
    for worker in workers:
        worker.join(3)
    target = [runner for runner in runners if runner.service == "stock" and runner.version == "v2"]
    bad = sorted(each for runner in target for each in runner.bad)
    runs = [run for runner in target for run in runner.runs]
    record.write(f"stock v2 ran {len(runs)} requests, {len(bad)} of its answers were bad")
    record.write(f"reports in the store: stock reverted {reported('stock')}")
    late = []
    if len(bad) >= BAD_ANSWERS:
        limit = bad[BAD_ANSWERS - 1][0] + ROLLBACK_S
        late = [run for run in runs if sent.get(run[1], 0) > limit]
        record.write(f"its {BAD_ANSWERS}th bad answer was at {bad[BAD_ANSWERS - 1][0]:.3f}")
    record.write(f"{len(late)} requests that were sent more than {ROLLBACK_S} s after that reached it")
    return len(late) > 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, scenario))
