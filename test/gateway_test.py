"""Transparent requests through real daemons, the store's stand-in and servers that fail in all ways."""

import http.client
import json
import os
import signal
import socket
import time
import unittest

from harness.fleet import Fleet
from harness.processes import Background, call, wait_until

KEY = "key-of-hall"
ROUTES = {
    "safe": {"route_type": "safe", "backend": "calls", "attempts": 2, "timeout_ms": 3000, "goal_ms": 500},
    "unsafe": {"route_type": "unsafe", "backend": "calls", "attempts": 1, "timeout_ms": 3000, "goal_ms": 500},
    "stream": {
        "route_type": "streaming",
        "backend": "talk",
        "attempts": 3,
        "timeout_ms": 8000,
        "goal_ms": 2000,
        "affinity": True,
        "resumable": True,
        "sizes": ["small", "large"],
    },
}
# Its clients bear two seconds without an event, so a stream that has begun stalls after one.
ROUTES["brief"] = {**ROUTES["stream"], "goal_ms": 500}


def service_map(version, keys=(KEY,), without=()):
    routes = [
        {"name": name, "hostname": "one.example", "path_prefix": f"/{name}/", **fields}
        for name, fields in ROUTES.items()
        if name not in without
    ]
    return {
        "version": version,
        "routes": routes,
        "backends": [{"name": "calls"}, {"name": "talk"}],
        "limits": {"header_timeout_ms": 2000, "idle_timeout_ms": 20000},
        "tenants": [{"name": "hall", "api_keys": list(keys)}],
    }


