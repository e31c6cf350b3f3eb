"""The jobs of one partition: what was taken, what is listed, who has leased what (docs/batch.md 4).

`JobTable` applies committed entries in their order, so every primary has the same jobs, positions and results. Leases
are no part of that: only the primary has them, in memory. Proxies tell its successor what they run.
"""

from __future__ import annotations

import dataclasses
import enum
import json
from collections.abc import Iterator

from ploverward.store import job_entries
from ploverward.transport import batch_messages

PAGE_BYTES = 900_000  # of results in one page; the protocol allows a megabyte


class ItemState(enum.Enum):
    """Where an item is."""

    WAITING = "waiting"
    LEASED = "leased"
    FINISHING = "finishing"  # its result is being written
    LISTED = "listed"


@dataclasses.dataclass(slots=True, kw_only=True)
class Item:
    """One item of a job.

    Attributes:
        item_id: Its id.
        path: Where it is sent to.
        headers: Value by name.
        parcel: Its body in base64.
        tokens: Of the prompt and the most out.
        state: Where it is.
        lease_ends_at: By the loop's clock in seconds.
        holder: The connection of the proxy that has leased it; None where that has ended.
        not_before: Before which it is not leased again, by the loop's clock in seconds.
        failures: How many replicas answered 500.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    parcel: str
    tokens: int
    state: ItemState = ItemState.WAITING
    lease_ends_at: float = 0.0
    not_before: float = 0.0
    holder: object | None = None
    failures: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """One job.

    Attributes:
        tenant: Whose it is.
        job_id: Its id.
        route: The name of its route.
        due_at: When all results are due, by wall-clock time in seconds.
        max_attempts: Answers of 500 after which an item is a dead letter.
        items: By id, in the client's order.
        results: In the order of their positions.
        is_ended: Whether its client ended it.
        positions: Of its entries in the log.
    """

    tenant: str
    job_id: str
    route: str
    due_at: float
    max_attempts: int
    items: dict[str, Item]
    results: list[batch_messages.ItemResult] = dataclasses.field(default_factory=list)
    is_ended: bool = False
    positions: list[int] = dataclasses.field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether items are still to run."""
        return not self.is_ended and len(self.results) < len(self.items)

    def queued_tokens(self) -> int:
        """Tokens of items that are not listed; none once its client has ended it."""
        if not self.is_open:
            return 0
        return sum(item.tokens for item in self.items.values() if item.state is not ItemState.LISTED)


def items_of(body: bytes) -> dict[str, Item]:
    """Reads the items of a job that a proxy has checked."""
    rows = json.loads(body)["requests"]
    return {
        row["id"]: Item(
            item_id=row["id"],
            path=row["path"],
            headers=dict(row.get("envelope") or {}),
            parcel=row.get("parcel") or "",
            tokens=int(row.get("tokens") or 0),
        )
        for row in rows
    }


def _job_of(entry: job_entries.JobAccepted) -> Job:
    return Job(
        tenant=entry.tenant,
        job_id=entry.job,
        route=entry.route,
        due_at=entry.due_at,
        max_attempts=entry.max_attempts,
        items=items_of(entry.body),
    )


class JobTable:
    """The jobs of one partition.

    Attributes:
        jobs: By tenant and id.
    """

    def __init__(self) -> None:
        self.jobs: dict[tuple[str, str], Job] = {}

    def apply(self, position: int, entry: job_entries.Entry) -> None:
        """Applies a committed entry; one that comes again, or comes too late, changes nothing."""
        key = (entry.tenant, entry.job)
        if isinstance(entry, job_entries.JobAccepted) and key not in self.jobs:
            self.jobs[key] = _job_of(entry)
        job = self.jobs.get(key)
        if job is None:
            return
        job.positions.append(position)
        if isinstance(entry, job_entries.JobEnded):
            job.is_ended = True
        elif isinstance(entry, job_entries.ItemListed):
            self._list(job, entry)
        elif isinstance(entry, job_entries.ItemFailed):
            self._note_failure(job, entry)
        elif isinstance(entry, job_entries.JobForgotten):
            del self.jobs[key]

    @staticmethod
    def _note_failure(job: Job, entry: job_entries.ItemFailed) -> None:
        item = job.items.get(entry.item)
        if item is not None:
            item.failures += 1

    @staticmethod
    def _list(job: Job, entry: job_entries.ItemListed) -> None:
        item = job.items.get(entry.item)
        if item is None or item.state is ItemState.LISTED:
            return
        item.state = ItemState.LISTED
        job.results.append(batch_messages.ItemResult(entry.item, entry.condition, entry.text))

    def find(self, *, tenant: str, job: str) -> Job | None:
        """Returns a job, or None."""
        return self.jobs.get((tenant, job))

    def queued_tokens(self, *, tenant: str, route: str) -> int:
        """Tokens that a tenant has waiting on a route."""
        return sum(job.queued_tokens() for job in self.jobs.values() if (job.tenant, job.route) == (tenant, route))

    def expired_jobs(self, *, due_before: float) -> list[Job]:
        """Jobs that nothing is to run for any more, and that were due before a time of day."""
        return [job for job in self.jobs.values() if not job.is_open and job.due_at < due_before]

    def open_jobs(self) -> list[Job]:
        """Jobs with items to run, the earliest due first."""
        return sorted((job for job in self.jobs.values() if job.is_open), key=lambda job: job.due_at)

    @staticmethod
    def free_items(job: Job, *, now: float) -> Iterator[Item]:
        """Items of a job that may be leased now: those that wait, and those whose lease has ended."""
        for item in job.items.values():
            is_overdue = item.state is ItemState.LEASED and item.lease_ends_at <= now
            if is_overdue or (item.state is ItemState.WAITING and item.not_before <= now):
                yield item

    @staticmethod
    def page(job: Job, *, after: int) -> tuple[batch_messages.ItemResult, ...]:
        """Results from a position on, one at least if there is one, as many as a page takes."""
        page: list[batch_messages.ItemResult] = []
        size = 0
        for result in job.results[after:]:
            size += len(result.text) + len(result.item)
            if page and size > PAGE_BYTES:
                break
            page.append(result)
        return tuple(page)
