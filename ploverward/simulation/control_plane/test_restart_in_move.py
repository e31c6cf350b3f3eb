"""All core nodes lose power in the middle of a move of two or more registers (docs/set-moves.md 9).

After the restart every node reads every register and finishes every incomplete move. These rounds must not delay the
round that everything else waits for: that of the node which becomes the coordinator.

Each run is played in its own process with a fixed order of string sets, so that a seed identifies one history.
"""

import pytest

from ploverward.testing.seeded_process import run

RESTART = """
import sys
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import scenario

CONTACT_S, RECEIPT_S = machines.BOUNDS["contactMs"] / 1000, machines.BOUNDS["receiptMs"] / 1000
SETTLED_AT_S, STEP_S, DOWN_S, LIMIT_S = 10.0, 0.005, 0.8, 20.0

scenario.discard_node_logs()
plan = scenario.Plan(seed=int(sys.argv[1]), machines=7, tolerated=2, disk=2, troubles=())
run = scenario.SimulationRun(plan=plan)
run.build()
run.operators.start()
run.clock.run(until=SETTLED_AT_S)
slots = list(run.fleet.slots)


def nodes():
    return [slot.machine.core.core for slot in slots if slot.machine.process.is_alive]


def is_half_moved(node, register):
    return ballots.is_moving(node.consensus.write_ahead_log.durable.get(register).value)


def half_moved():
    by_register = {name: sum(is_half_moved(node, name) for node in nodes()) for name in register_names.REGISTERS}
    return [name for name, count in by_register.items() if count > len(slots) // 2]


def has_coordinator():
    return any(node.coordinator.is_owner for node in nodes())


def is_under_one_set():
    sets = {node.consensus.proposer.members(name) for node in nodes() for name in register_names.REGISTERS}
    return sets == {tuple(sorted(slot.machine.host for slot in slots))}


def time_until(condition):
    while not condition() and run.clock.time < begun_at + LIMIT_S:
        run.clock.run(until=run.clock.time + STEP_S)
    return run.clock.time - begun_at


owner = nodes()[0].coordinator.address
lost = next(slot for slot in slots if slot.machine.host != owner)
run.fleet.stop(lost, is_power_lost=True)
begun_at = run.clock.time
time_until(lambda: len(half_moved()) >= 2)
assert len(half_moved()) >= 2
for slot in slots:
    if slot is not lost:
        run.fleet.stop(slot, is_power_lost=True)
run.clock.run(until=run.clock.time + DOWN_S)
for slot in slots:
    run.fleet.restart(slot, is_emptied=False)
begun_at = run.clock.time
coordinator_after_s = time_until(has_coordinator)
moved_after_s = time_until(lambda: has_coordinator() and is_under_one_set())
print("coordinator after", coordinator_after_s, "s, one set after", moved_after_s, "s")
sys.exit(0 if coordinator_after_s <= CONTACT_S and moved_after_s <= CONTACT_S + RECEIPT_S / 2 else 1)
"""


@pytest.mark.parametrize("seed", ["1", "3", "4", "11"])
def test_restart_during_set_move_agrees_on_coordinator_within_contact_time(seed):
    """Guards the priorities and pauses of repairs: without them these seeds took 4.8, 5.4, 5.5 and 5.9 s (limit: 4)."""
    ended = run("-c", RESTART, seed)
    assert ended.returncode == 0, ended.stdout + ended.stderr