class GatewayCase(unittest.TestCase):
    """A store, two servers of each service, and one entry VM."""

    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        self.fleet.start_standin("store", "store")
        self.sent = 0
        self.servers = {}
        self.settings = {}
        self.put("keyed.op", "config", service_map(1))
        for service in ("calls", "talk"):
            for number in (1, 2):
                self.start_server(service, f"{service}-{number}")
        self.entry = self.start_entry("vm-1", 2)

    def put(self, topic, key, value):
        answer = call(self.fleet.platform["store"], "POST", "/admin/put",
                      body={"topic": topic, "key": key, "value": value})
        self.assertEqual(answer.status, 200, answer.body)

    def start_server(self, service, name, version="v1"):
        address = self.fleet.start_standin(name, "runner", "--name=" + name)
        self.servers[name] = {"backend": service, "address": address, "zone": "hall-a", "version": version,
                              "slots": 8, "cold_left_ms": 0}
        self.show_server(name, "ready")

    def show_server(self, name, state):
        self.put("keyed.servers", name, {**self.servers[name], "state": state})

    def start_entry(self, name, number):
        host = f"127.0.0.{number}"
        path = os.path.join(self.fleet.folder, name + ".json")
        fields = {"node_name": name, "ip": host, "zone": "hall-a",
                  "listen": {"front": host + ":0", "readiness": host + ":0"},
                  "platform": {"address": self.fleet.platform["store"]}, "bounds": {"grace_s": 8}}
        self.settings[name] = (path, fields)
        self.write_settings(name)
        process = self.fleet.start(name, "agatespard", ["--gateway"], {"AGATESPAR_SETTINGS": path})
        wait_until(lambda: self.lines(name, "started"), name + " to start")
        entry = self.lines(name, "started")[0]
        entry["process"] = process
        wait_until(lambda: self.get(entry["readiness"], "/v1/readyz").status == 200, name + " to be ready")
        return entry

    def write_settings(self, name, written_at=None, **bounds):
        """Replaces a VM's settings file; written_at is the time of change that it shows, in nanoseconds."""
        path, fields = self.settings[name]
        fields["bounds"].update(bounds)
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump({"metrics_port": 0, "fields": fields}, file)
        if written_at is not None:
            os.utime(path + ".new", ns=(written_at, written_at))
        os.replace(path + ".new", path)

    def lines(self, name, event):
        """Returns the log lines of one event."""
        found = []
        for line in self.fleet.processes[name].read_log().splitlines():
            if line.startswith("{") and line.endswith("}"):
                read = json.loads(line)
                if read["event"] == event:
                    found.append(read)
        return found

    def get(self, address, path):
        return call(address, "GET", path)

    def send(self, kind, entry=None, method=None, headers=None, key=KEY, body=None):
        """Sends one request and returns its id and the connection that its answer comes on."""
        self.sent += 1
        identity = f"attempt-{self.sent}"
        host, port = (entry or self.entry)["front"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        fields = {"Host": "one.example", "X-Attempt-Id": identity, "X-Deadline-Ms": "8000",
                  "Authorization": "Bearer " + key, **(headers or {})}
        if ROUTES.get(kind, {}).get("route_type") == "streaming":
            fields = {"X-Model": "*", "X-Token-Count": "900,60", "X-Prompt-Prefix": "aa:500,bb:300,cc:100", **fields}
        connection.request(method or ("GET" if kind == "safe" else "POST"), f"/{kind}/a%2Fb?x=1", body=body,
                           headers=fields)
        return identity, connection

    def ask(self, kind, **request):
        """Sends one request and returns its id, status, headers and body; the body is None if it was cut."""
        identity, connection = self.send(kind, **request)
        try:
            response = connection.getresponse()
        except (http.client.HTTPException, OSError):
            return identity, 0, {}, None
        try:
            text = response.read().decode()
        except (http.client.HTTPException, OSError):
            text = None
        return identity, response.status, dict(response.getheaders()), text

    def runs(self, identity):
        return sum(self.fleet.counts(name)["runs"].get(identity, 0) for name in self.servers)

    def on_all(self, service, **faults):
        for name, server in self.servers.items():
            if server["backend"] == service:
                self.fleet.faults(name, **faults)

    def events(self, model, first=1, last=6):
        return "".join(f"id: {n}\ndata: {model} {n}\n\n" for n in range(first, last + 1))


class WhenAllIsWell(GatewayCase):
    def test_answers_come_unchanged_and_servers_learn_the_account_but_not_the_key(self):
        identity, status, headers, text = self.ask("unsafe", body="two doves", headers={"X-Tenant": "forged"})
        self.assertEqual((status, text), (200, "POST /unsafe/a/b two doves"))
        self.assertTrue(headers["X-Runner-Seal"].endswith(identity))
        self.assertEqual(self.runs(identity), 1)
        identity, status, headers, text = self.ask("safe")
        self.assertEqual(status, 200)
        named = {name for server in self.servers for name in self.fleet.counts(server)["accounts"]}
        self.assertEqual(named, {"hall"})

    def test_a_stream_comes_whole_from_the_small_model_if_it_is_sure(self):
        identity, status, headers, text = self.ask("stream")
        self.assertEqual((status, text), (200, self.events("small")))
        self.assertEqual(self.runs(identity), 1)

    def test_an_unsure_answer_is_dropped_unseen_for_the_larger_model(self):
        self.on_all("talk", confidence=20)
        identity, status, headers, text = self.ask("stream")
        self.assertEqual((status, text), (200, self.events("large")))
        self.assertEqual(self.runs(identity), 2)

    def test_with_little_time_left_the_small_model_s_answer_is_kept(self):
        self.on_all("talk", confidence=20)
        identity, status, headers, text = self.ask("stream", headers={"X-Deadline-Ms": "900"})
        self.assertEqual((status, text), (200, self.events("small")))
        self.assertEqual(self.runs(identity), 1)

    def test_what_the_configuration_does_not_know_is_refused_and_runs_nowhere(self):
        for kind, key, expected in (("nowhere", KEY, 404), ("safe", "key-of-nobody", 401)):
            identity, status, _, _ = self.ask(kind, key=key)
            self.assertEqual(status, expected)
            self.assertEqual(self.runs(identity), 0)

    def test_a_new_configuration_is_in_force_soon_and_never_goes_back(self):
        self.put("keyed.op", "config", service_map(5, keys=("key-two",), without=("safe",)))
        wait_until(lambda: self.ask("unsafe", key="key-two")[1] == 200, "the new key")
        self.put("keyed.op", "config", service_map(3))
        self.put("keyed.op", "config", "no configuration")
        wait_until(lambda: self.lines("vm-1", "configuration_unreadable"), "the unreadable one to be read")
        self.assertEqual(self.ask("unsafe")[1], 401)
        self.assertEqual(self.ask("safe", key="key-two")[1], 404)

    def test_metrics_are_shown(self):
        self.ask("safe")
        text = self.get(self.entry["metrics"], "/metrics").body
        self.assertIn('agatespar_requests_total{kind="safe",outcome="answered"} 1', text)
        self.assertIn('agatespar_store_reachable{topic="orders"} 1', text)


class WhenServersFail(GatewayCase):
    def test_an_unsafe_request_whose_answer_is_lost_runs_once_and_is_not_called_refused(self):
        self.on_all("calls", loses_answers=True)
        for _ in range(6):
            identity, status, _, _ = self.ask("unsafe")
            self.assertIn(status, (502, 504))
            self.assertEqual(self.runs(identity), 1)

    def test_a_safe_request_is_tried_again_and_not_more_often_than_its_route_allows(self):
        self.fleet.faults("calls-1", loses_answers=True)
        for _ in range(6):
            identity, status, _, _ = self.ask("safe")
            self.assertEqual(status, 200)
        self.on_all("calls", loses_answers=True)
        identity, status, _, _ = self.ask("safe")
        self.assertEqual(status, 502)
        self.assertLessEqual(self.runs(identity), 2)

    def test_changed_settings_hold_in_the_running_process_with_a_signal_and_without(self):
        self.on_all("calls", loses_answers=True)

        def repeats():
            identity, _, _, _ = self.ask("safe")
            return self.runs(identity) - 1

        def taken():
            return len(self.lines("vm-1", "settings_taken"))

        path, _ = self.settings["vm-1"]
        self.assertEqual(repeats(), 1)
        # Its time stays the same, so that nothing but the signal tells of the change.
        written_at = os.stat(path).st_mtime_ns
        self.write_settings("vm-1", written_at=written_at, retry_ratio=0.0, retry_slack=0.0)
        self.entry["process"].send(signal.SIGHUP)
        wait_until(lambda: taken() == 1, "the settings to be taken")
        self.assertEqual(repeats(), 0)
        self.write_settings("vm-1", retry_ratio=0.9, retry_slack=58.0)
        wait_until(lambda: taken() == 2, "the changed file to be seen")
        self.entry["process"].send(signal.SIGHUP)
        wait_until(lambda: self.lines("vm-1", "settings_unchanged"), "the signal without a change to be told of")
        self.assertEqual(taken(), 2)
        self.assertEqual(repeats(), 1)
        with open(path, "w", encoding="utf-8") as file:
            file.write("{")
        wait_until(lambda: self.lines("vm-1", "settings_unreadable"), "the broken file to be told of")
        self.assertEqual(repeats(), 1)

    def test_a_refusal_says_when_to_come_back_and_nothing_has_run(self):
        self.on_all("calls", sheds=True)
        for kind in ("unsafe", "safe"):
            identity, status, headers, _ = self.ask(kind)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0)
            self.assertEqual(self.runs(identity), 0)

    def test_a_failure_of_the_server_s_own_is_passed_on_as_it_is(self):
        self.on_all("calls", fails=True)
        identity, status, headers, text = self.ask("unsafe")
        self.assertEqual(status, 500)
        self.assertTrue(headers["X-Runner-Seal"].endswith(identity))
        self.assertEqual(self.runs(identity), 1)

    def test_a_broken_stream_goes_on_elsewhere_without_a_gap(self):
        self.fleet.faults("talk-1", breaks_at_event=4)
        for _ in range(4):
            identity, status, _, text = self.ask("stream")
            self.assertEqual((status, text), (200, self.events("small")))

    def test_an_answer_without_end_is_cut_off_and_asked_for_elsewhere(self):
        self.fleet.faults("calls-1", endless=True)
        for _ in range(4):
            identity, status, _, _ = self.ask("safe")
            self.assertEqual(status, 200)
        self.on_all("calls", endless=True)
        identity, status, _, _ = self.ask("safe")
        self.assertEqual(status, 502)
        self.assertEqual(self.runs(identity), 2)

    def test_an_event_without_end_is_never_passed_on_and_the_stream_goes_on_elsewhere(self):
        self.fleet.faults("talk-1", endless=True)
        for _ in range(4):
            _, status, _, text = self.ask("stream")
            self.assertEqual((status, text), (200, self.events("small")))

    def test_a_stream_that_stalls_goes_on_elsewhere_though_its_server_lives_and_sends_a_byte_now_and_then(self):
        identity, _, _, _ = self.ask("stream")
        usual = next(name for name in self.servers if self.fleet.counts(name)["runs"].get(identity, 0) == 1)
        self.fleet.faults(usual, trickles=True)
        identity, status, _, text = self.ask("stream")
        self.assertEqual((status, text), (200, self.events("small")))
        self.assertEqual(self.runs(identity), 2)

    def test_a_stream_whose_client_reads_nothing_for_a_while_is_not_taken_for_stalled(self):
        # More than what the sockets on the way hold, so that the server is not read either.
        self.on_all("talk", events=40, padding=500_000)
        identity, connection = self.send("brief")
        self.addCleanup(connection.close)
        response = connection.getresponse()
        # Longer than a stall, and shorter than a client that takes nothing at all is kept.
        time.sleep(2)
        self.assertEqual(response.read().decode().count("data: "), 40)
        self.assertEqual(self.runs(identity), 1)

    def test_a_plain_answer_that_trickles_is_asked_for_elsewhere(self):
        self.fleet.faults("calls-1", trickles=True)
        for _ in range(4):
            self.assertEqual(self.ask("safe")[1], 200)

    def test_a_stream_that_breaks_everywhere_is_never_taken_for_whole(self):
        self.on_all("talk", breaks_at_event=4)
        identity, status, _, text = self.ask("stream")
        self.assertIsNone(text)
        self.assertLessEqual(self.runs(identity), 3)

    def test_an_address_that_another_server_has_now_runs_nothing(self):
        self.servers["calls-1"]["address"] = self.servers["calls-2"]["address"]
        self.show_server("calls-1", "ready")
        for _ in range(6):
            identity, status, _, _ = self.ask("unsafe")
            self.assertEqual(status, 200)
            self.assertEqual(self.runs(identity), 1)

    def test_a_server_that_falls_silent_is_left_for_another(self):
        # Stopped, it keeps its connections and says nothing, like one behind a cut.
        self.fleet.processes["calls-1"].pause()
        self.fleet.processes["talk-1"].pause()
        try:
            for _ in range(4):
                self.assertEqual(self.ask("safe")[1], 200)
                self.assertEqual(self.ask("stream")[3], self.events("small"))
        finally:
            self.fleet.processes["calls-1"].resume()
            self.fleet.processes["talk-1"].resume()

    def test_a_request_ends_with_its_time(self):
        self.on_all("calls", late_ms=60000)
        identity, status, _, _ = self.ask("unsafe", headers={"X-Deadline-Ms": "300"})
        self.assertEqual(status, 504)

    def test_the_log_leads_from_a_request_to_its_cause(self):
        self.on_all("calls", loses_answers=True)
        identity, _, _, _ = self.ask("unsafe")
        ended = [line for line in self.lines("vm-1", "request_ended") if line["request"] == identity]
        self.assertEqual(len(ended), 1)
        self.assertEqual(ended[0]["outcome"], "failed")
        self.assertRegex(
            ended[0]["attempts"],
            r"^calls-[12] v1 load \d+/8 age \d+ heard (\d+|never) of 2 left \d+: the server closed the connection \d+ ms$",
        )


