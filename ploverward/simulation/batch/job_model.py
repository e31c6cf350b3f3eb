"""Independent model of the batch tier, which checks each answer against those that callers received before.

An acknowledged job is kept; a position that was read keeps its result; an item has one position; a tenant's queued
tokens stay within its quota; a job that every answer rejected is never run. An item is a dead letter only after its
`tries` answers of 500, and is not given out after three times as many: the model counts the answers itself, those
included that no store learnt of.
"""

from __future__ import annotations

import collections
import dataclasses
import typing
from collections.abc import Callable

from ploverward.transport.batch_messages import Condition

MAX_ANSWERS_PER_TRY = 3  # answers of 500 for each of `tries`, after which an item may not reach a replica again


class Result(typing.NamedTuple):
    """One result on a page of results."""

    item: str
    condition: int
    text: bytes


@dataclasses.dataclass(slots=True)
class JobRecord:
    """Knowledge of the callers about one job.

    Attributes:
        tokens: Number of tokens, by item.
        submitted_at: Simulated time of the first submission.
        is_acknowledged: Whether a submission was ever acknowledged.
        is_uncertain: Whether a submission with unknown outcome may have been accepted.
        is_end_requested: Whether its client requested the end of the job.
        is_end_acknowledged: Whether that request was acknowledged.
        results: The longest list of results that was read.
        finished: All texts that proxies have sent as the output of an item, by item.
        failed: Number of answers of 500 that replicas gave, by item.
        lost: Number of them that were lost with their proxy, by item.
    """

    tokens: dict[str, int]
    submitted_at: float
    is_acknowledged: bool = False
    is_uncertain: bool = False
    is_end_requested: bool = False
    is_end_acknowledged: bool = False
    results: list[Result] = dataclasses.field(default_factory=list)
    finished: dict[str, set[bytes]] = dataclasses.field(default_factory=dict)
    failed: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    lost: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


class JobModel:
    """Checks the answers that callers receive.

    Args:
        max_queued_tokens: The tenant's quota.
        max_tries: The route's `tries`.
        on_finding: Called with the description of each failed check.

    Attributes:
        jobs: All jobs, by id.
        findings: Descriptions of failed checks.
    """

    def __init__(self, *, max_queued_tokens: int, max_tries: int, on_finding: Callable[[str], object]) -> None:
        self.jobs: dict[str, JobRecord] = {}
        self.findings: list[str] = []
        self._max_queued_tokens = max_queued_tokens
        self._max_tries = max_tries
        self._on_finding = on_finding

    def note_finding(self, text: str) -> None:
        """Records a failed check."""
        self.findings.append(text)
        self._on_finding(text)

    def note_acknowledged(self, job_id: str) -> None:
        """Records that a job was acknowledged; the first time, checks that its items fit the quota."""
        job = self.jobs[job_id]
        if job.is_acknowledged:
            return
        job.is_acknowledged = True
        queued = sum(map(self._queued_tokens, self.jobs.values()))
        if queued > self._max_queued_tokens:
            self.note_finding(f"QUOTA {job_id}: {queued} tokens wait")

    def _queued_tokens(self, job: JobRecord) -> int:
        if not job.is_acknowledged or job.is_end_requested:
            return 0
        return sum(tokens for item, tokens in job.tokens.items() if not self._may_be_listed(job, item))

    def _may_be_listed(self, job: JobRecord, item: str) -> bool:
        """Returns whether an item may have a result: its output was sent, or it failed often enough."""
        return item in job.finished or job.failed[item] >= self._max_tries

    def may_be_complete(self, job: JobRecord) -> bool:
        """Returns whether all items of a job may have a result."""
        return all(self._may_be_listed(job, item) for item in job.tokens)

    def note_page(self, job_id: str, *, after: int, total: int, page: list[Result]) -> None:
        """Checks a page of results that was read from position `after` on, and records its new results."""
        job = self.jobs[job_id]
        if total != len(job.tokens):
            self.note_finding(f"MIXED {job_id}: total {total} of {len(job.tokens)}")
        for position, result in enumerate(page, after):
            if position < len(job.results):
                if job.results[position] != result:
                    self.note_finding(f"TWICE {job_id}: position {position} was {job.results[position]}, is {result}")
                continue
            self._note_new_result(job_id, job, position, result)

    def _note_new_result(self, job_id: str, job: JobRecord, position: int, result: Result) -> None:
        if position > len(job.results):
            self.note_finding(f"LOST {job_id}: position {position} without the one before")
            return
        if any(known.item == result.item for known in job.results):
            self.note_finding(f"TWICE {job_id}: {result.item} at a second position")
        if result.condition == Condition.DEAD_LETTER:
            if job.failed[result.item] < self._max_tries:
                self.note_finding(
                    f"MIXED {job_id}: {result.item} is a dead letter after {job.failed[result.item]} answers"
                )
        elif result.text not in job.finished.get(result.item, ()):
            self.note_finding(f"MIXED {job_id}: {result.item} has a text that no run gave")
        job.results.append(result)

    def note_missing(self, job_id: str, *, was_acknowledged: bool) -> None:
        """Checks a definite answer that a job does not exist.

        Args:
            job_id: The job.
            was_acknowledged: Whether the job was acknowledged before the request was sent.
        """
        if was_acknowledged:
            self.note_finding(f"LOST {job_id}: not found")

    def note_page_length(self, job_id: str, *, known: int, listed: int) -> None:
        """Checks that a page from position 0 has all results that were read before it was requested.

        Args:
            job_id: The job.
            known: Number of results that were read before the request was sent.
            listed: Number of results on the page.
        """
        if listed < known:
            self.note_finding(f"LOST {job_id}: {listed} results, {known} were read")

    def note_pulled_item(self, job_id: str, item: str, *, was_end_acknowledged: bool) -> None:
        """Checks that an item given out to a proxy may run.

        Args:
            job_id: The job.
            item: The item.
            was_end_acknowledged: Whether the job's end was acknowledged before the request was sent.
        """
        job = self.jobs.get(job_id)
        if job is None or not (job.is_acknowledged or job.is_uncertain):
            self.note_finding(f"REFUSED {job_id}: it runs")
        elif was_end_acknowledged:
            self.note_finding(f"UNASKED {job_id}: it was ended")
        elif job.failed[item] >= MAX_ANSWERS_PER_TRY * self._max_tries:
            self.note_finding(f"BUDGET {job_id}: {item} runs after {job.failed[item]} answers of 500")
