"""Measures the cost of the control traffic of real daemons, by the number of nodes: traffic by kind of message,
processor time and memory."""

import argparse
import csv
import os
import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from harness.fleet import Fleet, two_fleets_operations
from harness.processes import http_call

ZONES = ("centre", "north")
KIND_NAMES = {
    1: "probe",
    2: "probe_ack",
    3: "probe_request",
    4: "member_leaving",
    5: "zone_summary",
    10: "config_pull",
    11: "config_state",
    20: "permit_request",
    21: "permit_grant",
    22: "permit_release",
    23: "server_report",
    30: "claim_request",
    31: "claim_verdict",
    32: "usage_hold",
    33: "usage_held",
    34: "usage_release",
    50: "version_counts",
    51: "quarantine_notice",
}
COLUMNS = [
    "phase",
    "nodes",
    "listed",
    "kind",
    "events_per_s",
    "mean_messages_per_s",
    "mean_bytes_per_s",
    "busiest_bytes_per_s",
    "mean_cpu_percent",
    "busiest_cpu_percent",
    "mean_rss_kib",
    "mean_anonymous_kib",
    "load_average",
]
SAMPLE = re.compile(r'^agatespar_peer_(bytes|frames)_(?:sent|received)_total\{kind="(\d+)"\} (\S+)$')
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def read_processor_seconds(pid):
    """Returns the processor time (user and system) of a process since its start, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_memory(pid):
    """Returns the resident and the anonymous resident memory in KiB; the latter excludes files such as libraries."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        values = dict(line.split(":", 1) for line in file)
    return int(values["VmRSS"].split()[0]), int(values["RssAnon"].split()[0])


class Reading:
    """Traffic, processor time and memory of one daemon at one time."""

    def __init__(self, fleet, name):
        self.taken_at = time.monotonic()
        process = fleet.daemons[name]
        self.pid = process.pid
        self.processor = read_processor_seconds(process.pid)
        self.resident, self.anonymous = read_memory(process.pid)
        self.totals = {}
        for line in http_call(fleet.http[name], "GET", "/metrics").body.splitlines():
            sample = SAMPLE.match(line)
            if sample:
                key = (int(sample.group(2)), sample.group(1))
                self.totals[key] = self.totals.get(key, 0) + float(sample.group(3))


def read_all(fleet):
    return {name: Reading(fleet, name) for name in list(fleet.daemons)}


def mean(values):
    return sum(values) / len(values) if values else 0.0


def rows_between(phase, fleet, before, after, events):
    """Returns a row for each kind of message and one for all kinds, over the daemons that ran for the whole phase."""
    names = [name for name in before if name in after and before[name].pid == after[name].pid]
    rates = []
    for name in names:
        seconds = after[name].taken_at - before[name].taken_at
        totals = after[name].totals
        rates.append({key: (totals[key] - before[name].totals.get(key, 0)) / seconds for key in totals})
    elapsed = max(after[name].taken_at - before[name].taken_at for name in names)
    base = {
        "phase": phase,
        "nodes": len(fleet.daemons),
        "listed": len(fleet.vms),
        "events_per_s": f"{events / elapsed:.4f}",
    }
    rows = []
    for kind in sorted({key[0] for rate in rates for key in rate}):
        volume = [rate.get((kind, "bytes"), 0) for rate in rates]
        frames = [rate.get((kind, "frames"), 0) for rate in rates]
        rows.append(make_row(base, KIND_NAMES.get(kind, str(kind)), frames, volume))
    volume = [sum(value for key, value in rate.items() if key[1] == "bytes") for rate in rates]
    frames = [sum(value for key, value in rate.items() if key[1] == "frames") for rate in rates]
    row = make_row(base, "all", frames, volume)
    shares = []
    for name in names:
        seconds = after[name].taken_at - before[name].taken_at
        shares.append(100 * (after[name].processor - before[name].processor) / seconds)
    row["mean_cpu_percent"] = f"{mean(shares):.3f}"
    row["busiest_cpu_percent"] = f"{max(shares):.3f}"
    row["mean_rss_kib"] = f"{mean([after[name].resident for name in names]):.0f}"
    row["mean_anonymous_kib"] = f"{mean([after[name].anonymous for name in names]):.0f}"
    row["load_average"] = f"{os.getloadavg()[0]:.1f}"
    return rows + [row]