class WhenServersComeAndGo(GatewayCase):
    def test_a_leaving_server_gets_nothing_new(self):
        self.show_server("calls-1", "draining")
        wait_until(lambda: self.lines("vm-1", "server_leaving"), "the notice")
        before = len(self.fleet.counts("calls-1")["runs"])
        for _ in range(8):
            self.assertEqual(self.ask("unsafe")[1], 200)
        self.assertEqual(len(self.fleet.counts("calls-1")["runs"]), before)

    def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(self):
        self.put("keyed.op", "evacuate/hall-a", {})
        wait_until(lambda: self.lines("vm-1", "zone_evacuated"), "the order")
        self.assertEqual(self.ask("unsafe")[1], 503)
        self.put("keyed.op", "evacuate/hall-a", None)
        wait_until(lambda: self.ask("unsafe")[1] == 200, "the zone to serve again")

    def test_the_store_goes_away_and_requests_go_on(self):
        self.fleet.faults("store", down=True)
        wait_until(lambda: self.lines("vm-1", "store_lost"), "the loss to be noticed")
        self.assertEqual(self.ask("unsafe")[1], 200)
        self.fleet.faults("store", down=False, forget="keyed.servers")
        self.show_server("calls-1", "draining")
        wait_until(lambda: self.lines("vm-1", "server_leaving"), "the news after the return")

    def test_a_new_version_is_complete_before_its_time_is_over(self):
        self.start_server("calls", "calls-3", version="v2")
        self.put("keyed.op", "rollout/calls", {"backend": "calls", "target": "v2", "duration_s": 4})
        wait_until(lambda: self.lines("vm-1", "rollout_reported"), "the report")
        self.assertEqual(self.lines("vm-1", "rollout_reported")[0]["state"], 1)
        before = len(self.fleet.counts("calls-3")["runs"])
        for _ in range(4):
            self.assertEqual(self.ask("unsafe")[1], 200)
        self.assertEqual(len(self.fleet.counts("calls-3")["runs"]), before + 4)


    def test_a_stream_goes_on_at_the_new_version_when_the_old_servers_stop(self):
        self.start_server("talk", "talk-3", version="v2")
        self.on_all("talk", events=400)
        self.put("keyed.op", "rollout/talk", {"backend": "talk", "target": "v2", "duration_s": 2})
        wait_until(lambda: self.lines("vm-1", "rollout_ordered"), "the order")
        # So soon after the order every request still goes to the old version.
        work = Background(lambda: self.ask("stream"))
        wait_until(lambda: any(self.fleet.counts(name)["runs"] for name in self.servers), "the stream")
        wait_until(lambda: self.lines("vm-1", "rollout_reported"), "the report")
        for name in ("talk-1", "talk-2"):
            self.fleet.processes[name].kill()
            self.put("keyed.servers", name, None)
            del self.servers[name]
        identity, status, _, text = work.wait()
        self.assertEqual((status, text), (200, self.events("small", last=400)))
        self.assertEqual(self.runs(identity), 1)


