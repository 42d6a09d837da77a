"""Starts and ends processes, and makes HTTP calls to them."""

import http.client
import json
import os
import signal
import subprocess
import threading
import time


class Process:
    """A started program; its output goes to a log file in the run's folder."""

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

    def send_signal(self, signal_number):
        """Sends a signal to this process only."""
        if self.running():
            os.kill(self.child.pid, signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.child.wait()

    def pause(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def stop(self, timeout_s=60):
        """Sends SIGTERM and returns the exit code, or None if the process had to be killed after the time-out."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def read_ports(self):
        """Waits for the port file of the process and returns its content."""
        path = self.port_file
        wait_until(lambda: self._has_ports() or not self.running(), "the start of " + self.name)
        if not self._has_ports():
            raise RuntimeError(self.name + " ended during its start:\n" + self.read_log())
        with open(path, encoding="utf-8") as file:
            return json.load(file)

    def _has_ports(self):
        """Returns whether the port file exists and is complete: its line could be partly written."""
        if not os.path.exists(self.port_file):
            return False
        with open(self.port_file, encoding="utf-8") as file:
            return file.read().endswith("\n")

    def read_log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


def wait_until(condition, description, timeout_s=60.0):
    """Waits for a condition. The time-out is long enough that only a faulty program reaches it."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("timed out waiting for " + description)
        time.sleep(0.02)


class BackgroundTask:
    """Runs a function on a thread, such as a call that waits for its answer."""

    def __init__(self, work):
        self.result = None
        self.problem = None
        self.thread = threading.Thread(target=self._run, args=(work,), daemon=True)
        self.thread.start()

    def _run(self, work):
        try:
            self.result = work()
        except Exception as problem:  # Callers read it from self.problem.
            self.problem = problem

    def wait(self):
        """Waits for the end and returns the result, or None if the function raised an exception."""
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


def http_call(address, method, path, body=None, headers=None, timeout=60):
    """Makes one HTTP call. Raises OSError or HTTPException if the connection fails."""
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
