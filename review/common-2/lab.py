"""Stand-ins of the platform's store and of runners, and the start of the project's own program, on loopback.

Only the standard library is used. Everything but the entry VMs runs in the asyncio loop of the script.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
# Limits of the store, as in the settings.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152


def now():
    return time.monotonic()


class Record:
    """The file record.txt beside the script: one line for what was sent, run and answered."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def line(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.start, text))
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the header fields of a message, names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" not in fields.get("transfer-encoding", ""):
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


class Store:
    """The platform's store in its form `log`, with partition 0 of keyed topics.

    `gate`, if set, is awaited for each call with the method, the path, the query and the caller's address, before the
    call is executed. It returns None to execute the call, "reset" to break the connection, or a status to answer.
    """

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.gate = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def log(self, topic):
        return self.topics.setdefault(topic, [])

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """Writes a record as the operator or a runner; without a value, the key is dropped."""
        content = b"" if value is None else json.dumps(value).encode()
        self.log(topic).append(bytes([len(key)]) + key.encode() + content)
        self.wake()

    def newest(self, topic):
        newest = {}
        for offset, record in enumerate(self.log(topic)):
            key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        return dict(sorted(newest.items()))

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
                verdict = None
                if self.gate:
                    verdict = await self.gate(method, path, query, writer.get_extra_info("peername")[0])
                if verdict == "reset":
                    writer.transport.abort()
                    return
                status, kind, answer = (verdict, "text/plain", b"") if verdict else await self.call(path, query, body)
                head = "HTTP/1.1 %d Answer\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, kind, len(answer))).encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, path, query, body):
        log = self.log(query.get("topic", ""))
        if path == "/v1/log-append":
            if "at" in query and int(query["at"]) != len(log):
                return 412, "application/json", json.dumps({"end": len(log)}).encode()
            offset, position, records = len(log), 0, []
            while position < len(body):
                size = struct.unpack_from(">I", body, position)[0]
                records.append(body[position + 4:position + 4 + size])
                position += 4 + size
            if any(len(each) > RECORD_BYTES for each in records) or len(body) > CALL_BYTES:
                return 413, "text/plain", b""
            log.extend(records)
            self.wake()
            return 200, "application/json", json.dumps({"offset": offset, "end": len(log)}).encode()
        if path == "/v1/log-read":
            start, until = int(query["from"]), now() + int(query.get("wait_ms", "0")) / 1000
            while len(log) <= start and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            answer = struct.pack(">QQ", len(log), 0)
            limit = int(query.get("max_kb", "1024")) * 1024
            for record in log[start:]:
                if len(answer) > 16 and len(answer) + 4 + len(record) > limit:
                    break
                answer += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", answer
        if path == "/v1/log-newest":
            items, size, more = [], 0, False
            for key, (value, offset) in self.newest(query["topic"]).items():
                if key <= urllib.parse.unquote(query.get("after", "")):
                    continue
                item = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                size += len(item["value"])
                more = len(items) == 500 or (size > 1_000_000 and bool(items))
                if more:
                    break
                items.append(item)
            page = {"items": items, "more_pages": more, "end": len(log)}
            return 200, "application/json", json.dumps(page).encode()
        return 404, "text/plain", b""