def make_row(base, kind, frames, volume):
    row = dict.fromkeys(COLUMNS, "")
    row.update(base)
    row["kind"] = kind
    row["mean_messages_per_s"] = f"{mean(frames):.3f}"
    row["mean_bytes_per_s"] = f"{mean(volume):.1f}"
    row["busiest_bytes_per_s"] = f"{max(volume):.1f}"
    return row


def start_fleet(fleet, nodes):
    """Starts two zones, each with half of the nodes and two engines."""
    fleet.start_platform()
    for zone in ZONES:
        for number in (1, 2):
            fleet.start_engine("kovacic", zone, f"{zone}-{number}", "small@1")
    for number in range(nodes):
        fleet.start_daemon("kovacic", ZONES[number % len(ZONES)], f"vm-{number}")
    code, output = fleet.patch(two_fleets_operations(), 0)
    if code != 0:
        raise RuntimeError(output)
    fleet.wait_ready()
    fleet.wait_config(1)


def stay_idle(_fleet, seconds):
    time.sleep(seconds)
    return 0


class ConfigurationChanges:
    """Changes the configuration at a rate that is many times that of the design."""

    def __init__(self, per_day):
        self.pause = 86400.0 / per_day
        self.number = 1

    def change(self, fleet):
        operation = {
            "op": "put_class",
            "fleet": "kovacic",
            "class": "lookup",
            "deadline_ms": 20000 + self.number,
            "priority": 3,
        }
        code, output = fleet.patch([operation], self.number)
        if code != 0:
            raise RuntimeError(output)
        self.number += 1

    def run(self, fleet, seconds):
        end = time.monotonic() + seconds
        before = self.number
        while time.monotonic() < end:
            due = time.monotonic() + self.pause
            self.change(fleet)
            time.sleep(max(0.0, min(due, end) - time.monotonic()))
        return self.number - before

    def longest_propagation(self, fleet, rounds=5):
        """Returns the longest time from an accepted change until every daemon reports it, in seconds. It includes the
        time to query all daemons."""
        longest = 0.0
        for _ in range(rounds):
            self.change(fleet)
            accepted = time.monotonic()
            fleet.wait_config(self.number)
            longest = max(longest, time.monotonic() - accepted)
        return longest


class Replacements:
    """Repeatedly kills a daemon and starts another in its place."""

    def __init__(self, pause):
        self.pause = pause
        self.started = 0

    def run(self, fleet, seconds):
        end = time.monotonic() + seconds
        before = self.started
        while time.monotonic() < end:
            due = time.monotonic() + self.pause
            name = next(iter(fleet.daemons))
            zone = next(entry["zone"] for entry in fleet.vms if entry["name"] == name)
            fleet.processes[name].kill()
            fleet.remove_from_vm_list(name)
            self.started += 1
            fleet.start_daemon("kovacic", zone, f"vm-new-{self.started}")
            time.sleep(max(0.0, min(due, end) - time.monotonic()))
        return self.started - before


def extend_vm_list(fleet, entries):
    """Adds servers of a fleet that no daemon here belongs to, so that nothing but the list grows.

    @return the size of the list in bytes.
    """
    for number in range(entries):
        fleet.vms.append(
            {
                "name": f"far-engine-{number}",
                "kind": "engine",
                "fleet": "colombes",
                "zone": "centre",
                "region": "home",
                "address": "http://127.0.0.1:9",
                "service": "",
                "state": "live",
                "cold_slots": 2,
                "slots": 8,
                "fences": False,
            }
        )
    fleet.publish_vms()
    text = http_call(fleet.platform["vms"], "GET", "/v1/vms").body
    return len(text)