class WhenVMsReadForEachOther(GatewayCase):
    def setUp(self):
        super().setUp()
        self.entries = {"vm-1": self.entry}
        for number in (2, 3, 4):
            name = f"vm-{number}"
            self.entries[name] = self.start_entry(name, number + 1)
        wait_until(lambda: len(self.readers()) == 2, "two of four VMs to read the store")

    def readers(self):
        return [name for name, entry in self.entries.items()
                if "agatespar_reads_store 1" in self.get(entry["metrics"], "/metrics").body]

    def wait_for_key(self, key):
        for name, entry in self.entries.items():
            wait_until(lambda at=entry: self.ask("safe", entry=at, key=key)[1] == 200, name + " to know " + key)

    def test_all_learn_what_two_of_them_read_and_go_on_when_one_is_lost(self):
        self.put("keyed.op", "config", service_map(2, keys=("key-two",)))
        self.wait_for_key("key-two")
        lost = self.readers()[0]
        self.entries.pop(lost)["process"].kill()
        self.put("keyed.op", "config", service_map(3, keys=("key-three",)))
        self.wait_for_key("key-three")
        wait_until(lambda: len(self.readers()) == 2, "another VM to read in its place")

    def test_with_the_store_away_all_go_on_and_come_back(self):
        self.fleet.faults("store", down=True)
        for name in self.entries:
            wait_until(lambda at=name: self.lines(at, "store_lost"), name + " to look for itself")
        self.wait_for_key(KEY)
        self.fleet.faults("store", down=False)
        self.put("keyed.op", "config", service_map(2, keys=("key-two",)))
        self.wait_for_key("key-two")


