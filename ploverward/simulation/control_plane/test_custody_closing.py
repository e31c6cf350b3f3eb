"""Custody trails when two core nodes lose their disks and all others lose power at the same moment.

Trails that a node had long enough to flush must be found again if its disk is kept; the coverage must report all others
as missing. Each run is played in its own process with a fixed order of string sets, so that a seed identifies one
history.
"""

import pytest

from ploverward.testing.seeded_process import run

CLOSING = """
import json
import sys
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import scenario
from ploverward.transport import messages

BEGIN_S, CLOSING_S, END_S, BATCH_S, DOWN_S = 10.0, 22.0, 40.0, 0.5, 0.8
FLUSHED_S = machines.BOUNDS["contactMs"] / 1000 + 2.0  # flush timer, a write in progress, and the write itself

scenario.discard_node_logs()
plan = scenario.Plan(seed=int(sys.argv[1]), machines=5, tolerated=2, disk=int(sys.argv[2]), troubles=(), closing=())
run = scenario.SimulationRun(plan=plan)
run.build()
run.operators.start()
run.clock.run(until=BEGIN_S)
slots = list(run.fleet.slots)
sent = {slot.machine.host: [] for slot in slots}


def report(slot):
    if not slot.machine.running_process.is_alive or slot.machine.core is None:
        return
    host = slot.machine.host
    number = len(sent[host])
    trail = messages.CustodyTrail(request_id=f"{host}-{number}", trail=json.dumps({"id": f"{host}-{number}"}).encode())
    sent[host].append(run.clock.time)
    batch = messages.CustodyTrails(f"proxy-{host}", "l1", number, False, (trail,))
    slot.machine.running_process.guard(lambda: slot.machine.core.core.custody.record(batch))


def play(until):
    while run.clock.time < until:
        for slot in slots:
            report(slot)
        run.clock.run(until=run.clock.time + BATCH_S)


play(CLOSING_S)
closed_at = run.clock.time
emptied = run.clock.chance.sample(slots, 2)
for slot in slots:
    run.fleet.stop(slot, is_power_lost=True)
    if slot in emptied:
        slot.machine.disk.empty()
run.clock.run(until=closed_at + DOWN_S)
for slot in slots:
    run.fleet.restart(slot, is_emptied=slot in emptied)
play(END_S)

faults = []
for slot in slots:
    host, custody = slot.machine.host, slot.machine.core.core.custody
    found = set()
    for number in range(len(sent[host])):
        slot.machine.running_process.guard(
            lambda number=number: custody.find(
                request_id=f"{host}-{number}", done=lambda trails: found.update(trail["id"] for trail in trails)
            )
        )
    run.clock.run(until=run.clock.time + 5.0)
    lost = [number for number in range(len(sent[host])) if f"{host}-{number}" not in found]
    wrongly_lost = [number for number in lost if slot not in emptied and sent[host][number] < closed_at - FLUSHED_S]
    wrongly_lost += [number for number in lost if sent[host][number] > closed_at]
    (row,) = custody.coverage(live_incarnations={"l1"})
    if wrongly_lost or row["missing_batches"] != len(lost) or row["batches"] != len(sent[host]):
        faults.append((host, slot in emptied, wrongly_lost, len(lost), row))
print(faults, run.recorder.findings)
sys.exit(1 if faults or run.recorder.findings else 0)
"""


@pytest.mark.parametrize("disk", ["0", "2"])
@pytest.mark.parametrize("seed", ["1", "2", "3"])
def test_custody_trails_survive_power_loss_or_are_reported_missing(seed, disk):
    ended = run("-c", CLOSING, seed, disk)
    assert ended.returncode == 0, ended.stdout + ended.stderr
