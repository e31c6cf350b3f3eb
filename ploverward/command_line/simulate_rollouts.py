"""`ploverward simulate --world rollouts`: plays days of the model of roll-outs and says what the judge did (docs/rollouts.md 9)."""

import collections
import concurrent.futures
import logging

from ploverward.control_plane.rollouts import state
from ploverward.simulation import rollout_simulation

MAX_REPORTED_SEEDS = 20


def _keep_quiet() -> None:
    """The model's nodes write no logs."""
    logging.disable(logging.CRITICAL)


def run(*, first: int, seeds: int, jobs: int, out) -> int:
    """Plays the days; 1 where a check broke. Prints, for each kind of version and trouble, how often it was let in."""
    played, let_in, broken = collections.Counter(), collections.Counter(), []
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs), initializer=_keep_quiet) as pool:
        for report in pool.map(rollout_simulation.run_simulation, range(first, first + seeds), chunksize=8):
            for fault in report.fault_kinds:
                played[report.kind, fault] += 1
                let_in[report.kind, fault] += report.stage == state.Stage.DELIVERED
            if report.findings:
                broken.append(report)
    for report in broken[:MAX_REPORTED_SEEDS]:
        found = report.findings[0]
        out(
            f"seed {report.seed} ({report.kind}, {', '.join(report.fault_kinds)}): {found.check} at {found.when}: {found.text}"
        )
    kinds = ("good", *rollout_simulation.BAD_KINDS)
    out("delivered of played, by trouble: " + ", ".join(kinds))
    for fault in rollout_simulation.FAULT_KINDS:
        cells = (f"{let_in[kind, fault]}/{played[kind, fault]}" for kind in kinds)
        out(f"  {fault:<16}" + "".join(f"{cell:>12}" for cell in cells))
    out(f"{seeds} days, {len(broken)} broke a check")
    return 1 if broken else 0
