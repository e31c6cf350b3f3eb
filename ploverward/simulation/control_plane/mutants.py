"""Mutants: seeded bugs in the product's code which show that the simulation's checks find them (docs/simulate.md).

`simulate --planted` prints their names. The patches are in mutant_patches.py and tally_mutant_patches.py.
"""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable

from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import mutant_patches
from ploverward.simulation.control_plane import operators
from ploverward.simulation.control_plane import scenario
from ploverward.simulation.control_plane import tally_mutant_patches

DEFAULT_PLAN = scenario.Plan(seed=0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A seeded bug, and the runs and checks that are expected to find it.

    Attributes:
        patches: Returns the patches that insert the bug into the code.
        checks: Names of the checks of which at least one must find it.
        plan: Plan of the runs; its seed is replaced.
        max_seeds: Number of runs within which it must be found.
    """

    patches: Callable[[], mutant_patches.Patches]
    checks: tuple[str, ...]
    plan: scenario.Plan = DEFAULT_PLAN
    max_seeds: int = 40


@dataclasses.dataclass(frozen=True)
class Detection:
    """The run in which a check found a mutant.

    Attributes:
        run_number: Number of the run among those played, from 1.
        seed: Seed of the run.
        check: Name of the check that found the mutant.
    """

    run_number: int
    seed: int
    check: str


CONSENSUS_CHECKS = (  # checks that may find a bug in how values are chosen
    "agreement",
    "configurations",
    "one base",
    "acknowledged",
    "refused orders",
    "reads",
    "evacuations",
    "duties",
    "the end",
)
POWER_PLAN = scenario.Plan(seed=0, troubles=("all_power", "power"), closing=("all_power",), disk=3)
# A read returns a value that is not yet on the disks of a majority, and all machines lose power at that moment. The
# slowest disks (3) don't serve here: an attempt ends before its two syncs do, so no order is acknowledged and there is
# nothing to read.
READ_THEN_POWER_PLAN = scenario.Plan(
    seed=0,
    machines=3,
    tolerated=1,
    troubles=("all_power",),
    closing=("all_power",),
    disk=2,
    gap_s=scenario.FAULT_GAPS_S[1],
    moments=(operators.Moment.READ,),
)
TALLY_PLAN = scenario.Plan(seed=0, troubles=tuple(faults.ALL_KINDS), has_tallies=True)
# Some disks are lost right after an acknowledgement and the other machines lose power, so that whatever these held only
# in memory is lost.
DISKS_LOST_PLAN = dataclasses.replace(
    TALLY_PLAN,
    machines=3,
    tolerated=1,
    troubles=("disks_lost_all_power", "all_power"),
    closing=("disks_lost_others_power", "disks_lost_all_power"),
    disk=2,
    gap_s=scenario.FAULT_GAPS_S[1],
)
TALLY_CHECKS = ("tally twice", "tally stale", "tally lost", "tally agreement")
MUTANTS = {
    "seeds as the default set": Mutant(
        patches=mutant_patches.seeds_as_default_set,
        checks=CONSENSUS_CHECKS,
        plan=scenario.Plan(seed=0, troubles=("empty", "replace", "cut")),
        max_seeds=200,
    ),
    "founds without asking": Mutant(
        patches=mutant_patches.founds_on_first_start,
        checks=CONSENSUS_CHECKS,
        plan=scenario.Plan(seed=0, troubles=("empty", "cut", "freeze"), closing=("disks_lost",)),
        max_seeds=200,
    ),
    "votes before refill": Mutant(
        patches=mutant_patches.votes_before_catch_up,
        checks=CONSENSUS_CHECKS,
        plan=scenario.Plan(
            seed=0, troubles=("empty", "cut", "freeze"), closing=("disks_lost", "disks_lost_others_power")
        ),
        max_seeds=200,
    ),
    "grants without contact": Mutant(
        patches=mutant_patches.grant_without_lease,
        checks=("grants",),
        # A core set with a spare member drops the isolated one, which goes on granting.
        plan=scenario.Plan(
            seed=0,
            machines=6,
            tolerated=2,
            troubles=("cut", "replace", "replace_at_once"),
            gap_s=scenario.FAULT_GAPS_S[1],
        ),
    ),
    "a moved part at once": Mutant(
        patches=mutant_patches.grown_share_used_at_once,
        checks=("grants",),
        plan=scenario.Plan(seed=0, troubles=("replace", "replace_at_once", "cut")),
    ),
    "peek ahead of the disk": Mutant(
        patches=mutant_patches.quorum_read_ahead_of_disk,
        checks=CONSENSUS_CHECKS,
        plan=READ_THEN_POWER_PLAN,
        max_seeds=200,
    ),
    "told before durable": Mutant(
        patches=mutant_patches.acknowledged_before_durable, checks=CONSENSUS_CHECKS, plan=POWER_PLAN
    ),
    "few marks of orders": Mutant(patches=mutant_patches.few_order_ids, checks=("resent orders", "refused orders")),
    "the set stops at four": Mutant(
        patches=mutant_patches.set_stops_at_four,
        checks=("core set",),
        plan=scenario.Plan(seed=0, machines=5, tolerated=2),
    ),
    "acknowledged by one": Mutant(patches=mutant_patches.acknowledged_by_one, checks=CONSENSUS_CHECKS),
    "a restarted node leads": Mutant(
        patches=mutant_patches.restarted_coordinator_keeps_epoch,
        checks=("topics",),
        plan=scenario.Plan(seed=0, troubles=("kill", "all_killed")),
    ),
    "contact without an end": Mutant(
        patches=mutant_patches.lease_counted_from_answers,
        checks=("grants", "cut off", "topics"),
        plan=scenario.Plan(seed=0, troubles=("cut", "freeze", "replace", "probe")),
    ),
    "an order blamed for a cut": Mutant(
        patches=mutant_patches.order_blamed_for_isolation,
        checks=("cut off",),
        plan=scenario.Plan(seed=0, troubles=("cut", "freeze", "probe")),
    ),
    "news go back": Mutant(patches=mutant_patches.versions_go_back, checks=("back",)),
    "an add counted by node": Mutant(
        patches=tally_mutant_patches.counted_by_node, checks=TALLY_CHECKS, plan=TALLY_PLAN
    ),
    "an add acknowledged before the sync": Mutant(
        patches=tally_mutant_patches.acknowledged_before_sync, checks=TALLY_CHECKS, plan=TALLY_PLAN
    ),
    "an add acknowledged on too few disks": Mutant(
        patches=tally_mutant_patches.acknowledged_on_too_few_disks,
        checks=TALLY_CHECKS,
        plan=dataclasses.replace(DISKS_LOST_PLAN, troubles=("disks_lost_all_power",)),
    ),
    "an add kept after a 503": Mutant(
        patches=tally_mutant_patches.kept_after_refusal, checks=TALLY_CHECKS, plan=TALLY_PLAN
    ),
    "adds not passed on": Mutant(patches=tally_mutant_patches.nothing_relayed, checks=TALLY_CHECKS, plan=TALLY_PLAN),
    "ids forgotten too soon": Mutant(
        patches=tally_mutant_patches.folded_too_soon, checks=TALLY_CHECKS, plan=TALLY_PLAN
    ),
    "ids forgotten while a member is away": Mutant(
        patches=tally_mutant_patches.folded_without_members,
        checks=TALLY_CHECKS,
        plan=dataclasses.replace(
            TALLY_PLAN, machines=5, tolerated=2, troubles=("apart", "cut", "split"), span_s=60.0, folds_tallies=True
        ),
        max_seeds=200,
    ),
    "a log used again": Mutant(patches=tally_mutant_patches.reused_log, checks=TALLY_CHECKS, plan=TALLY_PLAN),
    "a lost race is taken": Mutant(patches=mutant_patches.stale_base_accepted, checks=("one base", "refused orders")),
}


def run_simulation(*, name: str, seed: int) -> scenario.Report:
    """Plays one run with a mutant."""
    mutant = MUTANTS[name]
    with contextlib.ExitStack() as stack:
        for patch in mutant.patches():
            stack.enter_context(patch)
        return scenario.run_simulation(dataclasses.replace(mutant.plan, seed=seed))


def search(name: str) -> Detection | None:
    """Returns the first run in which a check finds a mutant, or None."""
    mutant = MUTANTS[name]
    for seed in range(mutant.max_seeds):
        report = run_simulation(name=name, seed=seed)
        found = [finding.check for finding in report.findings if finding.check in mutant.checks]
        if found and not _is_found_without(report.plan, found[0]):
            return Detection(run_number=seed + 1, seed=seed, check=found[0])
    return None


def _is_found_without(plan: scenario.Plan, check: str) -> bool:
    """Returns whether the same check fails in the same run without the mutant, so that the finding proves nothing."""
    return any(finding.check == check for finding in scenario.run_simulation(plan).findings)