def stream_answer(fleet, prompt, refused):
    """Sends one streamed request to the first daemon; retries it while it is refused as not run.

    @param refused a list to which the reasons of refusals are appended. @return the number of events of the answer.
    """
    answer = fleet.chat(next(iter(fleet.daemons)), prompt, stream=True)
    while answer.status == 503 and answer.error()["ran"] == "not_run":
        refused.append(answer.error()["message"])
        time.sleep(1)
        answer = fleet.chat(next(iter(fleet.daemons)), prompt, stream=True)
    if answer.status != 200 or not answer.body.rstrip().endswith("data: [DONE]"):
        raise RuntimeError(f"a request was answered with {answer.status}: {answer.body[:200]}")
    return answer.body.count("data: ") - 1


def measure_requests(fleet, count):
    """Prints the processor time per request and per streamed event, computed from two batches of different lengths.

    @return the number of requests that were answered.
    """
    refused = []

    def send(prompt):
        return stream_answer(fleet, prompt, refused)

    with ThreadPoolExecutor(4) as pool:
        prompts = [f"How many feathers has dove {number}?" for number in range(40)]
        prompts.sort(key=dict(zip(prompts, pool.map(send, prompts))).get)
        batches = []
        for chosen in (prompts[:8], prompts[-8:]):
            pid = fleet.daemons[next(iter(fleet.daemons))].pid
            before = read_processor_seconds(pid)
            started = time.monotonic()
            texts = [chosen[number % len(chosen)] for number in range(count)]
            events = sum(pool.map(send, texts))
            batches.append((events / count, (read_processor_seconds(pid) - before) / count))
            print(
                f"{count} streamed requests of {events / count:.1f} events in {time.monotonic() - started:.1f} s: "
                f"{1000 * batches[-1][1]:.3f} ms of processor time each, load {os.getloadavg()[0]:.1f}",
                flush=True,
            )
    (few, small), (many, large) = batches
    per_event = (large - small) / (many - few)
    print(f"{1e6 * (small - few * per_event):.0f} us a request and {1e6 * per_event:.1f} us an event", flush=True)
    print(f"{len(refused)} requests were refused as not run and sent again: {sorted(set(refused))}", flush=True)
    return 2 * count + len(prompts)


def measure(phase, fleet, action, seconds):
    before = read_all(fleet)
    events = action(fleet, seconds)
    rows = rows_between(phase, fleet, before, read_all(fleet), events)
    total = rows[-1]
    print(
        f"{phase:9} {total['nodes']:4} nodes, {total['listed']:5} listed, {total['events_per_s']} events/s: "
        f"{total['mean_messages_per_s']} messages/s, "
        f"{total['mean_bytes_per_s']} B/s mean, {total['busiest_bytes_per_s']} B/s busiest, "
        f"{total['mean_cpu_percent']}% of a core, {total['mean_rss_kib']} KiB resident, "
        f"{total['mean_anonymous_kib']} KiB anonymous, load {total['load_average']}",
        flush=True,
    )
    return rows


def measure_size(nodes, options):
    with Fleet(options.build) as fleet:
        start_fleet(fleet, nodes)
        time.sleep(options.settle)
        changes = ConfigurationChanges(options.changes_per_day)
        rows = measure("idle", fleet, stay_idle, options.seconds)
        rows += measure("changes", fleet, changes.run, options.seconds)
        print(f"spread    {nodes:4} nodes: slowest of 5 changes {changes.longest_propagation(fleet):.3f} s", flush=True)
        if options.requests:
            fleet.wait_servers(next(iter(fleet.daemons)), 2)
            rows += measure("requests", fleet, lambda fleet, _: measure_requests(fleet, options.requests), 0)
        if options.deaths:
            rows += measure("deaths", fleet, Replacements(options.death_pause).run, options.seconds)
        if options.long_list:
            size = extend_vm_list(fleet, options.long_list)
            print(f"the VM list has {len(fleet.vms)} entries in {size} bytes", flush=True)
            rows += measure("list", fleet, stay_idle, options.seconds)
    return rows


