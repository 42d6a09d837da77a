"""Broken answers of servers reach no client as complete ones."""

import http.client
import json
import os
import socket
import struct
import time
import unittest

from gateway_test import FaultyServer, GatewayCase
from harness.fleet import Fleet, new_key
from harness.processes import BackgroundTask, wait_until

BODY = b"Content-Length: 4\r\n\r\nfull"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"

# The status line, and what follows the fields that identify the answer. The connection is closed after it.
FORMS = {
    "status 000": (b"HTTP/1.1 000 OK\r\n", BODY),
    "status 099": (b"HTTP/1.1 099 OK\r\n", BODY),
    "status 600": (b"HTTP/1.1 600 OK\r\n", BODY),
    "a blank in a name": (OK, b"X One: 1\r\n" + BODY),
    "a blank before the colon": (OK, b"Content-Length : 4\r\n\r\nfull"),
    "a tab before the colon": (OK, b"X-One\t: 1\r\n" + BODY),
    "a control byte in a name": (OK, b"X-\x01One: 1\r\n" + BODY),
    "a NUL in a name": (OK, b"X-\x00One: 1\r\n" + BODY),
    "a delete byte in a name": (OK, b"X-\x7fOne: 1\r\n" + BODY),
    "a carriage return in a name": (OK, b"X-\rOne: 1\r\n" + BODY),
    "a control byte in the name of the length": (OK, b"Content-\x01Length: 4\r\n\r\nfull"),
    "an empty name": (OK, b": 1\r\n" + BODY),
    "a line without a colon": (OK, b"X-One\r\n" + BODY),
    "two lengths": (OK, b"Content-Length: 9\r\n" + BODY),
    "a list of lengths": (OK, b"Content-Length: 4, 9\r\n\r\nfull"),
    "a length and chunks": (OK, b"Content-Length: 4\r\n" + CHUNKED + b"4\r\nfull\r\n0\r\n\r\n"),
    "a negative length": (OK, b"Content-Length: -4\r\n\r\nfull"),
    "a body shorter than its length": (OK, b"Content-Length: 9\r\n\r\nfull"),
    "chunks without an end": (OK, CHUNKED + b"4\r\nfull\r\n"),
    "a chunk that is cut": (OK, CHUNKED + b"9\r\nfull"),
    "a chunk longer than its size": (OK, CHUNKED + b"1\r\nfull\r\n0\r\n\r\n"),
    "a chunk size that is no number": (OK, CHUNKED + b"x\r\nfull\r\n0\r\n\r\n"),
}

# How a server ends its connection during an upload, after it has sent a part of an answer without a length. "close"
# resets the connection too, as bytes are unread; "close sending" ends the answer in an orderly way before that.
ENDS = ("reset", "reset later", "close", "close sending", "close sending later")
PART = b"id: 1\ndata: small 1\n\n"
# Larger than the buffers of a server, and the largest that the own interface takes.
UPLOAD = "a" * (3 << 20)
OWN_UPLOAD = "a" * ((1 << 20) - 100)


class BreakingServer(FaultyServer):
    """Answers in the form, or ends the connection in the way, that the request names. Its identity is correct.

    The own interface passes no fields on: if a request names no form, `form` applies.
    """

    form = None
    LOAD = json.dumps({"start": 7, "age_ms": 0, "running": 0, "queued": 0, "slots": 8, "warm": True, "leaving": False,
                       "versions": []}).encode()

    def serve(self, connection):
        with connection, connection.makefile("rb", buffering=0) as reader:
            if not reader.readline():
                return
            headers = http.client.parse_headers(reader)
            try:
                if "X-Attempt-Id" not in headers:
                    connection.sendall(OK + b"Content-Length: %d\r\n\r\n" % len(self.LOAD) + self.LOAD)
                    return
                self.answer(connection, reader, headers)
            except OSError:
                return

    def answer(self, connection, reader, headers):
        form, identity = headers.get("Test-Form", self.form), headers["X-Attempt-Id"]
        self.runs.append((identity, form))
        fields = f"X-Attempt-Id: {identity}\r\nX-Runner-Seal: s.1\r\nX-Confidence: 90\r\n".encode()
        if form in ENDS:
            connection.sendall(OK + fields + b"\r\n" + PART)
            self.end(connection, form)
            return
        left = int(headers.get("Content-Length", 0))
        while left > 0:
            left -= len(reader.read(left))
        status_line, rest = FORMS.get(form, (OK, BODY))
        connection.sendall(status_line + fields + rest)

    def end(self, connection, how):
        if how.startswith("close sending"):
            connection.shutdown(socket.SHUT_WR)
        if how.endswith("later"):
            time.sleep(0.2)
        if how.startswith("reset"):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class EndlessEventServer(BreakingServer):
    """Begins each answer soundly, and goes on with one event without an end, in chunks of some bytes."""

    PIECE = b"4\r\nabcd\r\n" * 400

    def answer(self, connection, reader, headers):
        identity = headers["X-Attempt-Id"]
        connection.sendall(OK + f"X-Attempt-Id: {identity}\r\nX-Runner-Seal: s.1\r\nX-Confidence: 90\r\n".encode() +
                           b"Content-Type: text/event-stream\r\n" + CHUNKED + b"6\r\ndata: \r\n")
        self.runs.append(identity)
        while True:
            connection.sendall(self.PIECE)


