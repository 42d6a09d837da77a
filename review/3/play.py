"""A client sends an order whose body holds the text of another request, and names a transfer encoding for it.

The last encoding isn't `chunked`, so the head doesn't tell where the body ends (RFC 9112, section 6.3: 400, and close).
Without the disruption, the same body comes with its length.
"""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import lab

ENCODINGS = ("identity", "gzip", "chunked, identity")
ROUNDS = 5


def play(bench, trouble):
    ran = []  # id and body of what the runners ran

    def script(runner, connection, line, headers, body):
        ran.append((headers.get("x-attempt-id"), body))
        time.sleep(0.005)
        connection.sendall(lab.answer_bytes(headers, body=b"booked"))

    for number in range(4):
        bench.publish(lab.Runner("i-%d" % number, "orders", script, slots=6))
    route = {"route_type": "unsafe", "backend": "orders", "attempts": 1, "timeout_ms": 800, "goal_ms": 100}
    bench.store.put("keyed.op", "config", lab.configuration(1, {"book": route}, {"orders": {}}))
    front = bench.start_entry("edge-osijek-a-1", "127.0.14.1")
    host, port = front.split(":")
    sent = {}
    for turn in range(ROUNDS):
        for encoding in ENCODINGS:
            identity = "order-%d-%s" % (turn, encoding.replace(", ", "-"))
            body = lab.request_head("inside-" + identity, "/book/x", body=b"a deposit that nobody ordered")
            framing = {"Transfer_Encoding": encoding} if trouble else {}
            message = lab.request_head(identity, "/book/x", body=body, **framing)
            if trouble:
                message = message.replace(b"Content-Length: %d\r\n" % len(body), b"", 1)
            sent[identity] = body
            with socket.create_connection((host, int(port)), timeout=2) as client:
                client.sendall(message)
                client.settimeout(0.5)
                received = b""
                try:
                    while part := client.recv(65536):
                        received += part
                except OSError:
                    pass
            answers = [line.decode() for line in received.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]
            bench.note("%s with %s: answers %s" % (identity, encoding if trouble else "a length", answers))
    broken = []
    for identity, body in ran:
        bench.note("ran: %s with a body of %d bytes" % (identity, len(body)))
        if identity not in sent:
            broken.append("UNASKED: a runner ran %s, which no client sent" % identity)
        elif body != sent[identity]:
            broken.append("UNASKED: a runner ran %s with a body of %d bytes in place of %d"
                          % (identity, len(body), len(sent[identity])))
    return broken


if __name__ == "__main__":
    sys.exit(lab.main(os.path.dirname(os.path.abspath(__file__)), play))
