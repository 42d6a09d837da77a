"""Processes that a run starts and ends, and the HTTP calls to them."""

import http.client
import json
import os
import signal
import subprocess
import threading
import time


class Process:
    """One started program; its log goes to a file in the run's folder."""

    def __init__(self, name, arguments, folder, environment=None):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(folder, name + ".log")
        self.port_file = os.path.join(folder, name + ".port")
        full_environment = dict(os.environ, **(environment or {}))
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=full_environment
            )

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def send(self, number):
        """Sends a signal to this process only."""
        if self.running():
            os.kill(self.child.pid, number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def pause(self):
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)

    def stop(self, patience=60):
        """Asks the process to end and returns its exit code."""
        self.send(signal.SIGTERM)
        try:
            return self.child.wait(patience)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def read_ports(self):
        """Returns what the process wrote to its port file, once it has started."""
        path = self.port_file
        wait_until(lambda: self._has_ports() or not self.running(), "the start of " + self.name)
        if not self._has_ports():
            raise RuntimeError(self.name + " ended at the start:\n" + self.read_log())
        with open(path, encoding="utf-8") as file:
            return json.load(file)

    def _has_ports(self):
        """Whether the port file is there and whole: its line may be half written."""
        if not os.path.exists(self.port_file):
            return False
        with open(self.port_file, encoding="utf-8") as file:
            return file.read().endswith("\n")

    def read_log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


def wait_until(condition, what, patience=60.0):
    """Waits for a condition. Only a broken program runs out of patience; no verdict depends on how long it takes."""
    deadline = time.monotonic() + patience
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("waited in vain for " + what)
        time.sleep(0.02)


class Background:
    """Work on a thread of its own, such as a caller that waits for its answer."""

    def __init__(self, work):
        self.result = None
        self.problem = None
        self.thread = threading.Thread(target=self._run, args=(work,), daemon=True)
        self.thread.start()

    def _run(self, work):
        try:
            self.result = work()
        except Exception as problem:  # The caller reads what went wrong.
            self.problem = problem

    def wait(self):
        """Waits for the end and returns the result, or None if the work raised its problem."""
        self.thread.join()
        return self.result


class Answer:
    """An HTTP answer."""

    def __init__(self, status, headers, body, complete=True):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    def json(self):
        return json.loads(self.body)

    def error(self):
        return self.json()["error"]


def call(address, method, path, body=None, headers=None, timeout=60):
    """Makes one HTTP call. A connection that breaks raises OSError or HTTPException."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        all_headers = dict(headers or {})
        if data is not None:
            all_headers.setdefault("Content-Type", "application/json")
        connection.request(method, path, data, all_headers)
        response = connection.getresponse()
        text = response.read().decode("utf-8", errors="replace")
        return Answer(response.status, dict(response.getheaders()), text)
    finally:
        connection.close()
