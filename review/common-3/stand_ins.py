"""Stand-ins of the platform's store and of runners, and the start of entry VMs, for the scripts of this review.

Everything listens on loopback addresses and runs on the real clock. The stand-ins follow the pages of the platform.
"""

import base64
import http.client
import json
import os
import random
import re
import signal
import socket
import socketserver
import struct
import subprocess
import tempfile
import threading
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def read_message(file):
    """Reads one HTTP message with a length or in chunks. Returns its first line, headers and body, or None at the end."""
    line = file.readline(65536)
    if not line:
        return None
    headers = []
    while True:
        header = file.readline(65536)
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    lower = {name.lower(): value for name, value in headers}
    body = b""
    if lower.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(file.readline().split(b";")[0], 16)
            body += file.read(size)
            file.readline()
            if size == 0:
                break
    elif "content-length" in lower:
        body = file.read(int(lower["content-length"]))
    return line.decode("latin-1").strip(), lower, body


class Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128


class HttpStandIn:
    """An HTTP/1.1 server with kept connections; each request is handled by handle()."""

    def __init__(self, host="127.0.0.1"):
        stand_in = self
        self.connections = set()
        self.lock = threading.RLock()

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                with stand_in.lock:
                    stand_in.connections.add(self.connection)
                try:
                    while True:
                        message = read_message(self.rfile)
                        if message is None:
                            return
                        if stand_in.handle(self.connection, *message) is False:
                            return
                except (OSError, ValueError):
                    return
                finally:
                    with stand_in.lock:
                        stand_in.connections.discard(self.connection)

        self.server = Server((host, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def handle(self, connection, line, headers, body):
        raise NotImplementedError

    def close_connections(self):
        with self.lock:
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        self.close_connections()


def answer(connection, status, headers, body=b""):
    reasons = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable", 500: "Internal Server Error"}
    head = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode("latin-1") + body)


class Topic:
    def __init__(self):
        self.records = []  # Key and value; an empty value drops the key.
        self.first = 0


class Store(HttpStandIn):
    """The platform's store: logs with offsets, conditional appends, and the newest record of each key."""

    def __init__(self, record):
        self.topics = {}
        self.record = record
        self.era = 1
        self.is_down = False
        self.reads = {}
        self.appends = 0
        self.news = threading.Condition(threading.RLock())
        super().__init__()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """A write of the operator or of a runner. Returns the record's offset: the store's acknowledgement."""
        with self.news:
            if self.is_down:
                raise OSError("the store is down")
            text = b"" if value is None else json.dumps(value).encode()
            self.topic(name).records.append((key.encode(), text))
            self.news.notify_all()
            return len(self.topic(name).records) - 1

    def newest_of(self, name):
        newest = {}
        for offset, (key, value) in enumerate(self.topic(name).records):
            newest[key] = (offset, value)
        return {key: entry for key, entry in newest.items() if entry[1]}

    def copy(self):
        with self.news:
            return {name: (list(topic.records), topic.first) for name, topic in self.topics.items()}

    def take_down(self):
        with self.news:
            self.is_down = True
            self.news.notify_all()
        self.close_connections()

    def come_back(self, copy=None):
        """Comes back, from a copy if one is given: its era then rises by one.

        Of what the operator and the runners wrote since the copy, the newest record of each key is written again.
        """
        with self.news:
            lost = []
            if copy is not None:
                for name in ("keyed.op", "keyed.servers"):
                    held = len(copy[name][0]) if name in copy else 0
                    newest = dict(self.topic(name).records[held:])
                    lost += [(name, key, value) for key, value in newest.items()]
                self.topics = {}
                for name, (records, first) in copy.items():
                    topic = self.topic(name)
                    topic.records, topic.first = list(records), first
                self.era += 1
                for name, key, value in lost:
                    self.topic(name).records.append((key, value))
                self.record.write(f"the store is back from a copy some seconds old, era {self.era}; written again: "
                                  f"{[(name, key.decode()) for name, key, _ in lost]}")
            self.is_down = False
            self.news.notify_all()

    def handle(self, connection, line, headers, body):
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        name = fields.get("topic", "")
        with self.news:
            if self.is_down:
                answer(connection, 503, [("Store-Era", self.era)])
                return None
            if path == "/v1/log-append":
                return self.append(connection, name, fields, body)
            if path == "/v1/log-newest":
                return self.newest(connection, name, fields)
            if path == "/v1/log-read":
                return self.read(connection, name, fields)
        answer(connection, 404, [("Store-Era", self.era)])
        return None

    def json(self, connection, status, document):
        answer(connection, status, [("Content-Type", "application/json"), ("Store-Era", self.era)],
               json.dumps(document).encode())

    def append(self, connection, name, fields, body):
        self.appends += 1
        topic = self.topic(name)
        end = len(topic.records)
        if name in ("keyed.op", "keyed.servers"):
            return self.json(connection, 403, {"reason": "not the system's"})
        if "at" in fields and int(fields["at"]) != end:
            return self.json(connection, 412, {"end": end})
        position = 0
        while position + 4 <= len(body):
            size = struct.unpack(">I", body[position:position + 4])[0]
            content = body[position + 4:position + 4 + size]
            topic.records.append((content[1:1 + content[0]], content[1 + content[0]:]))
            position += 4 + size
        self.news.notify_all()
        return self.json(connection, 200, {"offset": end, "end": len(topic.records)})

    def newest(self, connection, name, fields):
        self.reads["newest " + name] = self.reads.get("newest " + name, 0) + 1
        import urllib.parse
        after = urllib.parse.unquote_to_bytes(fields.get("after", ""))
        items = []
        more = False
        for key, (offset, value) in sorted(self.newest_of(name).items()):
            if key <= after:
                continue
            if len(items) == 500:
                more = True
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return self.json(connection, 200, {"items": items, "more_pages": more,
                                           "end": len(self.topic(name).records)})

    def read(self, connection, name, fields):
        start = int(fields["from"])
        until = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            topic = self.topic(name)
            end = len(topic.records)
            if self.is_down:
                return False
            if start < topic.first or start > end:
                status = "410 " + name
                self.reads[status] = self.reads.get(status, 0) + 1
                # A call takes the store some milliseconds.
                self.news.wait(0.004)
                return self.json(connection, 410, {"first": topic.first})
            left = until - time.monotonic()
            if start < end or left <= 0:
                break
            self.news.wait(left)
        self.reads["200 " + name] = self.reads.get("200 " + name, 0) + 1
        content = struct.pack(">QQ", end, topic.first)
        for key, value in topic.records[start:end]:
            content += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
        answer(connection, 200, [("Content-Type", "application/octet-stream"), ("Store-Era", self.era)], content)
        return None


class Runner(HttpStandIn):
    """A backend server: runs a request if it names this server, and answers with a seal."""

    def __init__(self, record, service, name, slots=6, version="v1"):
        self.record = record
        self.service = service
        self.name = name
        self.slots = slots
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # Time, attempt id, path, tenant.
        self.running = 0
        super().__init__()

    def entry(self, state="ready"):
        self.sequence += 1
        return {"id": self.name, "backend": self.service, "address": self.address, "zone": "osijek-a",
                "version": self.version, "slots": self.slots, "state": state, "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    def head(self, headers):
        return [("X-Attempt-Id", headers.get("x-attempt-id", "")), ("X-Runner-Id", self.name),
                ("X-Runner-Load", f"{self.running},0,{self.slots}")]

    def handle(self, connection, line, headers, body):
        method, target, _ = line.split(" ", 2)
        if target in ("/healthz", "/v1/report"):
            answer(connection, 200, self.head(headers) + [("Content-Type", "application/json")], b"{}")
            return None
        if headers.get("x-expect-runner", self.name) != self.name:
            answer(connection, 421, self.head(headers))
            return None
        self.runs.append((self.record.now(), headers.get("x-attempt-id", ""), target, headers.get("x-tenant", "")))
        self.record.write(f"run     {self.name} {method} {target} id={headers.get('x-attempt-id', '')} "
                          f"tenant={headers.get('x-tenant', '')}")
        self.running += 1
        try:
            return self.respond(connection, method, target, headers, body)
        finally:
            self.running -= 1

    def respond(self, connection, method, target, headers, body):
        time.sleep(0.015)
        answer(connection, 200, self.head(headers) + [("X-Runner-Seal", f"{self.name}.{headers['x-attempt-id']}")],
               f"{self.service} {target}".encode())
        return None


def render_settings(fields):
    """Fills in the template of the deploy file; the port of the metrics is replaced by a free one."""
    with open(os.path.join(REPOSITORY, "deploy", "settings.template"), encoding="utf-8") as file:
        text = file.read()
    text = text.replace("{{.|json}}", json.dumps(fields))
    return text.replace("9464", str(free_port(fields["ip"])))


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Entry:
    """An entry VM: the command of the deploy file, with settings like those of a small deployment."""

    def __init__(self, record, folder, name, store_address, number, zone="osijek-a", **changes):
        self.record = record
        self.name = name
        self.ip = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}.{number}"
        ports = [free_port(self.ip) for _ in range(4)]
        self.front = f"{self.ip}:{ports[0]}"
        self.readiness = f"{self.ip}:{ports[1]}"
        self.fields = {
            "node_name": name, "role": "entry", "machine_class": "edge", "serves": ["edge"], "ip": self.ip,
            "zone": zone, "region": "slavonija", "port_range": [ports[3], ports[3] + 15], "seeds": [],
            "bootstrap": False, "in_tolerance": False, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "zones": {"osijek-a": "slavonija", "osijek-b": "slavonija"},
            "listen": {"front": self.front, "readiness": self.readiness},
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "bounds": {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "retry_ratio": 0.9,
                       "retry_window_s": 10, "retry_slack": 58, "exposure_share": 0.15, "exposure_slack": 30,
                       "rollback_ms": 5000, "evac_ms": 5000, "session_s": 5},
            "platform": {"address": store_address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000},
        }
        for key, value in changes.items():
            self.fields[key] = value
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render_settings(self.fields))
        command = os.path.join(REPOSITORY, "target", "bin", "agatespard")
        if not os.path.exists(command):
            raise CannotRun("target/bin/agatespard has not been built")
        self.log_path = os.path.join(folder, name + ".log")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": folder, "AGATESPAR_SETTINGS": self.settings}
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen([command, "--gateway"], cwd=REPOSITORY, env=environment, stdout=log,
                                          stderr=log, stdin=subprocess.DEVNULL)
        record.write(f"started {name} front={self.front}")

    def is_running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.child.pid, number)

    def is_ready(self):
        try:
            return call(self.readiness, "GET", "/v1/readyz", {"Host": self.readiness}, timeout=2)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, seconds=20):
        wait_until(lambda: self.is_ready() or not self.is_running(), self.name + " to be ready", seconds)
        if not self.is_running():
            raise CannotRun(self.name + " ended during its start")

    def stop(self):
        self.signal(signal.SIGKILL)
        self.child.wait()


