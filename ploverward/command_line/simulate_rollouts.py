"""`ploverward simulate --world rollouts`: runs simulations of roll-outs (docs/simulate.md)."""

import collections
import concurrent.futures
import logging
from collections.abc import Collection

from ploverward.command_line import exit_codes
from ploverward.command_line import output
from ploverward.common import errors
from ploverward.control_plane.rollouts import state
from ploverward.simulation import needless_faults
from ploverward.simulation import rollout_checks
from ploverward.simulation import rollout_mutants
from ploverward.simulation import rollout_simulation
from ploverward.simulation import state_digest

MAX_REPORTED_SEEDS = 20  # failing seeds that are printed with their first finding
MAX_SHORTENED_SEEDS = 3  # failing seeds that are run again without some of their faults
UNSUPPORTED_FLAGS = ("machines", "tolerate", "troubles", "tallies", "state")
SIMULATED_PATHS = (
    "common",
    "control_plane/rollouts",
    "data_plane/requests/attempts.py",
    "data_plane/rollouts",
    "simulation/rollout_checks.py",
    "simulation/rollout_nodes.py",
    "simulation/rollout_simulation.py",
    "simulation/simulated_world.py",
    "transport/messages.py",
    "transport/row_codec.py",
)
CHUNK_RUNS = 8  # runs handed to a process at a time


def _disable_logs() -> None:
    """Disables logging, as simulated nodes log faults that are injected on purpose."""
    logging.disable(logging.CRITICAL)


def reject_unsupported_flags(given: Collection[str]) -> None:
    """Rejects flags that the simulation of roll-outs doesn't support, rather than ignoring them.

    Args:
        given: Names of all flags that are set on the command line.

    Raises:
        InvalidArgumentError: One of them belongs to the simulation of the control plane.
    """
    other = sorted(name for name in UNSUPPORTED_FLAGS if name in given)
    if other:
        names = ", ".join(f"--{name}" for name in other)
        raise errors.InvalidArgumentError(f"--world rollouts has no {names}", step="simulate")


def print_history(*, seed: int, out: output.LineWriter) -> int:
    """Runs one seed and prints its history; returns `FAILURE` if a check failed."""
    _disable_logs()
    report = rollout_simulation.run_simulation(seed)
    for when, text in report.history:
        out(f"{when:9.3f} {text}")
    out(
        f"{report.kind}, {', '.join(report.fault_kinds)}: {report.stage} after {report.ended_s:.2f} s,"
        f" {report.sent_new} of {report.sent} requests to the new version, {len(report.findings)} findings"
    )
    return exit_codes.ExitCode.FAILURE if report.findings else exit_codes.ExitCode.SUCCESS


def run_mutants(*, jobs: int, out: output.LineWriter) -> int:
    """Runs each mutant until its check detects it; returns `FAILURE` if one is not detected."""
    missed = 0
    names = list(rollout_mutants.MUTANTS)
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs), initializer=_disable_logs) as pool:
        for name, seed in zip(names, pool.map(rollout_mutants.search, names), strict=True):
            missed += seed is None
            found = f"NOT FOUND in {rollout_mutants.MAX_SEEDS} days" if seed is None else f"found with seed {seed}"
            out(f"{name}: {found}: {rollout_mutants.MUTANTS[name].check}")
    out(f"{len(names) - missed} of {len(names)} planted faults were found")
    return exit_codes.ExitCode.FAILURE if missed else exit_codes.ExitCode.SUCCESS


def _needed_faults(report: rollout_checks.Report) -> tuple[str, ...]:
    """Returns the faults that the run needs to fail its first check; the others are left out one by one."""

    def still_breaks(skipped: frozenset[str]) -> bool:
        shorter = rollout_simulation.run_simulation(report.seed, skipped=skipped)
        return any(finding.check == report.findings[0].check for finding in shorter.findings)

    needless = needless_faults.find(report.fault_kinds, still_breaks=still_breaks)
    return tuple(fault for fault in report.fault_kinds if fault not in needless)


def _quantiles(values: list[float]) -> str:
    """Formats the median, the 99th percentile and the maximum of some values."""
    if not values:
        return "none"
    ordered = sorted(values)
    return f"p50 {ordered[len(ordered) // 2]:.2f}, p99 {ordered[len(ordered) * 99 // 100]:.2f}, most {ordered[-1]:.2f}"


def run(*, first: int, seeds: int, jobs: int, out: output.LineWriter) -> int:
    """Runs a range of seeds and prints, by kind of version and fault, how often the version was delivered.

    Returns:
        `FAILURE` if a check failed, else `SUCCESS`.
    """
    played: collections.Counter[tuple[str, str]] = collections.Counter()  # runs by kind of version and kind of fault
    delivered: collections.Counter[tuple[str, str]] = collections.Counter()
    failed_reports = []
    exposures = []  # of bad versions: requests received, as shares of those allowed
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs), initializer=_disable_logs) as pool:
        for report in pool.map(rollout_simulation.run_simulation, range(first, first + seeds), chunksize=CHUNK_RUNS):
            for fault in report.fault_kinds:
                played[report.kind, fault] += 1
                delivered[report.kind, fault] += report.stage == state.Stage.DELIVERED
            if report.kind != "good":
                exposures.append(report.sent_new / report.allowed_new)
            if report.findings:
                failed_reports.append(report)
    for report in failed_reports[:MAX_REPORTED_SEEDS]:
        finding = report.findings[0]
        out(
            f"seed {report.seed} ({report.kind}, {', '.join(report.fault_kinds)}):"
            f" {finding.check} at {finding.when}: {finding.text}"
        )
    for report in failed_reports[:MAX_SHORTENED_SEEDS]:
        out(f"seed {report.seed} needs {', '.join(_needed_faults(report)) or 'no fault'}")
    kinds = ("good", *rollout_simulation.BAD_KINDS)
    out("delivered of played, by trouble: " + ", ".join(kinds))
    for fault in rollout_simulation.FAULT_KINDS:
        cells = (f"{delivered[kind, fault]}/{played[kind, fault]}" for kind in kinds)
        out(f"  {fault:<16}" + "".join(f"{cell:>12}" for cell in cells))
    out(f"requests to bad versions, of those allowed: {_quantiles(exposures)}")
    out(f"{seeds} days on state {state_digest.digest(SIMULATED_PATHS)}, {len(failed_reports)} broke a check")
    return exit_codes.ExitCode.FAILURE if failed_reports else exit_codes.ExitCode.SUCCESS
