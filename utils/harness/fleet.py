"""Starts two fleets with the same names: stand-ins of the platform's services, backend servers and entry VMs."""

import hashlib
import json
import os
import shutil
import sys
import tempfile
import uuid
import time

from harness.processes import Process, http_call, wait_until

VM_KEY = "the secret of all test VMs"
SESSION_SECRET = "the secret of all test sessions"
OPERATOR_KEY = "operator-key-of-the-tests"
# Must be equal to `ledger_partition_count` of the library.
LEDGER_PARTITIONS = 16
KOVACIC_KEY = "kovacic-front-key"
KOVACIC_SMALL_KEY = "kovacic-small-key"
COLOMBES_KEY = "colombes-front-key"


def key_hash(key):
    """Returns the hash of a key as used in patches: BLAKE2b with 32 bytes, in hexadecimal digits."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def new_key():
    """Returns an idempotency key that contains its creation time: a UUID of version 7."""
    milliseconds = int(time.time() * 1000)
    value = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (0x7 << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def fleet_operations(fleet, zones, chat_service, plain_service, methods, accounts):
    """Returns the operations that configure one fleet. Models, zones and accounts of both fleets have the same names."""
    operations = [{"op": "put_fleet", "fleet": fleet}]
    for zone in zones:
        operations.append({"op": "put_zone", "fleet": fleet, "zone": zone, "region": "home"})
    operations += [
        {
            "op": "put_model",
            "fleet": fleet,
            "model": "small",
            "versions": {"1": {"share": 1.0, "cost_per_1000_tokens": 1}},
        },
        {
            "op": "put_model",
            "fleet": fleet,
            "model": "large",
            "versions": {"1": {"share": 1.0, "cost_per_1000_tokens": 8}},
        },
        {"op": "put_class", "fleet": fleet, "class": "lookup", "deadline_ms": 20000, "priority": 3},
        {"op": "put_class", "fleet": fleet, "class": "draft", "deadline_ms": 600000, "may_hold": True},
        {
            "op": "put_service",
            "fleet": fleet,
            "service": chat_service,
            "kind": "chat",
            "models": ["small", "large"],
            "default_class": "lookup",
        },
        {
            "op": "put_service",
            "fleet": fleet,
            "service": plain_service,
            "kind": "plain",
            "methods": {name: {"idempotent": idempotent} for name, idempotent in methods.items()},
        },
    ]
    for name, key, models in accounts:
        operations.append(
            {
                "op": "put_account",
                "fleet": fleet,
                "account": name,
                "key_hashes": [key_hash(key)],
                "models": {model: [] for model in models},
                "services": [chat_service, plain_service],
            }
        )
    return operations


def two_fleets_operations():
    return fleet_operations(
        "kovacic",
        ["centre", "north"],
        "savjetnik",
        "narudzbe",
        {"look_up": True, "book": False},
        [("front", KOVACIC_KEY, ["small", "large"]), ("small", KOVACIC_SMALL_KEY, ["small"])],
    ) + fleet_operations(
        "colombes",
        ["centre"],
        "assistant-colombe",
        "reservations",
        {"check": True, "confirm": False},
        [("front", COLOMBES_KEY, ["small", "large"])],
    )


class Fleet:
    """All processes of one run. It is a context manager that kills the processes at its end."""

    def __init__(self, build, keep=False):
        self.bin = os.path.join(os.path.abspath(build), "bin")
        self.folder = tempfile.mkdtemp(prefix="agatespar-")
        self.keep = keep
        self.processes = {}
        self.platform = {}
        self.vms = []
        self.daemons = {}
        self.http = {}
        self.peer = {}

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        states = {name: process.child.poll() for name, process in self.processes.items()}
        for process in self.processes.values():
            process.resume()
            process.kill()
        self.keep_logs(states)
        if not self.keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def keep_logs(self, states):
        """Copies the logs to the folder that TEST_LOGS names, if any. A failed test's result is known only later.

        states: each process's exit code when the test ended; None if it was running.
        """
        parent = os.environ.get("TEST_LOGS")
        if not parent:
            return
        script = os.path.splitext(os.path.basename(sys.argv[0]))[0]
        folder = os.path.join(parent, f"{script}-{os.getpid()}", os.path.basename(self.folder))
        os.makedirs(folder)
        for name, process in self.processes.items():
            shutil.copy(process.log_path, folder)
            with open(os.path.join(folder, name + ".log"), "a", encoding="utf-8") as log:
                log.write(f"--- at the end of the test: {'running' if states[name] is None else states[name]}\n")

    def print_logs(self):
        for name, process in self.processes.items():
            print(f"--- {name} ({'running' if process.running() else process.child.returncode})")
            print("\n".join(process.read_log().splitlines()[-15:]))

    def start_one_zone(self, *vms, engines=1, cold_slots=2):
        """Starts one zone with a plain service, engines that have both models loaded, and entry VMs that serve."""
        slots = max(8, cold_slots)
        self.start_platform()
        for number in range(1, engines + 1):
            self.start_engine(
                "kovacic", "centre", f"engine-{number}", "small@1,large@1", slots=slots, cold_slots=cold_slots
            )
        self.start_plain("kovacic", "centre", "orders-1", "narudzbe")
        code, output = self.patch(two_fleets_operations(), 0)
        assert code == 0, output
        for name in vms:
            self.start_daemon("kovacic", "centre", name)
        self.wait_serving(*vms, servers=engines + 1)
        for name in vms:
            self.wait_answering(name)

    def wait_serving(self, *vms, servers):
        """Waits until entry VMs are ready, have the first configuration in force and know their servers."""
        self.wait_ready(vms)
        self.wait_config(1, vms)
        for name in vms:
            self.wait_servers(name, servers)

    def wait_for_ledger_owners(self, *vms):
        """Waits until these entry VMs are the only members and each ledger partition has exactly one ready owner."""

        def converged():
            statuses = [self.status(name) for name in vms]
            members = [sorted(status["members"]) for status in statuses]
            parts = [part for status in statuses for part in status["ledger_partitions"]]
            ready_partitions = sorted(part["partition"] for part in parts if part["ready"])
            return all(each == members[0] and len(each) == len(vms) for each in members) and ready_partitions == list(
                range(LEDGER_PARTITIONS)
            )

        wait_until(converged, "the VMs to agree on the members and on the owners of the ledger partitions")

    def wait_answering(self, name):
        """Waits until chat requests run, which requires that the owner of the zone's servers issues permits."""
        wait_until(lambda: self.chat(name, "Is anyone there?").status == 200, name + " to answer")

    def run_chat(self, name, prompt, **fields):
        """Sends a request until it runs: one that is refused as not run, such as in a full zone, is sent again."""
        answers = []

        def ran():
            answers.append(self.chat(name, prompt, **fields))
            return answers[-1].status == 200 or answers[-1].error()["ran"] != "not_run"

        wait_until(ran, "a request to run")
        return answers[-1]

    def kill_daemon(self, name):
        """Kills an entry VM and removes it from the VM list, as the platform does."""
        self.processes[name].kill()
        self.remove_from_vm_list(name)

    def running(self, name):
        """Returns the number of requests that an entry VM is running."""
        return self.status(name)["requests"]["running"]

    def read_usage_counts(self, account):
        """Returns the number of requests billed to an account FLEET/NAME, and the number of duplicate usage records."""
        code, output = self.run_agatesparctl("usage", "--json")
        assert code == 0, output
        totals = json.loads(output)
        return totals["accounts"].get(account, {"requests": 0})["requests"], totals["duplicates"]

    def start(self, name, program, arguments, environment=None):
        port_file = os.path.join(self.folder, name + ".port")
        command = [os.path.join(self.bin, program), *arguments, "--port-file=" + port_file]
        process = Process(name, command, self.folder, environment)
        self.processes[name] = process
        return process

    def start_standin(self, name, role, *arguments):
        """Starts a stand-in and returns its address."""
        process = self.start(name, "agatespar-standin", ["--role=" + role, *arguments])
        ports = process.read_ports()
        self.platform[name] = "127.0.0.1:" + str(ports)
        return self.platform[name]

    def start_platform(self, *log_arguments):
        self.start_standin("log", "log", *log_arguments)
        self.start_standin("vms", "vms")
        self.start_standin("rating", "rating")
        self.start_standin("weights", "weights")

    def start_engine(self, fleet, zone, name, versions, *arguments, slots=8, cold_slots=2):
        """Starts an engine, warm unless other arguments are given, and adds it to the VM list."""
        address = self.start_standin(
            f"{fleet}-{name}",
            "engine",
            f"--fleet={fleet}",
            f"--zone={zone}",
            f"--name={name}",
            f"--versions={versions}",
            f"--slots={slots}",
            f"--cold-slots={cold_slots}",
            *(arguments or ("--warm",)),
        )
        self.add_to_vm_list(fleet, zone, name, "engine", "http://" + address, slots=slots, cold_slots=cold_slots)

    def start_plain(self, fleet, zone, name, service, *arguments, fences=False):
        flags = ["--fences"] if fences else []
        address = self.start_standin(
            f"{fleet}-{name}", "plain", f"--fleet={fleet}", f"--zone={zone}", f"--name={name}", *flags, *arguments
        )
        self.add_to_vm_list(fleet, zone, name, "plain", "http://" + address, service=service, fences=fences)

    def add_to_vm_list(self, fleet, zone, name, kind, address, service="", slots=8, cold_slots=8, fences=False):
        self.vms.append(
            {
                "name": name,
                "kind": kind,
                "fleet": fleet,
                "zone": zone,
                "region": "home",
                "address": address,
                "service": service,
                "state": "live",
                "cold_slots": cold_slots,
                "slots": slots,
                "fences": fences,
            }
        )
        self.publish_vms()

    def publish_vms(self):
        http_call(self.platform["vms"], "POST", "/admin/vms", {"vms": self.vms})

    def start_daemon(self, fleet, zone, name, *arguments, notice_time=0.3, **extra_environment):
        """Starts an entry VM and adds it to the VM list."""
        environment = {
            "AGATESPAR_VM_KEY": VM_KEY,
            "AGATESPAR_SESSION_SECRET": SESSION_SECRET,
            "AGATESPAR_OPERATOR_KEY_HASHES": key_hash(OPERATOR_KEY),
            **extra_environment,
        }
        flags = [
            "--listen=127.0.0.1:0",
            "--peer-listen=127.0.0.1:0",
            f"--zone={fleet}/{zone}",
            "--region=home",
            "--log-url=http://" + self.platform["log"],
            "--vm-list-url=http://" + self.platform["vms"],
            "--rating-url=http://" + self.platform["rating"],
            "--weight-store-url=http://" + self.platform["weights"],
            f"--notice-time={notice_time}",
            *arguments,
        ]
        process = self.start(name, "agatespard", flags, environment)
        ports = process.read_ports()
        self.daemons[name] = process
        self.http[name] = ports["http"]
        self.peer[name] = ports["peer"]
        self.add_to_vm_list(fleet, zone, name, "entry", ports["peer"])
        return ports["http"]

    def remove_from_vm_list(self, name):
        """Removes an entry VM that has ended from the VM list."""
        self.vms = [entry for entry in self.vms if not (entry["kind"] == "entry" and entry["name"] == name)]
        self.publish_vms()
        for table in (self.daemons, self.http, self.peer):
            table.pop(name, None)

    def wait_ready(self, names=None):
        for name in names or list(self.daemons):
            wait_until(lambda: self.is_ready(name), name + " to be ready")

    def is_ready(self, name):
        try:
            return http_call(self.http[name], "GET", "/readyz").status == 200
        except OSError:
            return False

    def status(self, name):
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        return http_call(self.http[name], "GET", "/operator/status", headers=headers).json()

    def explain(self, name, request):
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        return http_call(self.http[name], "GET", "/operator/explain/" + request, headers=headers)

    def patch(self, operations, base, patch_id=None):
        """Submits a patch with agatesparctl and returns its exit code and output."""
        import subprocess

        document = {
            "patch_id": patch_id or str(uuid.uuid4()),
            "base": base,
            "author": "tests",
            "rules": 1,
            "operations": operations,
        }
        path = os.path.join(self.folder, document["patch_id"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        return self.run_agatesparctl("patch", path)

    def run_agatesparctl(self, *arguments):
        """Runs agatesparctl and returns its exit code and output."""
        import subprocess

        command = [os.path.join(self.bin, "agatesparctl"), *arguments, "--log=http://" + self.platform["log"]]
        done = subprocess.run(command, capture_output=True, text=True, timeout=120)
        return done.returncode, done.stdout + done.stderr

    def wait_config(self, number, names=None):
        for name in names or list(self.daemons):
            wait_until(lambda: self.status(name)["config"]["number"] >= number, f"number {number} on {name}")

    def wait_servers(self, name, count):
        """Waits until a daemon knows a number of healthy servers with a limit above zero."""

        def usable():
            servers = self.status(name)["servers"]
            return sum(1 for server in servers if server["healthy"] and server["limit"] > 0) >= count

        wait_until(usable, f"{count} usable servers on {name}")

    def wait_zone(self, name, zone, targets):
        """Waits until a daemon knows that another zone has free slots for a number of targets."""

        def known():
            zones = self.status(name)["other_zones"]
            return any(entry["zone"] == zone and len(entry["free_slots"]) >= targets for entry in zones)

        wait_until(known, f"{name} to know of {zone}")

    def chat(self, name, prompt, key=KOVACIC_KEY, target="savjetnik", **fields):
        body = {"model": target, "messages": [{"role": "user", "content": prompt}], **fields}
        return http_call(
            self.http[name], "POST", "/v1/chat/completions", body, headers={"Authorization": "Bearer " + key}
        )

    def service(self, name, path, body, key=KOVACIC_KEY, idempotency_key=None, method="POST", timeout=60):
        headers = {"Authorization": "Bearer " + key}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        return http_call(self.http[name], method, "/v1/services/" + path, body, headers, timeout)

    def faults(self, standin, **fields):
        return http_call(self.platform[standin], "POST", "/admin/faults", fields)

    def counts(self, standin):
        return http_call(self.platform[standin], "GET", "/admin/counts").json()


def is_complete(answer, prompt):
    """Returns whether a chat answer is complete: it starts with "[" and ends with the end of the prompt and "]"."""
    text = answer.json()["choices"][0]["message"]["content"]
    return text.startswith("[") and text.endswith(prompt[-64:] + "]")


def streamed_text(answer):
    """Returns the text of a streamed answer, or None if the answer lacks its end mark."""
    events = [line[len("data: ") :] for line in answer.body.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        return None
    documents = [json.loads(event) for event in events[:-1]]
    return "".join(document["choices"][0]["delta"].get("content", "") for document in documents)
