"""What a core node reports of the core set: who votes goes by answered heartbeats, not by connections."""

from ploverward.simulation.control_plane import fleet as fleets
from ploverward.simulation.control_plane import scenario

CALM_S = 6.0
REFUSED_FOR_S = 6.0


def calm_run(*, machines: int) -> scenario.SimulationRun:
    """A run without faults, played until all core machines vote."""
    run = scenario.SimulationRun(plan=scenario.Plan(seed=11, machines=machines, troubles=(), closing=()))
    run.build()
    run.operators.start()
    run.clock.run(until=CALM_S)
    return run


def reports(fleet: fleets.Fleet) -> dict[str, dict]:
    """The report of each core node, by its address."""
    return {slot.machine.host: slot.machine.core.core.core_set_status.report() for slot in fleet.slots}


def test_all_members_of_a_calm_set_vote():
    run = calm_run(machines=3)
    for report in reports(run.fleet).values():
        assert report["votes"] and report["disk_accepts_writes"]
        assert report["voting"] == report["members"] and report["losses_borne"] == 1


def test_a_member_whose_disk_refuses_writes_is_connected_and_does_not_count():
    run = calm_run(machines=3)
    refusing = run.fleet.slots[1].machine
    refusing.disk.fault = "refuse"
    run.clock.run(until=CALM_S + REFUSED_FOR_S)
    by_host = reports(run.fleet)
    assert not by_host[refusing.host]["votes"] and not by_host[refusing.host]["disk_accepts_writes"]
    for report in by_host.values():
        assert refusing.host in report["in_touch"]
        assert refusing.host not in report["voting"]
        assert report["losses_borne"] == 0
    refusing.disk.fault = ""
    run.clock.run(until=CALM_S + 2 * REFUSED_FOR_S)
    assert all(report["losses_borne"] == 1 for report in reports(run.fleet).values())
