"""What callers of the batch tier were told, and what they may be told after it: an independent model.

A job that was taken stays; a position that was read keeps its result; an item has one position; a tenant's waiting
items stay below its quota; a job that was refused by every answer is never run.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Callable


class Result(typing.NamedTuple):
    """One result of a page."""

    item: str
    condition: int
    text: bytes


@dataclasses.dataclass(slots=True)
class JobRecord:
    """What is known of one job.

    Attributes:
        tokens: By item.
        submitted_at: When it was handed in first.
        is_acknowledged: Whether it was ever acknowledged.
        is_uncertain: Whether it may have been taken by an attempt of which nothing is known.
        is_end_requested: Whether its client asked for its end.
        is_end_acknowledged: Whether that was acknowledged.
        results: The longest list that was read.
        finished: Items whose output a proxy has handed over, with all texts that were.
    """

    tokens: dict[str, int]
    submitted_at: float
    is_acknowledged: bool = False
    is_uncertain: bool = False
    is_end_requested: bool = False
    is_end_acknowledged: bool = False
    results: list[Result] = dataclasses.field(default_factory=list)
    finished: dict[str, set[bytes]] = dataclasses.field(default_factory=dict)


class JobModel:
    """Checks answers.

    Args:
        max_queued_tokens: The tenant's quota.
        on_finding: Called with each finding when it is made.

    Attributes:
        jobs: By id.
        findings: What broke a rule, in words.
    """

    def __init__(self, *, max_queued_tokens: int, on_finding: Callable[[str], object]) -> None:
        self.jobs: dict[str, JobRecord] = {}
        self.findings: list[str] = []
        self._max_queued_tokens = max_queued_tokens
        self._on_finding = on_finding

    def note_finding(self, text: str) -> None:
        """Something broke a rule."""
        self.findings.append(text)
        self._on_finding(text)

    def note_acknowledged(self, job_id: str) -> None:
        """A job was acknowledged; the first time, its items must have fitted the quota."""
        job = self.jobs[job_id]
        if job.is_acknowledged:
            return
        job.is_acknowledged = True
        queued = sum(map(self._queued, self.jobs.values()))
        if queued > self._max_queued_tokens:
            self.note_finding(f"QUOTA {job_id}: {queued} tokens wait")

    @staticmethod
    def _queued(job: JobRecord) -> int:
        if not job.is_acknowledged or job.is_end_requested:
            return 0
        return sum(tokens for item, tokens in job.tokens.items() if item not in job.finished)

    def note_page(self, job_id: str, *, after: int, total: int, page: list[Result]) -> None:
        """A page was read."""
        job = self.jobs[job_id]
        if total != len(job.tokens):
            self.note_finding(f"MIXED {job_id}: total {total} of {len(job.tokens)}")
        for position, result in enumerate(page, after):
            if position < len(job.results):
                if job.results[position] != result:
                    self.note_finding(f"TWICE {job_id}: position {position} was {job.results[position]}, is {result}")
                continue
            self._note_new(job_id, job, position, result)

    def _note_new(self, job_id: str, job: JobRecord, position: int, result: Result) -> None:
        if position > len(job.results):
            self.note_finding(f"LOST {job_id}: position {position} without the one before")
            return
        if any(known.item == result.item for known in job.results):
            self.note_finding(f"TWICE {job_id}: {result.item} at a second position")
        if result.text not in job.finished.get(result.item, ()):
            self.note_finding(f"MIXED {job_id}: {result.item} has a text that no run gave")
        job.results.append(result)

    def note_missing(self, job_id: str, *, was_acknowledged: bool) -> None:
        """A store said for certain that there is no such job; `was_acknowledged`: before it was asked."""
        if was_acknowledged:
            self.note_finding(f"LOST {job_id}: not found")

    def note_page_length(self, job_id: str, *, known: int, listed: int) -> None:
        """A page from position 0 has fewer results than were read before it was asked for."""
        if listed < known:
            self.note_finding(f"LOST {job_id}: {listed} results, {known} were read")

    def note_pulled_item(self, job_id: str, *, was_end_acknowledged: bool) -> None:
        """An item of a job was given out to be run; `was_end_acknowledged`: the job's end was acknowledged before."""
        job = self.jobs.get(job_id)
        if job is None or not (job.is_acknowledged or job.is_uncertain):
            self.note_finding(f"REFUSED {job_id}: it runs")
        elif was_end_acknowledged:
            self.note_finding(f"UNASKED {job_id}: it was ended")
