"""A partition between the coordinator and the node that would take over its role, while the others reach both.

Guards against either node taking the role from the other: the epoch and the core set must stay the same.
"""

import pytest

from ploverward.testing.seeded_process import run

BRIDGE = """
import sys
from ploverward.simulation.control_plane import scenario
scenario.discard_node_logs()
run = scenario.SimulationRun(
    plan=scenario.Plan(seed=int(sys.argv[1]), machines=int(sys.argv[2]), tolerated=1, troubles=(), keeps_history=True)
)
run.build()
run.operators.start()
run.clock.run(until=10.0)
cores = {slot.machine.host: slot.machine.core.core for slot in run.fleet.slots}
owner = next(iter(cores.values())).coordinator.address
epoch = cores[owner].coordinator.epoch
other = min(host for host in cores if host != owner)
pairs = [(owner, other), (other, owner)]
run.network.partition(pairs=pairs, is_reset=False)
run.clock.run(until=25.0)
during = {core.coordinator.epoch for core in cores.values()}
members = {core.membership.agreed().members for core in cores.values()}
run.network.join(pairs=pairs)
run.clock.run(until=32.0)
after = {core.membership.agreed().members for core in cores.values()}
print(epoch, during, members, after)
sys.exit(0 if during == {epoch} and after == {tuple(sorted(cores))} else 1)
"""


@pytest.mark.parametrize("machines", ["3", "5"])
@pytest.mark.parametrize("seed", ["1", "2"])
def test_coordinator_keeps_its_epoch_while_cut_off_from_one_node(seed, machines):
    ended = run("-c", BRIDGE, seed, machines)
    assert ended.returncode == 0, ended.stdout + ended.stderr
