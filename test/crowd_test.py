"""Many clients and servers that nobody controls: a process stays within the memory and descriptors of its VM.

The checks do not depend on the speed of the machine: the process lives, its peak resident memory and its open
descriptors stay under the settings' limits, and an ordinary request is answered afterwards.
"""

import os
import socket
import threading
import time
import unittest

from gateway_test import GatewayCase, KEY, service_map
from harness.processes import wait_until

CLIENTS = 60
# The smallest VM that the operators use.
MEMORY_MB = 112
MAX_FDS = 2870
# The operators' limit on bodies.
BODY_BYTES = 4 * 1024 * 1024
ANSWER_BYTES = 8_000_000
# A client that makes no progress for this long keeps its connection open and sends nothing more.
SEND_TIMEOUT_S = 5
SETTLING_S = 3


def chunked(data, chunk_bytes):
    """Returns the data in chunks of the given size, without the last chunk."""
    whole, rest = divmod(len(data), chunk_bytes)
    size = f"{chunk_bytes:x}\r\n".encode()
    pieces = [size + data[:chunk_bytes] + b"\r\n"] * whole
    if rest:
        pieces.append(f"{rest:x}\r\n".encode() + data[:rest] + b"\r\n")
    return b"".join(pieces)


class UnreadServer:
    """A server that accepts connections and reads nothing from them."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=CLIENTS)
        self.accepted = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted.append(connection)

    def close(self):
        self.listener.close()
        for connection in self.accepted:
            connection.close()


class CrowdCase(GatewayCase):
    max_fds = MAX_FDS

    def setUp(self):
        super().setUp()
        # The crowd's unfinished requests must not end by the time limit on requests alone.
        configuration = service_map(2)
        configuration["limits"] = {"header_timeout_ms": 60000, "idle_timeout_ms": 60000, "max_body_bytes": BODY_BYTES}
        self.put_record("keyed.op", "config", configuration)
        wait_until(lambda: len(self.log_lines("vm-1", "configuration_in_force")) == 2, "the limits to be applied")
        self.connections = []
        self.addCleanup(self.close_connections)

    def write_settings(self, name, written_at=None, **bounds):
        path, fields = self.settings[name]
        fields["limits"] = {"memory_mb": MEMORY_MB, "max_fds": self.max_fds}
        super().write_settings(name, written_at, **bounds)

    def close_connections(self):
        for connection in self.connections:
            connection.close()

    def connect(self):
        host, port = self.entry["front"].split(":")
        connection = socket.create_connection((host, int(port)), timeout=SEND_TIMEOUT_S)
        self.connections.append(connection)
        return connection

    def request_head(self, kind, *fields):
        method = "GET" if kind == "safe" else "POST"
        lines = [f"{method} /{kind}/a HTTP/1.1", "Host: one.example", f"X-Attempt-Id: crowd-{next(self.sent)}",
                 "X-Deadline-Ms: 20000", "Authorization: Bearer " + KEY, *fields]
        if kind == "stream":
            lines += ["X-Model: *", "X-Token-Count: 900,60", "X-Prompt-Prefix: aa:500,bb:300,cc:100"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def send_from_crowd(self, messages):
        """Sends each message on a connection of its own, all at the same time, and leaves the connections open."""

        def send(message):
            try:
                self.connect().sendall(message)
            except OSError:
                # The client was refused or let go, which is allowed.
                pass

        threads = [threading.Thread(target=send, args=(message,)) for message in messages]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send_bodies(self, body, *fields):
        self.send_from_crowd([self.request_head("booking", *fields) + body for _ in range(CLIENTS)])

    def process_status(self, field):
        with open(f"/proc/{self.entry['process'].pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith(field + ":"))

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.entry['process'].pid}/fd"))

    def check_process(self, ordinary="safe"):
        """Checks the process. ordinary: the kind of a request whose servers are not part of the crowd."""
        # Until then, the servers have sent the answers that the crowd has requested.
        time.sleep(SETTLING_S)
        self.assertTrue(self.entry["process"].running(), "the process has ended")
        self.assertLessEqual(self.open_descriptors(), self.max_fds)
        wait_until(lambda: self.fetch(ordinary)[1] == 200, "an ordinary request to be answered")
        self.assertTrue(self.entry["process"].running(), "the process has ended")
        self.assertLessEqual(self.process_status("VmHWM") / 1024, MEMORY_MB)


class WithManyBodies(CrowdCase):
    """Guards against bodies of requests that together exceed the memory of the VM."""

    def test_a_single_request_of_the_largest_size_is_served(self):
        identity, status, _, text = self.fetch("booking", body="b" * BODY_BYTES)
        self.assertEqual(status, 200)
        self.assertEqual(text, "POST /booking/a/b " + "b" * BODY_BYTES)
        self.check_process()

    def test_bodies_with_a_length_that_stop_before_their_end(self):
        self.send_bodies(b"b" * (BODY_BYTES - 3), f"Content-Length: {BODY_BYTES}")
        self.check_process()

    def test_chunked_bodies_that_stop_before_their_end(self):
        self.send_bodies(chunked(b"b" * (BODY_BYTES - 3), 64 * 1024), "Transfer-Encoding: chunked")
        self.check_process()

    def test_bodies_in_chunks_of_one_byte_that_stop_before_their_end(self):
        self.send_bodies(chunked(b"b" * 100_000, 1), "Transfer-Encoding: chunked")
        self.check_process()

    def test_complete_bodies_beside_a_slow_service(self):
        self.set_service_faults("calls", late_ms=3000)
        self.send_bodies(b"b" * BODY_BYTES, f"Content-Length: {BODY_BYTES}")
        self.set_service_faults("calls", late_ms=0)
        self.check_process()

    def test_complete_chunked_bodies_beside_a_slow_service(self):
        self.set_service_faults("calls", late_ms=3000)
        self.send_bodies(chunked(b"b" * BODY_BYTES, 64 * 1024) + b"0\r\n\r\n", "Transfer-Encoding: chunked")
        self.set_service_faults("calls", late_ms=0)
        self.check_process()

    def test_chunked_bodies_that_go_on_beyond_the_limit(self):
        self.send_bodies(chunked(b"b" * (2 * BODY_BYTES), 64 * 1024), "Transfer-Encoding: chunked")
        self.check_process()

    def test_a_length_far_over_the_limit(self):
        self.send_bodies(b"b" * BODY_BYTES, f"Content-Length: {4 << 30}")
        self.check_process()


class WithPeersThatDoNotRead(CrowdCase):
    """Guards against unread answers and unread bodies that together exceed the memory of the VM."""

    def request_unread_answers(self, kind):
        self.send_from_crowd([self.request_head(kind, "Content-Length: 0") for _ in range(CLIENTS)])

    def use_unread_server(self):
        server = UnreadServer()
        self.addCleanup(server.close)
        for name in ("calls-1", "calls-2"):
            self.publish_server(name, "draining")
        self.servers["calls-3"] = {**self.servers["calls-1"],
                                   "address": "127.0.0.1:%d" % server.listener.getsockname()[1]}
        self.publish_server("calls-3", "ready")
        wait_until(lambda: any(line["server"] == "calls-3" for line in self.log_lines("vm-1", "server_ready")),
                   "the server to be known")
        # Its counters can't be read.
        del self.servers["calls-3"]

    def test_clients_that_do_not_read_their_answers(self):
        self.set_service_faults("calls", answer_bytes=ANSWER_BYTES)
        self.request_unread_answers("safe")
        self.check_process("stream")

    def test_clients_that_do_not_read_their_streams(self):
        self.set_service_faults("talk", events=40, padding=500_000)
        self.request_unread_answers("stream")
        self.check_process()

    def test_a_server_that_does_not_read_bodies(self):
        self.use_unread_server()
        self.send_bodies(b"b" * BODY_BYTES, f"Content-Length: {BODY_BYTES}")
        self.check_process("stream")

    def test_clients_that_do_not_read_beside_a_server_that_does_not_read(self):
        self.set_service_faults("calls", answer_bytes=ANSWER_BYTES)
        self.request_unread_answers("safe")
        self.use_unread_server()
        self.send_bodies(b"b" * BODY_BYTES, f"Content-Length: {BODY_BYTES}")
        self.check_process("stream")


class WithManyConnections(CrowdCase):
    """Guards against clients that use up the descriptors, so that no other client and no server can be reached."""

    max_fds = 400

    def test_connections_without_a_request(self):
        self.send_from_crowd([b""] * self.max_fds)
        self.check_process()

    def test_connections_with_an_incomplete_head(self):
        self.send_from_crowd([b"POST /booking/a HTTP/1.1\r\nHost: one.example\r\nX-Padding: " + b"p" * 14_000]
                             * self.max_fds)
        self.check_process()


if __name__ == "__main__":
    unittest.main()