def fit_line(points):
    """Fits a line by least squares. @return its value at 0 and its slope."""
    center_x = mean([x for x, _ in points])
    center_y = mean([y for _, y in points])
    variation = sum((x - center_x) ** 2 for x, _ in points)
    slope = sum((x - center_x) * (y - center_y) for x, y in points) / variation if variation else 0.0
    return center_y - slope * center_x, slope


def print_fits(rows):
    """Fits a line to the smaller sizes, and prints its prediction for the largest size and the measured value."""
    sizes = sorted({int(row["nodes"]) for row in rows})
    if len(sizes) < 3:
        return
    print(f"{'phase':9} {'kind':16} {'B/s at 0':>10} {'per node':>10} {'predicted':>10} {'measured':>10}")
    for phase, kind in sorted({(row["phase"], row["kind"]) for row in rows}):
        chosen = [row for row in rows if (row["phase"], row["kind"]) == (phase, kind)]
        points = [(int(row["nodes"]), float(row["mean_bytes_per_s"])) for row in chosen]
        smaller = [point for point in points if point[0] != sizes[-1]]
        largest = [point for point in points if point[0] == sizes[-1]]
        if len(smaller) < 2 or not largest:
            continue
        start, slope = fit_line(smaller)
        predicted = start + slope * sizes[-1]
        print(f"{phase:9} {kind:16} {start:10.1f} {slope:10.3f} {predicted:10.1f} {largest[0][1]:10.1f}")


def write_rows(path, rows):
    with open(path, "w", encoding="utf-8", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS, lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def write_plot(csv_path, plot_path, rows):
    phases = [phase for phase in ("idle", "changes", "deaths") if any(row["phase"] == phase for row in rows)]
    lines = []
    for phase in phases:
        data = f'(strcol(1) eq "{phase}" && strcol(4) eq "all" ? $8 : NaN)'
        lines.append(f'"{csv_path}" using 2:{data} with linespoints title "{phase}"')
    script = (
        'set datafile separator ","; set terminal svg size 720,420 background "white"; '
        f'set output "{plot_path}"; set xlabel "nodes"; set ylabel "control B/s of the busiest node"; '
        "set yrange [0:*]; set key left top; plot " + ", ".join(lines)
    )
    subprocess.run(["gnuplot", "-e", script], check=True)


def main():
    parser = argparse.ArgumentParser(prog="scale", description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--nodes", default="8,24,64", help="the sizes, separated by commas")
    parser.add_argument("--seconds", type=float, default=20.0, help="the length of a phase")
    parser.add_argument("--settle", type=float, default=10.0, help="seconds between the start and the first phase")
    parser.add_argument("--changes-per-day", type=float, default=74000.0)
    parser.add_argument("--deaths", action="store_true", help="also run a phase that kills and replaces daemons")
    parser.add_argument("--death-pause", type=float, default=5.0, help="seconds between two killed daemons")
    parser.add_argument("--requests", type=int, default=0, help="number of streamed requests to one daemon, sent twice")
    parser.add_argument("--long-list", type=int, default=0, help="number of entries that a last phase adds to the list")
    parser.add_argument("--csv", default="", help="file for the rows")
    parser.add_argument("--plot", default="", help="file for an SVG plot of the rows")
    options = parser.parse_args()
    rows = []
    for nodes in [int(text) for text in options.nodes.split(",")]:
        rows += measure_size(nodes, options)
        if options.csv:
            write_rows(options.csv, rows)
    print_fits(rows)
    if options.csv and options.plot:
        write_plot(options.csv, options.plot, rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