class WithEndlessEvents(GatewayCase):
    TIMEOUT_S = 0.8
    LATE_S = 0.5

    def configuration(self):
        read = super().configuration()
        for route in read["routes"]:
            if route["name"] == "unsafe":
                route["timeout_ms"] = int(1000 * self.TIMEOUT_S)
        return read

    # Guards against requests that get no answer in time as the VM scans an event without an end again with each chunk.
    def test_other_requests_are_answered_in_time_while_an_event_without_end_comes_in_small_chunks(self):
        endless = EndlessEventServer()
        self.addCleanup(endless.listener.close)
        for name in ("talk-1", "talk-2"):
            self.put_record("keyed.servers", name, None)
        self.servers["endless"] = {"backend": "talk", "address": endless.address, "zone": "hall-a", "version": "v1",
                                   "slots": 8, "cold_left_ms": 0}
        self.publish_server("endless", "ready")
        wait_until(lambda: "endless" in {line["server"] for line in self.log_lines("vm-1", "server_ready")},
                   "the faulty server to be known")
        streams = [BackgroundTask(lambda: self.fetch("stream", headers={"X-Deadline-Ms": "6000"})) for _ in range(4)]
        wait_until(lambda: len(endless.runs) >= len(streams), "the streams to begin")
        longest = 0.0
        for _ in range(40):
            began = time.monotonic()
            self.assertEqual(self.fetch("unsafe")[1], 200)
            longest = max(longest, time.monotonic() - began)
            time.sleep(0.05)
        for stream in streams:
            stream.wait()
        self.assertLess(longest, self.TIMEOUT_S + self.LATE_S)
        attempts = [line["attempts"] for line in self.log_lines("vm-1", "request_ended")]
        self.assertEqual(len([each for each in attempts if "an event has no end" in each]), len(streams))


class WithTransparentRequests(GatewayCase):
    """All servers break their answers."""

    def setUp(self):
        super().setUp()
        for name in list(self.servers):
            self.put_record("keyed.servers", name, None)
        self.broken = []
        for service in ("calls", "talk"):
            for number in (1, 2):
                server = BreakingServer()
                self.addCleanup(server.listener.close)
                self.broken.append(server)
                name = f"broken-{service}-{number}"
                self.servers[name] = {"backend": service, "address": server.address, "zone": "hall-a", "version": "v1",
                                      "slots": 8, "cold_left_ms": 0}
                self.publish_server(name, "ready")
        names = {name for name in self.servers if name.startswith("broken-")}
        wait_until(lambda: names <= {line["server"] for line in self.log_lines("vm-1", "server_ready")},
                   "the servers to be known")

    def check_no_answer(self, kind, form, **request):
        identity, status, headers, text = self.fetch(
            kind, headers={"Test-Form": form, "Connection": "close"}, **request)
        self.assertIn((identity, form), [run for server in self.broken for run in server.runs])
        self.assertTrue(status == 502 or text is None, (status, headers, (text or "")[:80]))
        self.assertNotIn("Retry-After", headers)

    # Guards against statuses, fields and bodies that are not the server's.
    def test_a_broken_answer_is_a_failure_or_a_visible_cut(self):
        for form in FORMS:
            for kind in ("unsafe", "safe", "stream", "letter"):
                with self.subTest(form=form, kind=kind):
                    self.check_no_answer(kind, form)

    # Guards against a part of an answer that a client takes for all of it.
    def test_an_answer_without_a_length_that_ends_during_the_upload_is_a_failure_or_a_visible_cut(self):
        for form in ENDS:
            for kind in ("unsafe", "letter", "stream"):
                for number in range(5):
                    with self.subTest(form=form, kind=kind, number=number):
                        self.check_no_answer(kind, form, body=UPLOAD)


class WithTheOwnInterface(unittest.TestCase):
    """The only server of a plain service breaks its answers."""

    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        self.fleet.start_one_zone("vm-1")
        self.server = BreakingServer()
        self.addCleanup(self.server.listener.close)
        self.fleet.vms = [vm for vm in self.fleet.vms if vm["kind"] != "plain"]
        self.fleet.add_to_vm_list("kovacic", "centre", "broken-1", "plain", "http://" + self.server.address,
                                  service="narudzbe")
        self.server.form = "valid"
        wait_until(self.is_only_server_known, "the server to be known")
        wait_until(lambda: self.call("book").status == 200, "the server to answer")

    def is_only_server_known(self):
        return {server["name"] for server in self.fleet.status("vm-1")["servers"]} == {
            "kovacic/engine-1", "kovacic/broken-1"}

    def call(self, method, **body):
        return self.fleet.service("vm-1", "narudzbe/" + method, body, idempotency_key=new_key())

    def check_no_answer(self, form, **body):
        self.server.form = form
        for method in ("book", "look_up"):
            with self.subTest(form=form, method=method):
                before = len(self.server.runs)
                answer = self.call(method, **body)
                self.assertGreater(len(self.server.runs), before)
                self.assertEqual(answer.status, 502, answer.body[:80])
                self.assertEqual(answer.error()["ran"], "outcome_unknown")

    # Guards against statuses, fields and bodies that are not the server's.
    def test_a_broken_answer_is_a_failure(self):
        for form in FORMS:
            self.check_no_answer(form)

    # Guards against a part of an answer that a client takes for all of it.
    def test_an_answer_without_a_length_that_ends_during_the_upload_is_a_failure(self):
        for form in ENDS:
            self.check_no_answer(form, order=OWN_UPLOAD)


if __name__ == "__main__":
    unittest.main()
