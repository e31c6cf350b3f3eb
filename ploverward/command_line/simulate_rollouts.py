"""`ploverward simulate --world rollouts`: plays the model of roll-outs (docs/rollouts.md 9)."""

import collections
import concurrent.futures
import logging

from ploverward.command_line import exit_codes
from ploverward.command_line import output
from ploverward.control_plane.rollouts import state
from ploverward.simulation import rollout_simulation

MAX_REPORTED_SEEDS = 20  # broken seeds that are printed with their first finding
CHUNK_RUNS = 8  # runs handed to a process at a time


def _disable_logs() -> None:
    """The model's nodes log what is faulty on purpose."""
    logging.disable(logging.CRITICAL)


def run(*, first: int, seeds: int, jobs: int, out: output.Out) -> int:
    """Plays a range of seeds; prints, for each kind of version and fault, how often the version was let in.

    Returns:
        `BROKEN` where a check broke, else `WELL`.
    """
    played: collections.Counter[tuple[str, str]] = collections.Counter()  # by kind of version and kind of fault
    let_in: collections.Counter[tuple[str, str]] = collections.Counter()
    broken = []
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs), initializer=_disable_logs) as pool:
        for report in pool.map(rollout_simulation.run_simulation, range(first, first + seeds), chunksize=CHUNK_RUNS):
            for fault in report.fault_kinds:
                played[report.kind, fault] += 1
                let_in[report.kind, fault] += report.stage == state.Stage.DELIVERED
            if report.findings:
                broken.append(report)
    for report in broken[:MAX_REPORTED_SEEDS]:
        finding = report.findings[0]
        out(
            f"seed {report.seed} ({report.kind}, {', '.join(report.fault_kinds)}):"
            f" {finding.check} at {finding.when}: {finding.text}"
        )
    kinds = ("good", *rollout_simulation.BAD_KINDS)
    out("delivered of played, by trouble: " + ", ".join(kinds))
    for fault in rollout_simulation.FAULT_KINDS:
        cells = (f"{let_in[kind, fault]}/{played[kind, fault]}" for kind in kinds)
        out(f"  {fault:<16}" + "".join(f"{cell:>12}" for cell in cells))
    out(f"{seeds} days, {len(broken)} broke a check")
    return exit_codes.ExitCode.BROKEN if broken else exit_codes.ExitCode.WELL
