"""The demo: two fleets, their entry VMs, a configuration patch, and requests of each kind."""

import argparse
import sys

from harness.fleet import (
    COLOMBES_KEY,
    KOVACIC_KEY,
    KOVACIC_SMALL_KEY,
    Fleet,
    is_complete,
    new_key,
    two_fleets_operations,
)


def print_line(text):
    print(text, flush=True)


def start_everything(fleet):
    fleet.start_platform()
    fleet.start_engine("kovacic", "centre", "engine-1", "small@1")
    fleet.start_engine("kovacic", "centre", "engine-2", "large@1")
    fleet.start_plain("kovacic", "centre", "orders-1", "narudzbe")
    fleet.start_engine("colombes", "centre", "engine-1", "small@1")
    fleet.start_engine("colombes", "centre", "engine-2", "large@1")
    fleet.start_plain("colombes", "centre", "reservations-1", "reservations")
    fleet.start_daemon("kovacic", "centre", "vm-1")
    fleet.start_daemon("kovacic", "centre", "vm-2")
    fleet.start_daemon("colombes", "centre", "vm-3")
    print_line("started the platform's stand-ins, 6 backend servers and 3 entry VMs")
    code, output = fleet.patch(two_fleets_operations(), 0)
    print_line("agatesparctl patch: " + output.strip())
    assert code == 0, output
    fleet.wait_ready()
    fleet.wait_config(1)
    fleet.wait_servers("vm-1", 3)
    fleet.wait_servers("vm-2", 3)
    fleet.wait_servers("vm-3", 3)
    fleet.wait_zone("vm-1", "colombes/centre", 3)
    print_line("configuration 1 is in force on all entry VMs")


def show_requests(fleet):
    plain = fleet.chat("vm-1", "Which finish suits oak?")
    assert plain.status == 200 and is_complete(plain, "Which finish suits oak?"), plain.body
    print_line("vm-1 answered a request of kovacic: " + plain.json()["choices"][0]["message"]["content"][:60])
    streamed = fleet.chat("vm-1", "A quote for a tower", stream=True)
    assert streamed.status == 200 and streamed.body.rstrip().endswith("data: [DONE]"), streamed.body
    print_line(f"vm-1 streamed an answer in {streamed.body.count('data: ') - 1} events, end mark included")
    other = fleet.chat("vm-3", "A plan for a wedding", key=COLOMBES_KEY, target="assistant-colombe")
    assert other.status == 200 and is_complete(other, "A plan for a wedding"), other.body
    print_line("vm-3 answered a request of colombes, whose models have the same names")
    forwarded = fleet.chat("vm-1", "A plan for a baptism", key=COLOMBES_KEY, target="assistant-colombe")
    assert forwarded.status == 200 and is_complete(forwarded, "A plan for a baptism"), forwarded.body
    print_line("vm-1 forwarded a request of colombes to that fleet's zone and returned the complete answer")


def show_refusals(fleet):
    refused = fleet.chat("vm-1", "Draft it well", key=KOVACIC_SMALL_KEY, target="large")
    assert refused.status == 403 and refused.error()["ran"] == "not_run", refused.body
    print_line("an account that may not use the model was refused: " + refused.error()["message"])
    clash = fleet.chat("vm-1", "?", key=KOVACIC_KEY, target="assistant-colombe")
    assert clash.status == 404 and clash.error()["ran"] == "not_run", clash.body
    print_line("an account was refused a service of the other fleet: " + clash.error()["message"])


def show_calls(fleet):
    found = fleet.service("vm-1", "narudzbe/look_up", {"order": 7})
    assert found.status == 200, found.body
    key = new_key()
    booked = fleet.service("vm-1", "narudzbe/book", {"order": 8}, idempotency_key=key)
    assert booked.status == 200, booked.body
    again = fleet.service("vm-2", "narudzbe/book", {"order": 8}, idempotency_key=key)
    assert again.status == 200 and again.body == booked.body, again.body
    runs = fleet.counts("kovacic-orders-1")["runs"]
    assert runs[key] == 1, runs
    print_line("an order was booked once; its repeated submission through vm-2 got the stored answer")


def show_killed_vm(fleet):
    """Kills an entry VM while it runs a request, and submits the request again through another VM."""
    key = new_key()
    fleet.faults("kovacic-orders-1", delay_ms=1500)
    import threading

    results = []

    def book():
        try:
            results.append(fleet.service("vm-1", "narudzbe/book", {"order": 9}, idempotency_key=key))
        except Exception as problem:
            results.append(problem)

    caller = threading.Thread(target=book)
    caller.start()
    from harness.processes import wait_until

    wait_until(lambda: fleet.counts("kovacic-orders-1")["runs"].get(key, 0) == 1, "the order to run")
    fleet.processes["vm-1"].kill()
    caller.join()
    fleet.remove_from_vm_list("vm-1")
    fleet.faults("kovacic-orders-1", delay_ms=0)
    repeated = fleet.service("vm-2", "narudzbe/book", {"order": 9}, idempotency_key=key)
    runs = fleet.counts("kovacic-orders-1")["runs"]
    assert runs[key] == 1, runs
    assert repeated.status == 200 or repeated.error()["ran"] == "outcome_unknown", repeated.body
    print_line(
        f"killed vm-1 while its order ran; the repeated submission through vm-2 got status {repeated.status}, runs: 1"
    )
    question = fleet.chat("vm-2", "Is anyone there?")
    assert question.status == 200 and is_complete(question, "Is anyone there?"), question.body
    print_line("vm-2 still serves")


def show_explanation(fleet):
    answer = fleet.chat("vm-2", "Why here?")
    explained = fleet.explain("vm-2", answer.json()["id"]).json()
    print_line("explain: " + " ".join(explained["sentences"]))


def stop_everything(fleet):
    for name in list(fleet.daemons):
        code = fleet.processes[name].stop()
        assert code == 0, f"{name} ended with {code}"
    print_line("all entry VMs stopped without aborting a request")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--kill-one", action="store_true", help="kill an entry VM in the middle")
    options = parser.parse_args()
    with Fleet(options.build) as fleet:
        start_everything(fleet)
        show_requests(fleet)
        show_refusals(fleet)
        show_calls(fleet)
        if options.kill_one:
            show_killed_vm(fleet)
        show_explanation(fleet)
        stop_everything(fleet)
    print_line("done: every request was answered once")
    return 0


if __name__ == "__main__":
    sys.exit(main())