def wait_until(condition, what, seconds=20):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CannotRun("no success in waiting for " + what)
        time.sleep(0.02)


def call(address, method, target, headers, body=None, timeout=5):
    """Sends one request on a new connection. Returns status, headers and body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Client:
    """Sends requests with an id each, and records what came back."""

    def __init__(self, record, host, key=None):
        self.record = record
        self.host = host
        self.key = key
        self.count = 0
        self.lock = threading.Lock()
        self.prefix = "%06x" % random.randrange(1 << 24)

    def new_id(self):
        with self.lock:
            self.count += 1
            return f"{self.prefix}{self.count:06x}"

    def send(self, entry, method, target, body=None, deadline_ms=1500, key=None, headers=None):
        """Returns the time of sending, the id, the status (0 without an answer), the headers and the body."""
        identity = self.new_id()
        all_headers = {"Host": self.host, "X-Attempt-Id": identity, "X-Deadline-Ms": str(deadline_ms)}
        if key or self.key:
            all_headers["Authorization"] = "Bearer " + (key or self.key)
        all_headers.update(headers or {})
        sent = self.record.now()
        self.record.write(f"sent    {entry.name} {method} {target} id={identity}")
        try:
            status, answered, content = call(entry.front, method, target, all_headers, body,
                                             deadline_ms / 1000 + 1)
        except (OSError, http.client.HTTPException) as problem:
            status, answered, content = 0, {}, str(problem).encode()
        self.record.write(f"answer  {entry.name} id={identity} status={status} {content[:60]!r}")
        return sent, identity, status, answered, content


def run_case(script, scenario):
    """Runs a scenario; its result is the exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
    started = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            record.write(f"trouble={int(trouble)}")
            broken = scenario(record, folder, trouble, started)
            code = 1 if broken else 0
        except CannotRun as problem:
            record.write(f"cannot run: {problem}")
            code = 2
        finally:
            for each in started:
                (each.stop if isinstance(each, Entry) else each.close)()
        record.write({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    return code
