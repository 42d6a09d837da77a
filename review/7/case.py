"""Another writer leaves unreadable entries among the servers; then a runner drains."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import lab  # noqa: E402

VMS = 5
RUNNERS = 3
ENTRIES = 10 if lab.TROUBLE else 0
# The store takes records of up to 262,144 bytes.
ENTRY_BYTES = 240_000
DRAIN_S = 2.0
# Beyond the bound itself, so that no request is counted that was under way when it ended.
MARGIN_S = 0.5


# Requests have 1.5 s.
HANG_S = 4.0


async def send(vm, identity):
    reader, writer = await asyncio.open_connection(*vm.front)
    writer.write(lab.request_head("POST", "/puxa403/2f", identity, 2, 1500) + b"ab")
    line, fields = await lab.read_head(reader)
    await lab.read_body(reader, fields)
    writer.close()
    return int(line.split(" ")[1])


async def send_through(record, vm, name, count):
    """Sends requests through a VM, one after the other. @return what happened to the VM, if it has ended or hangs."""
    for number in range(count):
        if vm.process.poll() is not None:
            return "%s ended by itself, exit %d" % (vm.name, vm.process.returncode)
        identity = "%s-%s-%d" % (name, vm.name, number)
        try:
            record.line("%s answered %d" % (identity, await asyncio.wait_for(send(vm, identity), HANG_S)))
        except asyncio.TimeoutError:
            record.line("%s not answered in %.1f s" % (identity, HANG_S))
            return "%s hangs" % vm.name
        except (OSError, asyncio.IncompleteReadError) as problem:
            record.line("%s not answered: %r" % (identity, problem))
        await asyncio.sleep(0.08)
    return None


async def send_to_all(record, vms, name, count):
    failed = await asyncio.gather(*[send_through(record, vm, name, count) for vm in vms])
    return [each for each in failed if each]


async def main(record, folder, vms):
    network = lab.free_network()
    store = lab.Store()
    await store.start()
    store.put("keyed.op", "config", lab.configuration())
    runners = [lab.Runner(store, record, "narudzbe", "i-%d" % i, network + str(100 + i)) for i in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    for i in range(VMS):
        vms.append(lab.Vm(folder, "edge-osijek-a-%d" % (i + 1), network + str(10 + i), store))
        vms[-1].start()
    for vm in vms:
        await vm.wait_ready()
    await asyncio.sleep(3)
    if await send_to_all(record, vms, "before", 3):
        raise lab.CannotRun("a VM has ended before the disruption")
    for i in range(ENTRIES):
        key = b"foreign-%d" % i
        store.log("keyed.servers").append(bytes([len(key)]) + key + os.urandom(ENTRY_BYTES))
        store.wake()
        record.line("another writer writes %d bytes under servers/foreign-%d" % (ENTRY_BYTES, i))
        await asyncio.sleep(0.3)
    await asyncio.sleep(1)
    leaving = runners[0]
    leaving.state = "draining"
    leaving.register()
    record.line("the store acknowledges that %s is draining" % leaving.name)
    await asyncio.sleep(DRAIN_S + MARGIN_S)
    reached_before = len(leaving.runs)
    ended = await send_to_all(record, vms, "after", 30)
    late = leaving.runs[reached_before:]
    record.line("requests that reached %s later than %.1f s after that: %d (%s)" % (
        leaving.name, DRAIN_S + MARGIN_S, len(late), ", ".join(late)))
    record.line("VMs: %s" % (", ".join(ended) or "all well"))
    return bool(late or ended)


lab.play(main)