class WhenVMsStop(GatewayCase):
    def test_a_planned_stop_cuts_nothing(self):
        self.on_all("talk", events=150)
        work = Background(lambda: self.ask("stream"))
        wait_until(lambda: any(self.fleet.counts(name)["runs"] for name in ("talk-1", "talk-2")), "the stream")
        stop = Background(lambda: self.entry["process"].stop())
        wait_until(lambda: self.get(self.entry["readiness"], "/v1/readyz").status == 503, "the VM to say so")
        # Until the platform has noticed, requests still come and are served.
        self.assertEqual(self.ask("unsafe")[1], 200)
        _, status, _, text = work.wait()
        self.assertEqual((status, text), (200, self.events("small", last=150)))
        self.assertEqual(stop.wait(), 0)

    def test_a_client_that_leaves_frees_its_server(self):
        self.on_all("talk", events=100000)
        host, port = self.entry["front"].split(":")
        client = socket.create_connection((host, int(port)))
        client.sendall(b"POST /stream/1 HTTP/1.1\r\nHost: one.example\r\nX-Attempt-Id: leaver\r\nX-Model: *\r\n"
                       b"Authorization: Bearer key-of-hall\r\nContent-Length: 0\r\n\r\n")
        wait_until(lambda: self.runs("leaver") == 1, "the run")
        client.close()
        wait_until(lambda: [line for line in self.lines("vm-1", "request_ended") if line["request"] == "leaver"],
                   "the end")
        self.assertEqual(self.lines("vm-1", "request_ended")[-1]["outcome"], "left")


if __name__ == "__main__":
    unittest.main()
