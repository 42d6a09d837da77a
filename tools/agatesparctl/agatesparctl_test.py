"""Tests agatesparctl with a stand-in of the log service: exit codes, reports and concurrent operators."""

import concurrent.futures
import http.server
import json
import os
import subprocess
import sys
import tempfile
import threading
import unittest

from harness.processes import Process, http_call

BIN = os.environ["AGATESPAR_BIN"]
OK, REFUSED, USAGE, UNREACHABLE, UNKNOWN = range(5)
OPERATORS = 8
PATCHES_EACH = 25

START = [
    {"op": "put_fleet", "fleet": "kovacic"},
    {"op": "put_zone", "fleet": "kovacic", "zone": "a", "region": "west"},
    {
        "op": "put_model",
        "fleet": "kovacic",
        "model": "assistant",
        "versions": {
            "4": {"share": 0.9, "cost_per_1000_tokens": 1},
            "5": {"share": 0.1, "cost_per_1000_tokens": 1},
        },
    },
]


def run(*arguments, log=None):
    """Returns the exit code, standard output and standard error."""
    command = [os.path.join(BIN, "agatesparctl"), *arguments]
    if log:
        command.append("--log=http://" + log)
    environment = {name: value for name, value in os.environ.items() if not name.startswith("AGATESPAR_")}
    done = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=120)
    return done.returncode, done.stdout, done.stderr


class RefusingLog(http.server.BaseHTTPRequestHandler):
    """A log service that is always empty and refuses every append, so that the outcome of a patch stays unknown."""

    def do_GET(self):
        body = b'{"first_retained":1,"next":1,"records":[]}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(503)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


class AgatesparctlTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        port_file = os.path.join(self.folder.name, "log.port")
        standin = os.path.join(BIN, "agatespar-standin")
        arguments = [standin, "--role=log", "--seed=3", "--port-file=" + port_file]
        self.process = Process("log", arguments, self.folder.name)
        self.log = "127.0.0.1:" + str(self.process.read_ports())
        self.start = self.write_patch("start", 0, START)

    def tearDown(self):
        self.process.stop()
        self.folder.cleanup()

    def write_patch(self, patch_id, base, operations):
        path = os.path.join(self.folder.name, patch_id + ".json")
        with open(path, "w", encoding="utf-8") as file:
            document = {"patch_id": patch_id, "base": base, "author": "ana", "rules": 1, "operations": operations}
            json.dump(document, file)
        return path

    def test_wrong_usage_names_the_setting(self):
        for arguments, text in [
            (["config", "show"], "--log (AGATESPAR_LOG_URL)"),
            (["status"], "--daemon (AGATESPAR_DAEMON_URL)"),
            (["--log=ftp://x", "config", "show"], "--log"),
            (["--timeout=0", "--log=http://127.0.0.1:1", "usage"], "--timeout"),
            (["--base=x", "--log=http://127.0.0.1:1", "zone", "drain", "f/a"], "--base"),
            (["--log=http://127.0.0.1:1", "zone", "drain", "a"], '"a" is not of the form FLEET/NAME'),
            (["--log=http://127.0.0.1:1", "rollout", "f/m", "1=2"], "VERSION=SHARE"),
            (["patch", "missing.json", "--log=http://127.0.0.1:1"], "missing.json"),
            (["nonsense"], "--help"),
        ]:
            code, out, err = run(*arguments)
            self.assertEqual((code, out, err.count("\n")), (USAGE, "", 1), arguments)
            self.assertIn(text, err)

    def test_an_invalid_file_is_reported_with_path_and_reason(self):
        path = self.write_patch("bad", 0, [{"op": "put_zone", "fleet": "f", "zone": "a"}])
        code, _, err = run("config", "check", path)
        self.assertEqual(code, USAGE)
        self.assertIn(path + ": /operations/0/region: is missing", err)

    def test_patches_are_accepted_refused_and_shown(self):
        self.assertEqual(run("patch", self.start, log=self.log)[0], OK)
        self.assertEqual(run("zone", "drain", "kovacic/a", log=self.log)[0], OK)
        code, out, _ = run("withdraw", "kovacic/assistant@4", "--successor=5", "--base=1", log=self.log)
        self.assertEqual(code, REFUSED)
        self.assertIn("in between: 2  accepted", out)
        self.assertEqual(run("rollout", "kovacic/assistant", "4=0.5", "5=0.4", log=self.log)[0], REFUSED)
        self.assertEqual(run("rollout", "kovacic/assistant", "4=0.5", "5=0.5", log=self.log)[0], OK)
        self.assertEqual(run("patch", self.start, log=self.log)[0], OK, "a patch that is submitted again keeps its verdict")
        shown = json.loads(run("config", "show", "--json", log=self.log)[1])
        self.assertEqual(shown["number"], 3)
        self.assertFalse(shown["fleets"]["kovacic"]["zones"]["a"]["in_service"])

    def test_an_unreachable_log_and_an_unknown_outcome_have_different_exit_codes(self):
        self.process.stop()
        self.assertEqual(run("--timeout=1", "patch", self.start, log=self.log)[0], UNREACHABLE)
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), RefusingLog)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            code, out, _ = run("--timeout=2", "patch", self.start, log="127.0.0.1:" + str(server.server_port))
        finally:
            server.shutdown()
            server.server_close()
        self.assertEqual(code, UNKNOWN)
        self.assertIn("patch start: unknown", out)

    def test_concurrent_operators_with_half_of_the_answers_lost(self):
        self.assertEqual(run("patch", self.start, log=self.log)[0], OK)
        http_call(self.log, "POST", "/admin/faults", {"lost_answers": 0.5})

        def operate(operator):
            reports = []
            for step in range(PATCHES_EACH):
                order = "drain" if (operator + step) % 2 else "return"
                patch_id = f"operator{operator}-{step}"
                code, out, _ = run("zone", order, "kovacic/a", "--json", "--patch-id=" + patch_id, log=self.log)
                reports.append((code, json.loads(out)))
            return reports

        with concurrent.futures.ThreadPoolExecutor(OPERATORS) as pool:
            reports = [report for part in pool.map(operate, range(OPERATORS)) for report in part]
        verdicts = json.loads(run("config", "log", "--json", log=self.log)[1])
        accepted = {v["patch_id"]: v["number"] for v in verdicts if v["verdict"] == "accepted"}
        reported = {report["patch_id"]: report["number"] for code, report in reports if code == OK}
        conflicts = [report for code, report in reports if code == REFUSED]
        print(f"concurrent operators: {len(reported)} accepted, {len(conflicts)} conflicts", file=sys.stderr)
        self.assertEqual(len(reported) + len(conflicts), OPERATORS * PATCHES_EACH)
        self.assertEqual(accepted, {**reported, "start": 1})
        self.assertEqual(sorted(accepted.values()), list(range(1, len(accepted) + 1)))
        self.assertTrue(all(report["changes_in_between"] for report in conflicts))


