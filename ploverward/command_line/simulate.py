"""`ploverward simulate`: plays days of the model world and says which checks broke (docs/simulate.md)."""

import collections
import concurrent.futures
import dataclasses
import os
import sys
import time

from ploverward.common import errors
from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import mutants
from ploverward.simulation.control_plane import scenario

HASH_SEED = "0"
MAX_REPORTED_SEEDS = 20  # broken seeds that are told with their findings
CHUNK = 4  # days handed to a process at a time


def fix_hash_seed() -> None:
    """A seed names one history only where sets of strings have one order: starts this program anew where they have not."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, *sys.argv], environment)


def parse_fault_kinds(*, text: str) -> tuple:
    """Kinds by commas; none: all of them."""
    kinds = tuple(kind for kind in text.split(",") if kind)
    for kind in kinds:
        if kind not in faults.WEIGHTS:
            known = ", ".join(faults.WEIGHTS)
            raise errors.PloverwardError(f"'{kind}' is no trouble; there are {known}", step="simulate")
    return kinds or tuple(faults.WEIGHTS)


def plans(*, first: int, seeds: int, machines: int, tolerated: int, troubles: str) -> list:
    kinds = parse_fault_kinds(text=troubles)
    return [
        scenario.Plan(seed=seed, machines=machines, tolerated=tolerated, troubles=kinds)
        for seed in range(first, first + seeds)
    ]


def run(*, plans: list, jobs: int, out) -> int:
    """Plays all days; 1 where a check broke."""
    begun = time.monotonic()
    broken = []
    totals = collections.Counter()
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs)) as pool:
        for report in pool.map(scenario.run_simulation, plans, chunksize=CHUNK):
            totals.update(days=1, orders=report.orders, chosen=report.chosen, troubles=report.troubles)
            if report.findings:
                broken.append(report)
    for report in broken[:MAX_REPORTED_SEEDS]:
        out(_broken_line(report))
    out(
        f"{totals['days']} days, {totals['orders']} orders, {totals['chosen']} versions, {totals['troubles']} moments of trouble, "
        f"{len(broken)} days broke a check, {time.monotonic() - begun:.0f} s"
    )
    return 1 if broken else 0


def _broken_line(report) -> str:
    first = report.findings[0]
    checks = ", ".join(sorted({finding.check for finding in report.findings}))
    return (
        f"seed {report.plan.seed} ({report.machines} machines, {report.tolerated} tolerated): {checks}; "
        f"first at {first.when:.3f}: {first.check}: {first.text}"
    )


def show(*, plan, out) -> int:
    """One day with all that happened."""
    report = scenario.run_simulation(dataclasses.replace(plan, keeps_history=True))
    for when, text in report.history:
        out(f"{when:9.3f} {text}")
    for finding in report.findings:
        out(f"BROKEN {finding.check} at {finding.when:.3f}: {finding.text}")
    out(f"{report.machines} machines, {report.tolerated} tolerated, {len(report.findings)} findings")
    return 1 if report.findings else 0


def run_planted(*, jobs: int, out) -> int:
    """Plays each planted fault until a check finds it; 1 where one is not found in its stated number of days."""
    missed = 0
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs)) as pool:
        for name, found in zip(mutants.FAULTS, pool.map(mutants.search, mutants.FAULTS), strict=True):
            if found is None:
                missed += 1
                out(f"{name}: NOT FOUND in {mutants.FAULTS[name].max_seeds} days")
            else:
                out(f"{name}: found on day {found.run_number} (seed {found.seed}): {found.check}")
    out(f"{len(mutants.FAULTS) - missed} of {len(mutants.FAULTS)} planted faults were found")
    return 1 if missed else 0
