"""Shortens a run that broke a check to few faults with which it still breaks it (docs/simulate.md 2).

Greedy, like delta debugging (Zeller and Hildebrandt, 2002): leaves out the closing fault, the faults after the finding,
then ever smaller blocks of the others, and keeps what still breaks the same check. A fault that is left out is drawn as
before, so the later ones come at nearly the same moments; the result is a run of its own, small enough to be read.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import scenario

MAX_RUNS = 40  # played for one shortening, some two seconds each


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShortenedRun:
    """The shortest run that was found.

    Attributes:
        plan: What is played.
        check: The check that it breaks.
        kept: The faults that are left.
        drawn: How many faults the run had.
        runs: How many runs were played.
    """

    plan: scenario.Plan
    check: str
    kept: tuple[faults.DrawnFault, ...]
    drawn: int
    runs: int

    @property
    def has_closing(self) -> bool:
        """Whether the closing fault is left."""
        return bool(self.plan.closing)


class Shortening:
    """One shortening.

    Args:
        report: The run that broke a check.
        play: Plays a plan.
        max_runs: How many plans are played at most.
    """

    def __init__(
        self,
        *,
        report: scenario.Report,
        play: Callable[[scenario.Plan], scenario.Report] = scenario.run_simulation,
        max_runs: int = MAX_RUNS,
    ) -> None:
        self._check = report.findings[0].check
        self._best = report
        self._play = play
        self._max_runs = max_runs
        self._runs = 0

    def shorten(self) -> ShortenedRun:
        """Returns the shortest run that was found, which may be the given one."""
        first = self._best.findings[0]
        late = {fault.number for fault in self._best.faults if fault.at > first.when}
        self._try(dataclasses.replace(self._best.plan, closing=()))
        self._try_without(late)
        block_size = max(1, len(self._kept()) // 2)
        while self._runs < self._max_runs:
            has_shrunk = self._try_blocks(block_size)
            if block_size == 1 and not has_shrunk:
                break
            block_size = max(1, block_size // 2)
        return ShortenedRun(
            plan=self._best.plan,
            check=self._check,
            kept=self._kept(),
            drawn=len(self._best.faults),
            runs=self._runs,
        )

    def _kept(self) -> tuple[faults.DrawnFault, ...]:
        skipped = self._best.plan.skipped_faults
        return tuple(fault for fault in self._best.faults if fault.number not in skipped)

    def _try_blocks(self, size: int) -> bool:
        """Leaves out each block of so many faults, from the last on; returns whether any was not needed."""
        numbers = [fault.number for fault in reversed(self._kept())]
        results = [self._try_without(set(numbers[start : start + size])) for start in range(0, len(numbers), size)]
        return any(results)

    def _try_without(self, numbers: set[int]) -> bool:
        skipped = self._best.plan.skipped_faults
        return bool(numbers) and self._try(dataclasses.replace(self._best.plan, skipped_faults=skipped | numbers))

    def _try(self, plan: scenario.Plan) -> bool:
        """Keeps a plan if it still breaks the check."""
        if plan == self._best.plan or self._runs >= self._max_runs:
            return False
        self._runs += 1
        report = self._play(plan)
        if all(finding.check != self._check for finding in report.findings):
            return False
        self._best = report
        return True
