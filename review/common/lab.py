"""Stand-ins of the platform for the review's cases: store, runners and clients, and the start of entry processes.

Everything runs on loopback addresses and the real clock. The store and the runners follow PROTOCOL.md; a case changes
a runner's behaviour by its `script`.
"""

import base64
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = ["target/bin/agatespard", "--gateway"]  # `run` of deploy/system.toml, started in the repository
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def read_message(reader):
    """Reads one HTTP/1.1 message with a length. @return first line, headers (lower case), body; or None at the end."""
    first = reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return first.decode("latin-1").rstrip("\r\n"), headers, body


class Listener:
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self, host="127.0.0.1"):
        self.socket = socket.create_server((host, 0), backlog=512)
        self.address = "%s:%d" % (host, self.socket.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_safely, args=(connection,), daemon=True).start()

    def _serve_safely(self, connection):
        try:
            with connection:
                self.serve(connection)
        except (OSError, ValueError):
            pass

    def serve(self, connection):
        raise NotImplementedError


class Store(Listener):
    """The platform's store: keyed topics with log-append, log-read and log-newest."""

    def __init__(self, host="127.0.0.1"):
        self.topics = {}
        self.changed = threading.Condition()
        super().__init__(host)

    def put(self, topic, key, value):
        """Writes a record as the operator or a runner does. @param value None deletes the key."""
        text = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
        with self.changed:
            self.topics.setdefault(topic, []).append((key.encode(), text))
            self.changed.notify_all()

    def newest_value(self, topic, key):
        with self.changed:
            for known, value in reversed(self.topics.get(topic, [])):
                if known == key.encode():
                    return value
        return None

    def serve(self, connection):
        reader = connection.makefile("rb")
        while True:
            message = read_message(reader)
            if message is None:
                return
            line, _, body = message
            method, target, _ = line.split(" ")
            path, _, query_text = target.partition("?")
            query = dict(item.split("=", 1) for item in query_text.split("&") if "=" in item)
            status, answer = self.call(method, path, query, body)
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer)

    def call(self, method, path, query, body):
        topic = query.get("topic", "")
        if path == "/v1/log-append":
            return self._append(topic, query, body)
        if path == "/v1/log-read":
            return 200, self._read(topic, int(query["from"]), int(query.get("wait_ms", 0)))
        if path == "/v1/log-newest":
            return 200, self._newest(topic)
        return 404, b"{}"

    def _append(self, topic, query, body):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            if "at" in query and int(query["at"]) != len(records):
                return 412, json.dumps({"end": len(records)}).encode()
            offset = len(records)
            while len(body) > 4:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                records.append((record[1:1 + record[0]], record[1 + record[0]:]))
            self.changed.notify_all()
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode()

    def _read(self, topic, start, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                self.changed.wait(max(0.001, until - time.monotonic()))
            records = self.topics.get(topic, [])
            answer = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                answer += struct.pack(">I", 1 + len(key) + len(value)) + bytes([len(key)]) + key + value
            return answer

    def _newest(self, topic):
        with self.changed:
            newest = {}
            for offset, (key, value) in enumerate(self.topics.get(topic, [])):
                newest[key] = (value, offset)
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(newest.items()) if value]
            end = len(self.topics.get(topic, []))
        return json.dumps({"items": items, "more_pages": False, "end": end}).encode()


class Runner(Listener):
    """A runner. `script(self, connection, line, headers, body)` answers one request; it returns False to close."""

    def __init__(self, name, service, script, zone="osijek-a", version="v1", slots=8, host="127.0.0.1", **fields):
        self.name, self.script = name, script
        self.runs = []  # (time, id) of each request that began to run
        self.record = {"backend": service, "zone": zone, "version": version, "slots": slots, "state": "ready",
                       "cold_left_ms": 0, "sequence": 1, "born": int(time.time() * 1000), **fields}
        super().__init__(host)
        self.record["address"] = self.address

    def serve(self, connection):
        reader = connection.makefile("rb")
        while True:
            message = read_message(reader)
            if message is None:
                return
            line, headers, body = message
            if " /v1/report" in line:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
                continue
            if headers.get("x-expect-runner", self.name) != self.name:
                connection.sendall(("HTTP/1.1 421 Misdirected Request\r\nX-Runner-Id: %s\r\nX-Attempt-Id: %s\r\n"
                                    "Content-Length: 0\r\n\r\n" % (self.name, headers.get("x-attempt-id"))).encode())
                continue
            if self.script(self, connection, line, headers, body) is False:
                return

    def note_run(self, headers):
        self.runs.append((time.monotonic(), headers.get("x-attempt-id")))


def answer_bytes(headers, status="200 OK", body=b"done", more="", seal=True):
    """An answer as a runner writes it: with the request's id and the seal."""
    sealed = "X-Runner-Seal: s.%s\r\n" % headers.get("x-attempt-id") if seal else ""
    return ("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n"
            % (status, headers.get("x-attempt-id"), sealed, more, len(body))).encode() + body


