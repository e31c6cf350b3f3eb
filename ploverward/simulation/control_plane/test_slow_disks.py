"""Agreement while each disk sync takes 0.15 to 0.35 s, and the first move of the core set during concurrent reads.

Each run is played in its own process with a fixed order of string sets, so that a seed identifies one history.
"""

import pytest

from ploverward.testing.seeded_process import run

SLOWEST = """
import sys
from ploverward.simulation.control_plane import scenario
plan = scenario.Plan(seed=int(sys.argv[1]), machines=5, tolerated=2, disk=3, troubles=())
report = scenario.run_simulation(plan)
print(report.findings, report.chosen)
sys.exit(1 if report.findings or report.chosen < 5 else 0)
"""
FIRST_MOVE = """
import sys
from ploverward.simulation.control_plane import scenario
scenario.discard_node_logs()
run = scenario.SimulationRun(plan=scenario.Plan(seed=20067, keeps_history=True))
run.build()
run.operators.start()
run.clock.run(until=4.9)
members = "members=" + ",".join(run.fleet.core_hosts())
moved = [text for _when, text in run.recorder.history if text.startswith("chosen register=cores") and members in text]
print(moved)
sys.exit(0 if moved else 1)
"""


@pytest.mark.parametrize("seed", ["1", "2", "4"])
def test_orders_are_acknowledged_in_time_on_the_slowest_disks(seed):
    ended = run("-c", SLOWEST, seed)
    assert ended.returncode == 0, ended.stdout + ended.stderr


def test_reads_do_not_delay_first_move_of_core_set():
    """Guards the rule for first starts: without it no round of the move succeeded in time.

    See docs/incidents/first-move-duel.md.
    """
    ended = run("-c", FIRST_MOVE)
    assert ended.returncode == 0, ended.stdout + ended.stderr
