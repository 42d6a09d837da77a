"""A runner in trouble sends an event without end, in small chunks. The VM must go on answering everybody else."""

import http.client
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from stand_ins import Client, Entry, Runner, Store, run_case

HOST = "shop.example"
TIMEOUT_S = 0.8
LATE_S = 0.5
# Of one runner's answers, one in this many is spoiled.
SPOILED = 20
PIECE = b"4\r\nabcd\r\n" * 400


class Talker(Runner):
    """A model runner: a stream of five events, or, in trouble, one event that goes on until the caller closes."""

    def __init__(self, *arguments, in_trouble=False):
        self.in_trouble = in_trouble
        self.answers = 0
        self.spoiled = 0
        super().__init__(*arguments)

    def respond(self, connection, method, target, headers, body):
        self.answers += 1
        identity = headers["x-attempt-id"]
        fields = self.head(headers) + [("X-Runner-Seal", f"{self.name}.{identity}"), ("X-Confidence", "90"),
                                       ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        connection.sendall(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) +
                            "\r\n").encode())
        spoiled = self.in_trouble and self.answers % SPOILED == 1
        if spoiled:
            self.spoiled += 1
            self.record.write(f"spoiled {self.name} id={identity}: an event without end")
            connection.sendall(b"6\r\ndata: \r\n")
            while True:
                connection.sendall(PIECE)
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, 6):
            event = f"id: {number}\ndata: token\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.02)
        connection.sendall(b"0\r\n\r\n")
        return None


def configuration():
    plain = {"hostname": HOST, "name": "deposit-booking", "path_prefix": "/deposit/", "backend": "narudzbe",
             "route_type": "unsafe", "attempts": 1, "timeout_ms": 800, "goal_ms": 100, "priority": 2}
    stream = {"hostname": HOST, "name": "wood-question", "path_prefix": "/wood/", "backend": "savjetnik",
              "route_type": "streaming", "attempts": 3, "timeout_ms": 15000, "goal_ms": 2000, "gap_goal_ms": 1000,
              "priority": 1, "affinity": True, "resumable": True}
    return {
        "version": 1,
        "routes": [plain, stream],
        "backends": [{"name": name, "health_path": "/healthz", "max_conns": 310} for name in ("narudzbe", "savjetnik")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 20000},
        "tenants": [{"name": "small", "api_keys": ["key-small"]}],
    }


class Booking(threading.Thread):
    """An ordinary booking; notes how long its answer took."""

    def __init__(self, client, entry):
        super().__init__(daemon=True)
        self.client = client
        self.entry = entry
        self.seconds = None
        self.status = 0

    def run(self):
        began = time.monotonic()
        _, _, self.status, _, _ = self.client.send(self.entry, "POST", "/deposit/1", b"order", 1500)
        if self.status != 0:
            self.seconds = time.monotonic() - began


def scenario(record, folder, trouble, started):
    store = Store(record)
    started.append(store)
    talkers = [Talker(record, "savjetnik", f"i-savjetnik-{number}", 48, in_trouble=trouble and number == 1)
               for number in range(1, 7)]
    bookers = [Runner(record, "narudzbe", f"i-narudzbe-{number}") for number in (1, 2, 3, 4)]
    started += talkers + bookers
    store.put("keyed.op", "config", configuration())
    for runner in talkers + bookers:
        store.put("keyed.servers", runner.name, runner.entry())
    entry = Entry(record, folder, "edge-osijek-a-1", store.address, 1)
    started.append(entry)
    entry.wait_ready()
    client = Client(record, HOST, "key-small")
    ending = time.monotonic() + 40

    def ask(number):
        host, port = entry.front.rsplit(":", 1)
        while time.monotonic() < ending:
            identity = client.new_id()
            record.write(f"sent    {entry.name} POST /wood/{number} id={identity}")
            headers = {"Host": HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": "15000", "Authorization":
                       "Bearer key-small", "X-Model": "m0", "X-Token-Count": "826,42",
                       "X-Prompt-Prefix": f"a1:119,{number:x}:79,{identity}:628"}
            status = 0
            try:
                connection = http.client.HTTPConnection(host, int(port), timeout=16)
                connection.request("POST", f"/wood/{number}", b"question", headers)
                response = connection.getresponse()
                status = response.status
                response.read()
                connection.close()
            except (OSError, http.client.HTTPException, socket.timeout) as problem:
                record.write(f"broken  id={identity} {problem!r}")
            record.write(f"answer  {entry.name} id={identity} status={status}")
            time.sleep(0.3)

    askers = [threading.Thread(target=ask, args=(number,), daemon=True) for number in range(10)]
    for each in askers:
        each.start()
    bookings = []
    while time.monotonic() < ending:
        bookings.append(Booking(client, entry))
        bookings[-1].start()
        time.sleep(0.2)
    for each in bookings:
        each.join(5)
    late = [each for each in bookings if each.seconds is None or each.seconds > TIMEOUT_S]
    unanswered = [each for each in late if each.seconds is None or each.seconds > TIMEOUT_S + LATE_S]
    longest = max((each.seconds or 0) for each in bookings)
    record.write(f"{sum(each.spoiled for each in talkers)} of {sum(each.answers for each in talkers)} streams spoiled")
    record.write(f"of {len(bookings)} bookings {len(late)} were unanswered at their route's timeout_ms, "
                 f"{len(unanswered)} of these half a second later; the longest answer took {longest:.2f} s")
    return len(late) >= 8 and len(unanswered) > len(late) / 2


if __name__ == "__main__":
    sys.exit(run_case(__file__, scenario))
