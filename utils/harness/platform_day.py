"""Computes where a day on the users' platform lost worth, and an upper bound of the worth that it could have had.

Reads a report of `fleetbench run --report` and the site file of its deployment. The bound assumes that every request
runs on the smallest model that answers it well, that shared parts of prompts are read only once, and that no server is
idle while requests wait. It does not account for unavailable servers, so it is too high for days with failures.

Each kind of request has a worth, and another worth if it is answered late. Requests that the report counts as
`not_owed` are left out; the others are owed. Credit is the worth of the answers as a fraction of the worth of all owed
requests. The bound, which is compared with the worth of the day that the report states (`G`), is the highest possible
credit minus the least cost of models and the prices that do not depend on the router.
"""

import json
import tomllib

WINDOW_SECONDS = 2.0
# Cost of a token that is read, relative to one that is generated (PROTOCOL.md, Requests).
READ_TOKEN_WEIGHT = 0.25
# Prices that do not depend on the router.
FIXED_PRICES = ("machine-seconds",)


class Kind:
    """One kind of request: its load on servers, and its worth."""

    def __init__(self, fields, models, servers):
        self.name = fields["name"]
        self.worth = float(fields["worth"])
        self.late_worth = float(fields["late_worth"])
        stream = fields.get("stream", {})
        self.own_tokens = float(stream.get("prompt_tokens", {}).get("mean", 0))
        self.service = servers[fields["service"]]
        llm = self.service.get("llm", {})
        self.generated = float(stream.get("pieces", {}).get("mean", 0)) * float(llm.get("stride", 1))
        self.models = [models[number] for number in stream.get("sizes", ())] if models else []
        # Share of requests whose runs all fail, independently of the router.
        self.lost_share = float(fields.get("error_share", 0)) ** int(fields.get("attempts", 1))

    def best_mix(self):
        """Yields each model with the share of requests that it answers well and no model of lower quality does."""
        covered_share = 0.0
        for model in sorted(self.models, key=lambda model: model["quality"]):
            yield model, max(0.0, model["quality"] - covered_share)
            covered_share = max(covered_share, model["quality"])

    def model_cost(self):
        """Returns the minimum cost of models per request: its own part of the prompt and its answer count once."""
        tokens = self.own_tokens * READ_TOKEN_WEIGHT + self.generated
        return sum(share * model["cost"] * tokens / 1000 for model, share in self.best_mix())

    def server_seconds(self):
        """Returns the minimum time of one server that a request takes, which it has in a full batch, in seconds."""
        llm = self.service.get("llm")
        if not llm:
            return 0.0
        batch = float(llm["batch"])
        reading = self.own_tokens / float(llm["prefill_tokens_per_ms"])
        step = float(llm["step_ms"]) + float(llm.get("step_ms_per_slot", 0)) * batch
        pace = sum(share * float(model["pace"]) for model, share in self.best_mix()) if self.models else 1.0
        return pace * (reading + self.generated * step / batch) / 1000


def read_site(path):
    with open(path, "rb") as file:
        site = tomllib.load(file)
    servers = {service["name"]: service for service in site["services"]}
    return [Kind(fields, site.get("models", []), servers) for fields in site["classes"]], servers


def count_servers(service):
    return sum(int(group["count"]) for group in service["servers"])


def lost_by_kind(report, kinds):
    """Returns a row for each kind with its lost worth, by reason, as fractions of the worth of all owed requests."""
    by_name = {row["name"]: row for row in report["classes"]}
    owed_worth = sum((by_name[kind.name]["n"] - by_name[kind.name]["not_owed"]) * kind.worth for kind in kinds)
    rows = []
    for kind in kinds:
        row = by_name[kind.name]
        owed = row["n"] - row["not_owed"]
        lost = {
            "late": row["late"] * (kind.worth - kind.late_worth),
            "refused": row["refused"] * kind.worth,
            "failed": row["failed"] * kind.worth,
        }
        # The remaining loss: poor answers, and requests whose worth differs because of their size.
        lost["poor answers and sizes"] = owed * kind.worth * (1 - row["worth"]) - sum(lost.values())
        rows.append({"kind": kind.name, "owed": owed, "worth": row["worth"],
                     "lost": {reason: value / owed_worth for reason, value in lost.items()}})
    return rows


def available_seconds(service):
    """Returns the time that all servers of a service together have in a window, in seconds."""
    return count_servers(service) * WINDOW_SECONDS


def required_seconds(report, kinds, requests):
    """Returns the time of servers that a number of requests of the day's mix requires, by kind, in seconds."""
    counts = {row["name"]: row["n"] for row in report["classes"]}
    share = requests / sum(counts.values())
    return {kind: counts[kind.name] * share * kind.server_seconds() for kind in kinds}


def windows_with_utilization(report, kinds, servers):
    """Returns a row for each window with its worth and its utilization: the time that its requests require of a
    service, as a fraction of the time of the service's servers, for the service where it is highest."""
    rows = []
    for window in report["windows"]:
        work = required_seconds(report, kinds, window["n"])
        use = max(sum(work[kind] for kind in kinds if kind.service is service) / available_seconds(service)
                  for service in servers.values())
        begin = float(window["name"])
        events = [event["kind"] for event in report["events"]
                  if event["at_s"] < begin + WINDOW_SECONDS and event["to_s"] > begin]
        rows.append({"second": begin, "requests": window["n"], "worth": window["worth"], "use": use, "events": events})
    return rows


