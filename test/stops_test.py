"""Planned stops: every entry VM is replaced in turn under load, and no request is cut off, lost or left unbilled."""

import http.client
import itertools
import json
import os
import threading
import unittest

from harness.fleet import KOVACIC_KEY, Fleet, is_complete, streamed_text
from harness.processes import Answer, wait_until

CALLERS = 4
STREAMS = 3


class Stream:
    """A streamed answer of which the headers have arrived and the body is still to be read."""

    def __init__(self, address, prompt):
        host, port = address.rsplit(":", 1)
        self.prompt = prompt
        self.connection = http.client.HTTPConnection(host, int(port), timeout=120)
        body = {"model": "savjetnik", "stream": True, "messages": [{"role": "user", "content": prompt}]}
        headers = {"Authorization": "Bearer " + KOVACIC_KEY, "Content-Type": "application/json"}
        self.connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
        self.response = self.connection.getresponse()

    def read(self):
        try:
            return Answer(self.response.status, {}, self.response.read().decode())
        finally:
            self.connection.close()


class SteadyCallers:
    """Callers that send requests until end() is called, only to VMs that report ready, like the platform's balancer."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lock = threading.Lock()
        self.answered = 0
        self.problems = []
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(index,), daemon=True) for index in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, index):
        for number in itertools.count():
            if self.ended.is_set():
                return
            names = list(self.fleet.daemons)
            name = names[(index + number) % len(names)]
            if self.fleet.is_ready(name):
                self.send_chat(name, f"caller {index} asks question {number}", number % 2 == 0)

    def send_chat(self, name, prompt, stream):
        try:
            answer = self.fleet.chat(name, prompt, stream=stream)
            text = streamed_text(answer) if stream and answer.status == 200 else None
            complete = answer.status == 200 and (text.endswith(prompt + "]") if stream else is_complete(answer, prompt))
            problem = None if complete else f"{answer.status} {answer.body}"
        except Exception as failure:
            problem = repr(failure)
        with self.lock:
            if problem is None:
                self.answered += 1
            else:
                self.problems.append(f"{name}: {prompt}: {problem}")

    def end(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


class WhenEveryVmIsReplacedInTurn(unittest.TestCase):
    def test_no_request_is_cut_or_lost_and_each_is_billed(self):
        with Fleet(os.environ["TESTED_BUILD"]) as fleet:
            # The engines have enough slots for all requests, so that none is refused for lack of capacity.
            fleet.start_one_zone(engines=2, cold_slots=32)
            for name in ("vm-1", "vm-2", "vm-3"):
                self.start(fleet, name)
            callers = SteadyCallers(fleet)
            streamed = 0
            for name in ("vm-1", "vm-2", "vm-3"):
                streamed += self.replace(fleet, name)
            wait_until(lambda: callers.answered >= 20, "answers to the steady callers")
            callers.end()
            self.assertEqual(callers.problems, [])
            for name in list(fleet.daemons):
                self.assertEqual(fleet.processes[name].stop(), 0, name + " cut a request")
            self.assertEqual(fleet.read_usage_counts("kovacic/front")[0], callers.answered + streamed)

    def start(self, fleet, name):
        # A VM that stops serves requests for the notice time, within which callers must detect the stop.
        fleet.start_daemon("kovacic", "centre", name, notice_time=3)
        fleet.wait_serving(name, servers=3)

    def replace(self, fleet, name):
        """Stops a VM while it sends streams, and starts another one as its replacement."""
        streams = [Stream(fleet.http[name], f"a ceremony plan, number {number}") for number in range(STREAMS)]
        self.start(fleet, name + "-successor")
        more = [Stream(fleet.http[name], f"a commission, number {number}") for number in range(STREAMS)]
        code = fleet.processes[name].stop()
        fleet.remove_from_vm_list(name)
        self.assertEqual(code, 0, name + " cut a request")
        for stream in streams + more:
            answer = stream.read()
            self.assertTrue((streamed_text(answer) or "").endswith(stream.prompt + "]"), answer.body)
        return len(streams) + len(more)


if __name__ == "__main__":
    unittest.main()