class Lab:
    """A small deployment: the store, runners and entry processes. Ends all of it when left."""

    def __init__(self, folder):
        if not os.path.exists(os.path.join(REPOSITORY, PROGRAM[0])):
            raise CannotRun(PROGRAM[0] + " is not built")
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="agatespar-review-")
        self.lines = []
        self.processes = {}
        self.entries = {}
        self.began = time.monotonic()
        self.store = Store()

    def __enter__(self):
        return self

    def __exit__(self, *problem):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        with open(os.path.join(self.folder, "record.txt"), "w", encoding="utf-8") as file:
            file.write("".join(line + "\n" for line in self.lines))
        shutil.rmtree(self.temporary, ignore_errors=True)

    def note(self, text):
        self.lines.append("%8.3f %s" % (time.monotonic() - self.began, text))

    def publish(self, runner, state="ready"):
        runner.record["state"] = state
        self.store.put("keyed.servers", runner.name, runner.record)

    def start_entry(self, name, host, zone="osijek-a", bootstrap=False, wait=True, **bounds):
        """Starts an entry process with settings as the platform renders them from deploy/settings.template."""
        port = free_port(host)
        fields = {
            "node_name": name, "role": "entry", "machine_class": "edge", "serves": ["edge"], "ip": host, "zone": zone,
            "region": "slavonija", "zones": {zone: "slavonija"},
            "listen": {"front": "%s:%d" % (host, free_port(host)), "readiness": "%s:%d" % (host, free_port(host))},
            "port_range": [port, port], "seeds": [], "bootstrap": bootstrap, "in_tolerance": False,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "places", "platform", "rollout"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
                       "regress_slack_ms": 250, "outer_ms": 5000, "fail_closed": False, "revoke_ms": 5000,
                       "retry_ratio": 0.9, "retry_window_s": 10, "retry_slack": 58, "exposure_share": 0.15,
                       "exposure_slack": 30, "rollback_ms": 5000, "cold_overage": 1.5, "cold_slack": 5,
                       "evac_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10, "session_s": 5,
                       **bounds},
            "platform": {"address": self.store.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000,
                         "parts": 8, "append_ms": 4.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
                         "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
                         "ttl_min_ms": 1000},
        }
        self.entries[name] = fields
        self.start_process(name)
        if wait:
            self.wait_ready(name)
        return fields["listen"]["front"]

    def start_process(self, name):
        path = os.path.join(self.temporary, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            # deploy/settings.template, with a free port for the metrics.
            json.dump({"metrics_port": free_port(self.entries[name]["ip"]), "fields": self.entries[name]}, file)
        log = open(os.path.join(self.temporary, name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(
            PROGRAM, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={**environment, "AGATESPAR_SETTINGS": path})
        log.close()

    def is_ready(self, name):
        host, port = self.entries[name]["listen"]["readiness"].split(":")
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            connection.request("GET", "/v1/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def wait_ready(self, name, timeout=15):
        until = time.monotonic() + timeout
        while not self.is_ready(name):
            if time.monotonic() > until:
                raise CannotRun(name + " does not become ready:\n" + self.log_of(name)[-2000:])
            time.sleep(0.05)

    def log_of(self, name):
        with open(os.path.join(self.temporary, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


KEY = "n2ctnfzs989anu6wsjnb"


def configuration(version, routes, services, keys=(KEY,), **limits):
    """op/config as the operator writes it. @param routes name: fields."""
    return {"version": version,
            "routes": [{"name": name, "hostname": "shop.example", "path_prefix": "/%s/" % name, "priority": 1,
                        "public": False, **fields} for name, fields in routes.items()],
            "backends": [{"name": name, "health_path": "/healthz", "max_conns": 310, "protocol": "h1", "tls": False,
                          "cold_start_s": 0.0, "cold_per_s": 0.0, **fields} for name, fields in services.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **limits},
            "tenants": [{"name": "shop", "api_keys": list(keys), "priority": 1}]}


def request_head(identity, path, method="POST", deadline_ms=1500, body=b"", **headers):
    fields = {"Host": "shop.example", "X-Attempt-Id": identity, "X-Deadline-Ms": str(deadline_ms),
              "Authorization": "Bearer " + KEY}
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    return ("%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % item for item in fields.items())
            + "\r\n").encode() + body


def fetch(front, identity, path, timeout=30, **request):
    """Sends one request on a new connection. @return status (0: none), headers, body (None: incomplete)."""
    host, port = front.split(":")
    try:
        connection = socket.create_connection((host, int(port)), timeout=timeout)
    except OSError:
        return 0, {}, None
    with connection:
        try:
            connection.sendall(request_head(identity, path, **request))
            response = http.client.HTTPResponse(connection)
            response.begin()
        except (OSError, http.client.HTTPException):
            return 0, {}, None
        try:
            return response.status, dict(response.getheaders()), response.read()
        except (OSError, http.client.HTTPException):
            return response.status, dict(response.getheaders()), None


def main(folder, play):
    """Runs a case. @param play(lab, trouble) returns a list of what broke the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        with Lab(folder) as lab:
            lab.note("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
            broken = play(lab, trouble)
            for line in broken:
                lab.note("BROKEN: " + line)
            lab.note("result: " + ("the rule was broken" if broken else "the rule held"))
    except Exception as problem:  # Any error of the case itself says nothing about the rule.
        print("could not run: %s: %s" % (type(problem).__name__, problem))
        return EXIT_NOT_RUN
    print("broken: %d" % len(broken) if broken else "held")
    for line in broken[:5]:
        print("  " + line)
    return EXIT_BROKEN if broken else EXIT_HELD
