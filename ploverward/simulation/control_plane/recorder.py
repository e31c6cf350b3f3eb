"""What happened in one run: its history and the findings of its checks (docs/simulate.md)."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from ploverward.simulation.control_plane import simulated_clock

MAX_FINDINGS = 3  # of one check in one run


class HistoryLine(NamedTuple):
    """One thing that happened.

    Attributes:
        when: By the simulated time, in seconds.
        text: What, and the values that describe it.
    """

    when: float
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A check that was broken.

    Attributes:
        when: By the simulated time, in seconds.
        check: Its name.
        text: What was seen.
    """

    when: float
    check: str
    text: str


class Recorder:
    """Collects the history and the findings of a run.

    Attributes:
        history: What happened; empty where no history is wanted.
        findings: What was found, by the time of the finding.
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
        """Notes that a check was broken; of each check only the first few findings are kept."""
        if sum(1 for finding in self.findings if finding.check == check) < MAX_FINDINGS:
            self.findings.append(Finding(when=self._clock.time, check=check, text=text))
        self.record(f"FINDING {check}: {text}")

    def add_failed_step(self, process: simulated_clock.Process, text: str) -> None:
        """Notes that a step of a process raised; `text` is the traceback."""
        self.add_finding("a step failed", f"{process.name}: {text.strip()}")
