"""Core nodes under a CPU quota, which are paused for the rest of each tenth of a second.

These pauses must not count as faults: no role changes its owner, the core set stays the same, and every order is
acknowledged in time. Each run is played in its own process with a fixed order of string sets, so that a seed identifies
one history.
"""

import pytest

from ploverward.testing.seeded_process import run

QUOTA = """
import sys
from ploverward.simulation.control_plane import scenario

PERIOD_S, RUN_S, SETTLED_AT_S, UNTIL_S = 0.1, 0.04, 10.0, 30.0

scenario.discard_node_logs()
plan = scenario.Plan(seed=int(sys.argv[1]), machines=5, tolerated=2, disk=int(sys.argv[2]), troubles=(), closing=())
run = scenario.SimulationRun(plan=plan)
run.build()
run.operators.start()
run.clock.run(until=SETTLED_AT_S)
slots = list(run.fleet.slots)
nodes = [slot.machine.core.core for slot in slots]


def agreed():
    return {(node.coordinator.epoch, node.coordinator.address, node.membership.agreed().members) for node in nodes}


def pause_process(process):
    process.is_frozen = True
    run.clock.later(delay=PERIOD_S - RUN_S, callback=lambda: resume_process(process))


def resume_process(process):
    process.thaw()
    run.clock.later(delay=RUN_S, callback=lambda: pause_process(process))


before = agreed()
for slot in slots:
    process = slot.machine.running_process
    begins_after_s = run.clock.chance.uniform(0.0, PERIOD_S)
    run.clock.later(delay=begins_after_s, callback=lambda process=process: pause_process(process))
run.clock.run(until=UNTIL_S)
after = agreed()
late = [
    order.name
    for order in run.operators.orders
    if order.is_valid and order.begun_at > SETTLED_AT_S and order.begun_at < UNTIL_S - 5.0
    and (order.ended_at is None or order.ended_at - order.begun_at > 5.0)
]
print(before, after, late, run.recorder.findings, len(run.values.configurations))
is_undisturbed = len(before) == 1 and after == before and not late and not run.recorder.findings
sys.exit(0 if is_undisturbed and len(run.values.configurations) > 5 else 1)
"""


@pytest.mark.parametrize("disk", ["0", "2"])
@pytest.mark.parametrize("seed", ["1", "2"])
def test_throttled_nodes_keep_roles_core_set_and_order_deadlines(seed, disk):
    ended = run("-c", QUOTA, seed, disk)
    assert ended.returncode == 0, ended.stdout + ended.stderr
