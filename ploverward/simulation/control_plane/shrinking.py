"""Reduces a run that broke a check to a few faults with which it still breaks that check (docs/simulate.md 2).

The search is greedy, like delta debugging (Zeller and Hildebrandt, 2002). It omits the closing fault, then the faults
after the finding, then ever smaller blocks of the others, and keeps each reduction that still breaks the same check. An
omitted fault is drawn as before but not begun, so that the later ones come at nearly the same moments. The result is a
run with a history of its own, small enough to be read.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import scenario

MAX_RUNS = 40  # limit for one reduction; a run takes about two seconds


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShortenedRun:
    """The shortest run that was found.

    Attributes:
        plan: The plan of the run.
        check: The check that the run breaks.
        kept: The remaining faults.
        drawn: Number of faults that were drawn, omitted ones included.
        runs: Number of runs that the search executed.
    """

    plan: scenario.Plan
    check: str
    kept: tuple[faults.DrawnFault, ...]
    drawn: int
    runs: int

    @property
    def has_closing(self) -> bool:
        """Whether the run still has its closing fault."""
        return bool(self.plan.closing)


class RunShortener:
    """The search for the shortest run that breaks the first check that a given run broke.

    Args:
        report: The report of the run that broke a check.
        play: Executes a plan and returns its report.
        max_runs: Maximum number of plans to execute.
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
        """Tries to omit each block of `size` faults, from the last to the first; returns whether any was not needed."""
        numbers = [fault.number for fault in reversed(self._kept())]
        results = [self._try_without(set(numbers[start : start + size])) for start in range(0, len(numbers), size)]
        return any(results)

    def _try_without(self, numbers: set[int]) -> bool:
        skipped = self._best.plan.skipped_faults
        return bool(numbers) and self._try(dataclasses.replace(self._best.plan, skipped_faults=skipped | numbers))

    def _try(self, plan: scenario.Plan) -> bool:
        """Executes a plan and keeps it if it still breaks the check; returns whether it was kept."""
        if plan == self._best.plan or self._runs >= self._max_runs:
            return False
        self._runs += 1
        report = self._play(plan)
        if all(finding.check != self._check for finding in report.findings):
            return False
        self._best = report
        return True
