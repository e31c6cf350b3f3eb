"""The history of one run and the findings of its checks (docs/simulate.md)."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from ploverward.simulation.control_plane import simulated_clock

MAX_FINDINGS = 3  # number of findings that are kept for one check in one run


class HistoryLine(NamedTuple):
    """One recorded event of a run.

    Attributes:
        when: Simulated time, in seconds.
        text: Description of the event, followed by its values.
    """

    when: float
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a check.

    Attributes:
        when: Simulated time, in seconds.
        check: Name of the check.
        text: Description of the violation.
    """

    when: float
    check: str
    text: str


class Recorder:
    """Collects the history and the findings of a run.

    Attributes:
        history: Recorded events; empty unless a history is requested.
        findings: Violated checks, in the order in which they were reported.
    """

    def __init__(self, *, clock: simulated_clock.Clock, keeps_history: bool) -> None:
        self.history: list[HistoryLine] = []
        self.findings: list[Finding] = []
        self._clock = clock
        self._keeps_history = keeps_history

    def record(self, text: str, **values: object) -> None:
        """Adds a line to the history."""
        if self._keeps_history:
            described = " ".join(f"{name}={value}" for name, value in values.items())
            self.history.append(HistoryLine(self._clock.time, f"{text} {described}"))

    def add_finding(self, check: str, text: str) -> None:
        """Adds a finding, unless the check has `MAX_FINDINGS` already, and records it in the history."""
        if sum(1 for finding in self.findings if finding.check == check) < MAX_FINDINGS:
            self.findings.append(Finding(when=self._clock.time, check=check, text=text))
        self.record(f"FINDING {check}: {text}")

    def add_failed_step(self, process: simulated_clock.Process, text: str) -> None:
        """Adds a finding for an exception in a step of a process; `text` is the traceback."""
        self.add_finding("a step failed", f"{process.name}: {text.strip()}")