class TraceTest(unittest.TestCase):
    """The command trace, on collected logs of two VMs."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.paths = [os.path.join(folder, name) for name in ("vm-1.log", "vm-2.log")]
        lines = {
            0: [
                ("00:00:01.000", "store_lost", {"topic": "servers", "reason": "the connection broke"}),
                ("00:00:02.000", "server_leaving", {"server": "i-1", "service": "talk"}),
                ("00:00:02.500", "server_leaving", {"server": "i-9", "service": "talk"}),
                ("00:00:03.000", "request_ended", {"request": "r-1", "outcome": "failed", "status": 502,
                                                   "reason": "no server answered", "attempts":
                                                   "i-1 v1 load 0/8 age 5 of 2 left 900: the connection broke 3 ms"}),
                ("00:00:04.000", "server_ready", {"server": "i-1", "service": "talk"}),
            ],
            1: [("00:00:02.700", "server_ready", {"server": "i-1", "service": "talk"})],
        }
        for number, path in enumerate(self.paths):
            with open(path, "w", encoding="utf-8") as file:
                file.write("a line that is not JSON\n  12.5 vm {broken\n")
                for time, event, fields in lines[number]:
                    line = {"time": f"2026-12-04T{time}Z", "source": f"vm-{number + 1}", "event": event, **fields}
                    file.write("  0.1 vm " + json.dumps(line) + "\n")

    def test_prints_the_request_and_the_earlier_events_of_its_vm(self):
        code, output, _ = run("trace", "r-1", *self.paths)
        self.assertEqual(code, OK)
        self.assertIn("vm-1: failed, status 502, no server answered", output)
        self.assertIn("attempt: i-1 v1 load 0/8 age 5 of 2 left 900: the connection broke 3 ms", output)
        self.assertIn("store_lost", output)
        self.assertEqual(output.count("server_leaving"), 1)
        self.assertNotIn("server_ready", output)

    def test_prints_json_for_scripts(self):
        code, output, _ = run("--json", "trace", "r-1", *self.paths)
        self.assertEqual(code, OK)
        found = json.loads(output)
        self.assertEqual([line["event"] for line in found[0]["learned"]], ["store_lost", "server_leaving"])

    def test_reports_an_unknown_request_and_an_unreadable_file(self):
        code, _, problem = run("trace", "r-2", *self.paths)
        self.assertEqual(code, REFUSED)
        self.assertIn("no line tells of request r-2", problem)
        code, _, problem = run("trace", "r-1", "nowhere.log")
        self.assertEqual(code, USAGE)
        self.assertIn("nowhere.log", problem)


if __name__ == "__main__":
    unittest.main()
