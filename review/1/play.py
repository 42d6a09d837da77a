"""Entry processes are restarted one after the other while runners are emptied: is a draining runner left alone?

The list of runners takes two or more pages of the store. Only processes of which the store's reads come are restarted
(their metrics tell which), each with SIGTERM; the requests that are judged come from the others.
"""

import http.client
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import lab

ENTRIES = 7
PAGE = int(os.environ.get("PAGE", "50"))  # PROTOCOL.md: "at most 500 or 1 MB"; 50 as in the site file
STORE_ANSWER_S = 0.004
CONTACT_S = 3.0
DRAIN_S = 2.0  # bounds.drain_ms
LINGER_S = 8.0  # how long a draining runner goes on serving: drain_ms "and a little longer (at times many seconds)"
LEAVING_AT_ONCE = 6
ROUNDS_UNTIL_S = 80.0


class PagedStore(lab.Store):
    def call(self, method, path, query, body):
        time.sleep(STORE_ANSWER_S)
        if path != "/v1/log-newest":
            return super().call(method, path, query, body)
        document = json.loads(self._newest(query.get("topic", "")))
        items = [item for item in document["items"] if item["key"] > query.get("after", "")]
        document.update(items=items[:PAGE], more_pages=len(items) > PAGE)
        return 200, json.dumps(document).encode()


def work(runner, connection, line, headers, body):
    runner.note_run(headers)
    time.sleep(0.005)
    connection.sendall(lab.answer_bytes(headers))


class Case:
    def __init__(self, bench):
        self.bench = bench
        self.random = random.Random(1)
        self.acknowledged = {}
        self.disturbed = {}  # name of the entry: list of [SIGTERM, start] times
        self.ended = False

    def set_up(self):
        # The other service's runners get no requests; they fill the first page of the list.
        for number in range(PAGE + 2):
            fields = {"backend": "talk", "address": "127.0.12.%d:9" % (number % 250 + 1), "zone": "osijek-a",
                      "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": 1}
            self.bench.store.put("keyed.servers", "i-a%03d" % number, fields)
        self.runners = [lab.Runner("i-z%03d" % number, "orders", work) for number in range(72)]
        for runner in self.runners:
            self.bench.publish(runner)
        self.left = list(self.runners)
        self.random.shuffle(self.left)
        route = {"route_type": "safe", "backend": "orders", "attempts": 2, "timeout_ms": 800, "goal_ms": 100}
        self.bench.store.put("keyed.op", "config",
                             lab.configuration(1, {"look": route}, {"orders": {}, "talk": {}}))
        self.fronts = {}
        for number in range(1, ENTRIES + 1):
            name = "edge-osijek-a-%d" % number
            self.fronts[name] = self.bench.start_entry(name, "127.0.11.%d" % number, wait=False)
            self.disturbed[name] = [[time.monotonic(), time.monotonic()]]
        for name in self.fronts:
            self.bench.wait_ready(name)
        time.sleep(4)
        for name in self.fronts:
            for client in range(3):
                threading.Thread(target=self.send, args=(name, client), daemon=True).start()

    def send(self, name, client):
        count = 0
        while not self.ended:
            count += 1
            lab.fetch(self.fronts[name], "%s/%d/%d" % (name, client, count), "/look/x", method="GET", timeout=3)
            time.sleep(0.02)

    def empty_some(self):
        """Some runners report that they are leaving, at the same moment, and leave later."""
        for _ in range(LEAVING_AT_ONCE):
            runner = self.left.pop()
            self.bench.publish(runner, "draining")
            self.acknowledged[runner.name] = time.monotonic()
            self.bench.note("store acknowledges: %s is draining" % runner.name)
            gone = threading.Timer(LINGER_S, self.bench.store.put, ("keyed.servers", runner.name, None))
            gone.daemon = True
            gone.start()
            time.sleep(self.random.uniform(0.01, 0.04))

    def readers(self):
        found = []
        for name in self.fronts:
            started = [line for line in self.bench.log_of(name).splitlines() if '"event":"started"' in line][-1]
            host, port = json.loads(started)["metrics"].split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=2)
            connection.request("GET", "/metrics")
            if "agatespar_reads_store 1" in connection.getresponse().read().decode():
                found.append(name)
            connection.close()
        return found

    def restart(self, name):
        process = self.bench.processes[name]
        self.bench.note("SIGTERM to " + name)
        self.disturbed[name].append([time.monotonic(), None])
        process.send_signal(signal.SIGTERM)
        process.wait(12)
        time.sleep(0.2)
        leaving = threading.Thread(target=self.empty_some, daemon=True)
        leaving.start()
        time.sleep(0.08)
        self.bench.start_process(name)
        self.disturbed[name][-1][1] = time.monotonic()
        self.bench.note("start of " + name)
        leaving.join()
        self.bench.wait_ready(name)

    def in_touch(self, name, at):
        return not any(stop <= at and (start is None or at < start + CONTACT_S) for stop, start in self.disturbed[name])

    def broken(self):
        lines = []
        for runner in self.runners:
            acknowledged = self.acknowledged.get(runner.name)
            late = {}
            for at, identity in list(runner.runs):
                name = identity.split("/")[0]
                if acknowledged and at > acknowledged + DRAIN_S and self.in_touch(name, at):
                    late.setdefault(name, []).append(at - acknowledged)
            for name, times in late.items():
                lines.append("DRAIN: %s got %d requests from %s, %.2f to %.2f s after its draining was acknowledged"
                             % (runner.name, len(times), name, min(times), max(times)))
        return lines


def play(bench, trouble):
    case = Case(bench)
    case.set_up()
    turn = 0
    while len(case.left) >= LEAVING_AT_ONCE + 6 and time.monotonic() - bench.began < ROUNDS_UNTIL_S:
        if trouble:
            readers = case.readers()
            case.restart(readers[turn % len(readers)])
        else:
            case.empty_some()
            time.sleep(3)
        turn += 1
        time.sleep(5)
    time.sleep(LINGER_S)
    case.ended = True
    time.sleep(0.5)
    bench.note("requests run: %d" % sum(len(runner.runs) for runner in case.runners))
    return case.broken()


if __name__ == "__main__":
    lab.Store = PagedStore
    sys.exit(lab.main(os.path.dirname(os.path.abspath(__file__)), play))
