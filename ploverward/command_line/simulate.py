"""`ploverward simulate`: runs simulations of the control plane and reports failed checks (docs/simulate.md)."""

import collections
import concurrent.futures
import dataclasses
import os
import sys
import time

from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output
from ploverward.common import errors
from ploverward.simulation import state_digest
from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import mutants
from ploverward.simulation.control_plane import scenario
from ploverward.simulation.control_plane import shrinking

HASH_SEED = "0"
MAX_REPORTED_SEEDS = 20  # failing seeds that are printed with their findings
MAX_SHORTENED_SEEDS = 3  # failing seeds that are shortened; each takes a minute or two
SIMULATED_PATHS = (
    "common",
    "control_plane",
    "data_plane/control_client",
    "data_plane/quotas",
    "simulation/control_plane",
    "testing/seeded_process.py",
    "transport",
)
CHUNK_RUNS = 4  # runs handed to a process at a time


def command(_verb: str, arguments: list[str]) -> int:
    """Runs the simulations, the mutants or the one history that the flags select."""
    if arguments:
        raise exit_codes.UsageError
    flags = options.FLAGS
    ensure_fixed_hash_seed()
    if flags.world == "rollouts":
        from ploverward.command_line import simulate_rollouts

        simulate_rollouts.reject_unsupported_flags([name for name in flags if flags[name].present])
        if flags.planted:
            return simulate_rollouts.run_mutants(jobs=flags.jobs, out=print)
        if flags.history >= 0:
            return simulate_rollouts.print_history(seed=flags.history, out=print)
        return simulate_rollouts.run(first=flags.first, seeds=flags.seeds, jobs=flags.jobs, out=print)
    if flags.state:
        print(f"state {state_digest.digest(SIMULATED_PATHS)}")
    if flags.planted:
        return run_mutants(jobs=flags.jobs, out=print)
    has_history = flags.history >= 0
    selected_plans = build_plans(
        first=flags.history if has_history else flags.first,
        seeds=1 if has_history else flags.seeds,
        machines=flags.machines,
        tolerated=flags.tolerate,
        troubles=flags.troubles,
        has_tallies=flags.tallies,
    )
    if has_history:
        return print_history(plan=selected_plans[0], out=print)
    return run(plans=selected_plans, jobs=flags.jobs, out=print)


def ensure_fixed_hash_seed() -> None:
    """Restarts this program with a fixed hash seed, without which a simulation seed doesn't determine one history."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        # `sys.argv` has the path of __main__.py, which would not find its package; `sys.orig_argv` has `-m ploverward`.
        os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], environment)


def parse_fault_kinds(*, text: str, has_tallies: bool = False) -> tuple[str, ...]:
    """Returns the kinds of faults in a comma-separated list; for an empty one, all kinds.

    Long partitions are among all kinds only with tallies.

    Raises:
        InvalidArgumentError: A kind is unknown.
    """
    kinds = tuple(kind for kind in text.split(",") if kind)
    for kind in kinds:
        if kind not in faults.ALL_KINDS:
            known = ", ".join(faults.ALL_KINDS)
            raise errors.InvalidArgumentError(f"'{kind}' is no trouble; there are {known}", step="simulate")
    return kinds or tuple(faults.ALL_KINDS if has_tallies else faults.KINDS)


def build_plans(
    *, first: int, seeds: int, machines: int, tolerated: int, troubles: str, has_tallies: bool = False
) -> list[scenario.Plan]:
    """Returns the plans of a range of seeds.

    Args:
        first: The first seed.
        seeds: Number of seeds.
        machines: Number of core machines; 0: drawn by the seed.
        tolerated: Machines that may be lost at once; 0: drawn by the seed.
        troubles: Kinds of faults, separated by commas; empty: all.
        has_tallies: Whether applications use tallies.
    """
    kinds = parse_fault_kinds(text=troubles, has_tallies=has_tallies)
    return [
        scenario.Plan(
            seed=seed,
            machines=machines,
            tolerated=tolerated,
            troubles=kinds,
            has_tallies=has_tallies,
            folds_tallies=has_tallies and seed % 2 == 1,
        )
        for seed in range(first, first + seeds)
    ]


def run(*, plans: list[scenario.Plan], jobs: int, out: output.LineWriter) -> int:
    """Runs all plans in `jobs` processes and prints the results; returns `FAILURE` if a check failed."""
    started_at = time.monotonic()
    failed_reports = []
    totals: collections.Counter[str] = collections.Counter()
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs)) as pool:
        for report in pool.map(scenario.run_simulation, plans, chunksize=CHUNK_RUNS):
            totals.update(days=1, orders=report.orders, chosen=report.chosen, troubles=report.troubles)
            if report.findings:
                failed_reports.append(report)
    output.print_lines(map(_failure_line, failed_reports[:MAX_REPORTED_SEEDS]), out=out)
    for report in failed_reports[:MAX_SHORTENED_SEEDS]:
        out(_shortened_line(shrinking.RunShortener(report=report).shorten()))
    out(
        f"{totals['days']} days, {totals['orders']} orders, {totals['chosen']} versions,"
        f" {totals['troubles']} moments of trouble,"
        f" {len(failed_reports)} days broke a check, {time.monotonic() - started_at:.0f} s"
    )
    return exit_codes.ExitCode.FAILURE if failed_reports else exit_codes.ExitCode.SUCCESS


def _failure_line(report: scenario.Report) -> str:
    first = report.findings[0]
    checks = ", ".join(sorted({finding.check for finding in report.findings}))
    return (
        f"seed {report.plan.seed} ({report.machines} machines, {report.tolerated} tolerated): {checks}; "
        f"first at {first.when:.3f}: {first.check}: {first.text}"
    )


def _shortened_line(shortened: shrinking.ShortenedRun) -> str:
    kept = ", ".join(f"{fault.kind} at {fault.at:.1f}" for fault in shortened.kept) or "none"
    closing = "with" if shortened.has_closing else "without"
    return (
        f"seed {shortened.plan.seed}, {shortened.check}: {len(shortened.kept)} of {shortened.drawn} troubles are left"
        f" after {shortened.runs} days ({kept}), {closing} the closing one"
    )


def print_history(*, plan: scenario.Plan, out: output.LineWriter) -> int:
    """Runs one plan and prints its history and findings; returns `FAILURE` if a check failed."""
    report = scenario.run_simulation(dataclasses.replace(plan, keeps_history=True))
    for when, text in report.history:
        out(f"{when:9.3f} {text}")
    for finding in report.findings:
        out(f"BROKEN {finding.check} at {finding.when:.3f}: {finding.text}")
    out(f"{report.machines} machines, {report.tolerated} tolerated, {len(report.findings)} findings")
    return exit_codes.ExitCode.FAILURE if report.findings else exit_codes.ExitCode.SUCCESS


def run_mutants(*, jobs: int, out: output.LineWriter) -> int:
    """Runs each mutant until a check detects it; returns `FAILURE` if one is not detected in its number of runs."""
    missed = 0
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs)) as pool:
        for name, found in zip(mutants.MUTANTS, pool.map(mutants.search, mutants.MUTANTS), strict=True):
            if found is None:
                missed += 1
                out(f"{name}: NOT FOUND in {mutants.MUTANTS[name].max_seeds} days")
            else:
                out(f"{name}: found on day {found.run_number} (seed {found.seed}): {found.check}")
    out(f"{len(mutants.MUTANTS) - missed} of {len(mutants.MUTANTS)} planted faults were found")
    return exit_codes.ExitCode.FAILURE if missed else exit_codes.ExitCode.SUCCESS