def min_late_loss(report, kinds, servers, window):
    """Returns the minimum worth that a window loses: work beyond the time of its servers is late. Kinds that lose the
    least worth per second are late first."""
    work = required_seconds(report, kinds, window["requests"])
    loss = 0.0
    for service in servers.values():
        service_kinds = [kind for kind in kinds if kind.service is service and work[kind] > 0]
        excess = sum(work[kind] for kind in service_kinds) - available_seconds(service)
        for kind in sorted(service_kinds, key=lambda kind: (kind.worth - kind.late_worth) / kind.server_seconds()):
            late_work = min(max(0.0, excess), work[kind])
            loss += late_work / kind.server_seconds() * (kind.worth - kind.late_worth)
            excess -= late_work
    return loss


def upper_bound(report, kinds, servers, windows):
    """Returns the upper bound of a day's worth, with its terms."""
    counts = {row["name"]: row["n"] - row["not_owed"] for row in report["classes"]}
    owed = sum(counts[kind.name] * kind.worth for kind in kinds)
    credit = sum(counts[kind.name] * kind.worth * (1 - kind.lost_share) for kind in kinds) / owed
    credit -= sum(min_late_loss(report, kinds, servers, window) for window in windows) / owed
    models = sum(counts[kind.name] * kind.model_cost() for kind in kinds) / owed
    fixed = sum(price for name, _, price in report["prices"] if name in FIXED_PRICES)
    return {"credit": credit, "models": models, "fixed": fixed, "worth": credit - models - fixed}


def analyse(report, kinds, servers):
    windows = windows_with_utilization(report, kinds, servers)
    bound = upper_bound(report, kinds, servers, windows)
    prices = sorted(((name, price) for name, _, price in report["prices"] if price > 0), key=lambda row: -row[1])
    return {
        "worth": report["G"],
        "bound": bound,
        "share_of_bound": report["G"] / bound["worth"],
        "parts": [{"part": name, "weight": weight, "credit": credit} for name, weight, credit in report["parts"]],
        "kinds": lost_by_kind(report, kinds),
        "zones": [{"zone": row["name"], "worth": row["worth"], "late": row["late"], "failed": row["failed"]}
                  for row in report["zones"]],
        "windows": windows,
        "prices": [{"price": name, "cost": cost} for name, cost in prices],
        "reasons": [{"reason": row[0], "requests": row[1]} for row in report["unserved_by"]],
    }


def write_text(found):
    """Yields the lines of a report for people, with the largest losses first."""
    bound = found["bound"]
    yield (f"worth {found['worth']:.3f}, at most {bound['worth']:.3f} = credit {bound['credit']:.3f}"
           f" - models {bound['models']:.3f} - machines {bound['fixed']:.3f}; {found['share_of_bound']:.2f} of the bound")
    yield "parts: " + ", ".join(f"{row['part']} {row['credit']:.3f} (weight {row['weight']})" for row in found["parts"])
    yield ""
    yield "lost by kind, as fractions of the worth of all owed requests"
    losses = [(value, row["kind"], reason) for row in found["kinds"] for reason, value in row["lost"].items()]
    for value, kind, reason in sorted(losses, reverse=True):
        if value >= 0.0005:
            yield f"  {value:.3f}  {kind}: {reason}"
    yield "prices"
    for row in found["prices"]:
        if row["cost"] >= 0.0005:
            yield f"  {row['cost']:.3f}  {row['price']}"
    yield "not served, by the reason of the last attempt"
    for row in found["reasons"]:
        yield f"  {row['requests']:5d}  {row['reason']}"
    yield "zones"
    for row in found["zones"]:
        yield f"  {row['worth']:.3f}  {row['zone']}: {row['late']} late, {row['failed']} failed"
    yield "worst windows: worth, utilization of the servers, events"
    for row in sorted(found["windows"], key=lambda row: row["worth"])[:6]:
        yield f"  {row['second']:4.0f} s  {row['worth']:.3f}  {row['use']:.2f}  {'; '.join(row['events'])}"


def write_plot(found, path):
    """Writes a gnuplot script with its data: worth and utilization by second."""
    rows = "\n".join(f"{row['second']} {row['worth']} {row['use']}" for row in found["windows"])
    with open(path, "w", encoding="utf-8") as file:
        file.write("set terminal svg size 900,400\nset output '" + path + ".svg'\nset xlabel 'second of the day'\n"
                   "set yrange [0:*]\n$day << END\n" + rows + "\nEND\n"
                   "plot $day using 1:2 with steps title 'worth', $day using 1:3 with steps title 'utilization'\n")


def main(arguments):
    report_path, site_path = arguments["REPORT"], arguments["SITE"]
    with open(report_path, encoding="utf-8") as file:
        report = json.load(file)
    found = analyse(report, *read_site(site_path))
    if arguments["plot"]:
        write_plot(found, arguments["plot"])
    print(json.dumps(found, indent=1) if arguments["json"] else "\n".join(write_text(found)))