class Runner:
    """A runner of a service. `work`, if set, is awaited with the request and answers it; else it takes 20 ms.

    `work` returns whether the connection stays open.
    """

    def __init__(self, store, record, service, name, ip, slots=48, version="v1", zone="osijek-a"):
        self.store, self.record, self.service, self.name, self.ip = store, record, service, name, ip
        self.slots, self.version, self.zone = slots, version, zone
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.work = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, backlog=256, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.heartbeat = asyncio.ensure_future(self.beat())

    def register(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.name, {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ")
                request = {"method": method, "target": target, "fields": fields, "reader": reader, "writer": writer,
                           "id": fields.get("x-attempt-id", "")}
                if target == "/v1/report":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
                elif fields.get("x-expect-runner", self.name) != self.name:
                    await read_body(reader, fields)
                    writer.write(self.head(request, 421, seal=False, more="X-Not-Executed: 1\r\nContent-Length: 0\r\n"))
                elif self.work:
                    if not await self.work(self, request):
                        return
                else:
                    request["body"] = await read_body(reader, fields)
                    await self.run(request, 0.02)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def head(self, request, status, seal=True, more=""):
        text = "HTTP/1.1 %d Answer\r\nX-Attempt-Id: %s\r\n" % (status, request["id"])
        text += "X-Runner-Seal: %s.%s\r\n" % (self.name, request["id"]) if seal else ""
        text += "X-Runner-Load: %d,0,%d\r\n" % (self.running, self.slots)
        return (text + more + "\r\n").encode()

    def body(self, request, size):
        unit = ("%s %s\n" % (self.name, request["id"])).encode()
        return (unit * (size // len(unit) + 1))[:size]

    def note_run(self, request):
        self.runs.append(request["id"])
        self.record.line("runner %s runs %s" % (self.name, request["id"]))

    async def run(self, request, seconds, size=800):
        """Runs the request for that long and answers it with a body of that size."""
        self.note_run(request)
        self.running += 1
        try:
            await asyncio.sleep(seconds)
            body = self.body(request, size)
            request["writer"].write(self.head(request, 200, more="Content-Length: %d\r\n" % len(body)) + body)
            await request["writer"].drain()
        finally:
            self.running -= 1


def configuration(version=1, **changes):
    """A configuration like that of `fleetbench wire`: a safe and an unsafe route of narudzbe, a stream of savjetnik."""
    plain = {"hostname": HOST, "timeout_ms": 20000, "goal_ms": 100, "priority": 2, "backend": "narudzbe",
             "attempts": 3, "public": False}
    stream = {"name": "r-stream", "hostname": HOST, "path_prefix": "/lohu930/", "route_type": "streaming",
              "timeout_ms": 20000, "goal_ms": 2000, "priority": 1, "backend": "savjetnik", "attempts": 3,
              "public": False, "affinity": True, "resumable": True, "gap_goal_ms": 1000}
    services = [{"name": name, "health_path": "/healthz", "max_conns": 310, "protocol": "h1", "tls": False,
                 "cold_start_s": 0.0, "cold_per_s": 0.0} for name in ("narudzbe", "savjetnik")]
    whole = {"version": version,
             "routes": [{**plain, "name": "r-unsafe", "path_prefix": "/puxa403/", "route_type": "unsafe"},
                        {**plain, "name": "r-safe", "path_prefix": "/cufi504/", "route_type": "safe"}, stream],
             "backends": services,
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                        "idle_timeout_ms": 15000},
             "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}
    whole.update(changes)
    return whole


class Vm:
    """An entry VM: the command and the template of the deploy file, with the settings of kovacic-tornjevi."""

    def __init__(self, folder, name, ip, store, zone="osijek-a"):
        self.name, self.ip, self.zone, self.store = name, ip, zone, store
        self.path = os.path.join(folder, name + ".settings")
        self.log_path = os.path.join(folder, name + ".log")
        self.bootstrap = True
        self.process = None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]

    @property
    def front(self):
        return self.ip, 8227

    def write_settings(self):
        zones = ["osijek-a", "osijek-b", "dakovo", "vinkovci"]
        fields = {
            "node_name": self.name, "role": "entry", "machine_class": "edge", "serves": ["edge"], "ip": self.ip,
            "zone": self.zone, "region": "slavonija", "zones": {zone: "slavonija" for zone in zones},
            "listen": {"front": self.ip + ":8227", "readiness": self.ip + ":8220"}, "port_range": [7340, 7355],
            "seeds": [], "bootstrap": self.bootstrap, "in_tolerance": False, "data_dir": None,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "places", "platform", "rollout"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
                       "regress_slack_ms": 250, "outer_ms": 5000, "fail_closed": False, "revoke_ms": 5000,
                       "retry_ratio": 0.9, "retry_window_s": 10, "retry_slack": 58, "exposure_share": 0.15,
                       "exposure_slack": 30, "rollback_ms": 5000, "cold_overage": 1.5, "cold_slack": 5,
                       "evac_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10, "session_s": 5},
            "platform": {"address": self.store.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000,
                         "parts": 8, "append_ms": 4.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
                         "record_bytes": RECORD_BYTES, "call_bytes": CALL_BYTES, "keep_s": 300, "part_mb": 200,
                         "ttl_min_ms": 1000}}
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = file.read().replace("{{.|json}}", json.dumps(fields))
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.path + ".new", self.path)

    def start(self):
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["AGATESPAR_SETTINGS"] = self.path
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.bootstrap = False

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8220)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        until = now() + seconds
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun("%s did not become ready" % self.name)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def request_head(method, target, identity, body_size, deadline_ms, more=""):
    """A client's request as on PROTOCOL.md, without its body."""
    text = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"
    text = text % (method, target, HOST, identity, deadline_ms, KEY) + more
    if method == "POST":
        text += "Content-Length: %d\r\n" % body_size
    return (text + "\r\n").encode()


def free_network():
    """A loopback network of this run's own, 127.A.B.0/24, in which the ports of the settings are free."""
    return "127.%d.%d." % (random.randint(10, 250), random.randint(1, 250))


def play(main):
    """Runs `main(record, folder, vms)`, which returns how often the rule was broken, and exits as the users ask."""
    # Whoever stops the script stops what it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(os.path.dirname(os.path.abspath(sys.argv[0])))
    folder = tempfile.mkdtemp(prefix="agatespar-review-")
    vms = []
    code = 2
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "bin", "agatespard")):
            raise CannotRun("target/bin/agatespard is missing: the deploy file's build was not run")
        broken = asyncio.run(asyncio.wait_for(main(record, folder, vms), 110))
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        record.line("the case could not run: %r" % problem)
    finally:
        for vm in vms:
            vm.end()
        shutil.rmtree(folder, ignore_errors=True)
    record.line("%s, trouble %s: exit %d" % ({0: "held", 1: "BROKEN", 2: "not run"}[code], "on" if TROUBLE else "off",
                                             code))
    with open(record.file.name, encoding="utf-8") as file:
        print("".join(file.readlines()[-12:]), end="")
    sys.exit(code)
