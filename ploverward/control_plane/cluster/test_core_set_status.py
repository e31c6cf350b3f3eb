"""Tests of the core set status: a member counts as voting by its heartbeat replies, not by its connection."""

from ploverward.simulation.control_plane import fleet as fleets
from ploverward.simulation.control_plane import scenario

STARTUP_S = 6.0
REFUSAL_S = 6.0


def started_run(*, machines: int) -> scenario.SimulationRun:
    """Starts a simulation without faults, and runs it until all core machines vote."""
    run = scenario.SimulationRun(plan=scenario.Plan(seed=11, machines=machines, troubles=(), closing=()))
    run.build()
    run.operators.start()
    run.clock.run(until=STARTUP_S)
    return run


def reports(fleet: fleets.Fleet) -> dict[str, dict]:
    """Returns the status report of each core node by its address."""
    return {slot.machine.host: slot.machine.core.core.core_set_status.report() for slot in fleet.slots}


def test_report_without_faults_counts_all_members_as_voting():
    run = started_run(machines=3)
    for report in reports(run.fleet).values():
        assert report["votes"] and report["in_touch"] == report["members"] and report["losses_borne"] == 1


def test_member_whose_disk_refuses_writes_is_in_touch_but_not_voting():
    run = started_run(machines=3)
    refusing = run.fleet.slots[1].machine
    refusing.disk.fault = "refuse"
    run.clock.run(until=STARTUP_S + REFUSAL_S)
    by_host = reports(run.fleet)
    assert not by_host[refusing.host]["votes"]
    assert any(row["on_disk"] for row in by_host[refusing.host]["registers"].values())
    for report in by_host.values():
        assert refusing.host in report["in_touch"]
        assert report["losses_borne"] == 0
    refusing.disk.fault = ""
    run.clock.run(until=STARTUP_S + 2 * REFUSAL_S)
    assert all(report["losses_borne"] == 1 for report in reports(run.fleet).values())


def test_losses_borne_drops_with_removed_members_and_recovers_with_successor():
    """Two of five members are removed for good; one successor fails while it is a learner, another joins later."""
    run = started_run(machines=5)
    fleet = run.fleet
    first, second = fleet.slots[3], fleet.slots[4]
    for slot in (first, second):
        fleet.remove(slot.machine, is_in_order=False)
    fleet.start_successor(first)
    fleet.remove(first.machine, is_in_order=False)
    run.clock.run(until=STARTUP_S + 6.0)
    survivors = [slot.machine.host for slot in fleet.slots[:3]]
    for host, report in reports(fleet).items():
        if host in survivors:
            assert report["losses_borne"] == 0 and report["in_touch"] == survivors
            assert len(report["members"]) == 5
    fleet.start_successor(second)
    run.clock.run(until=STARTUP_S + 14.0)
    for host in survivors:
        report = reports(fleet)[host]
        assert report["losses_borne"] == 1 and second.machine.host in report["members"]
        assert len(report["members"]) == 5
