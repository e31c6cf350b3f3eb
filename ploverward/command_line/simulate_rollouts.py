"""`ploverward simulate --world rollouts`: plays days of the model of roll-outs and says what the judge did (docs/rollouts.md 9)."""

import collections
import concurrent.futures
import logging

from ploverward.control_plane.rollouts import state
from ploverward.simulation import rollout_simulation

TOLD_SEEDS = 20


def _keep_quiet() -> None:
    """The model's nodes write no logs."""
    logging.disable(logging.CRITICAL)


def run(*, first: int, seeds: int, jobs: int, out) -> int:
    """Plays the days; 1 where a check broke. Prints, for each kind of version and trouble, how often it was let in."""
    played, let_in, broken = collections.Counter(), collections.Counter(), []
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs), initializer=_keep_quiet) as pool:
        for report in pool.map(rollout_simulation.play, range(first, first + seeds), chunksize=8):
            for trouble in report.troubles:
                played[report.kind, trouble] += 1
                let_in[report.kind, trouble] += report.stage == state.Stage.DELIVERED
            if report.findings:
                broken.append(report)
    for report in broken[:TOLD_SEEDS]:
        found = report.findings[0]
        out(
            f"seed {report.seed} ({report.kind}, {', '.join(report.troubles)}): {found.check} at {found.when}: {found.text}"
        )
    kinds = ("good", *rollout_simulation.BAD_KINDS)
    out("delivered of played, by trouble: " + ", ".join(kinds))
    for trouble in rollout_simulation.TROUBLES:
        cells = (f"{let_in[kind, trouble]}/{played[kind, trouble]}" for kind in kinds)
        out(f"  {trouble:<16}" + "".join(f"{cell:>12}" for cell in cells))
    out(f"{seeds} days, {len(broken)} broke a check")
    return 1 if broken else 0
