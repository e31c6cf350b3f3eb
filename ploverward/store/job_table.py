"""The jobs of one partition, their results and the leases of their items (docs/batch.md 4).

`JobTable` applies committed entries in log order, so every primary derives the same jobs, positions and results. Item
leases are not replicated: they exist only in the primary's memory, and proxies report the items that they run to its
successor.
"""

from __future__ import annotations

import dataclasses
import enum
import json
import typing
from collections.abc import Iterator

from ploverward.common import job_origin
from ploverward.store import job_entries
from ploverward.transport import batch_messages

# An item is given up after this many answers of 500 for each of its route's `tries`. Three times `tries` are allowed;
# the rest is left for answers that no store learns of, because the proxy that received them was killed.
FAILED_ANSWERS_PER_TRY = 2
PAGE_BYTES = 900_000  # size of the results in one page; the protocol allows one megabyte


class ItemState(enum.Enum):
    """Processing state of an item."""

    WAITING = "waiting"
    LEASED = "leased"
    FINISHING = "finishing"  # its result is in the log but not committed yet
    LISTED = "listed"


@dataclasses.dataclass(slots=True, kw_only=True)
class Item:
    """One item of a job.

    Attributes:
        item_id: The id of the item.
        path: Request path that the item is sent to.
        headers: Request headers: value by name.
        parcel: Request body in base64.
        tokens: Prompt tokens plus the maximum number of output tokens.
        state: Processing state.
        lease_ends_at: When the lease ends, in seconds of the loop's clock.
        not_before: Earliest time of the next lease after a failed or released run, in seconds of the loop's clock.
        holder: Connection of the proxy that holds the lease; None if that connection has closed.
        failed_attempts: Log position of each attempt that a replica answered with 500, by its identifier.
        failed_runs: Number of further runs with such an answer, reported by earlier versions, which do not tell how
            many answers a run had.
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
    failed_attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    failed_runs: int = 0

    @property
    def size_bytes(self) -> int:
        """Size of its request, as a proxy pulls it."""
        headers = sum(len(name) + len(value) for name, value in self.headers.items())
        return len(self.path) + headers + len(self.parcel)

    @property
    def failures(self) -> int:
        """Number of answers with 500 that are certain."""
        return len(self.failed_attempts) + self.failed_runs


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """One job.

    Attributes:
        tenant: The tenant that the job belongs to.
        job_id: The id of the job.
        route: The name of the job's route.
        due_at: When all results are due, in wall-clock seconds.
        max_attempts: Number of 500 responses after which an item may become a dead letter (`tries`).
        items: Items by id, in the order in which the client sent them.
        origin: The host and the path prefix of its route when it was submitted.
        results: Results in the order of their positions.
        is_ended: Whether the client has ended the job.
        positions: Positions of the job's entries in the log.
    """

    tenant: str
    job_id: str
    route: str
    due_at: float
    max_attempts: int
    items: dict[str, Item]
    origin: job_origin.JobOrigin = job_origin.UNKNOWN_ORIGIN
    results: list[batch_messages.ItemResult] = dataclasses.field(default_factory=list)
    is_ended: bool = False
    positions: list[int] = dataclasses.field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether items remain to be run."""
        return not self.is_ended and len(self.results) < len(self.items)

    def has_failed_too_often(self, item: Item, *, further_runs: int = 0) -> bool:
        """Returns whether an item is to be given up.

        Args:
            item: The item.
            further_runs: Number of failed runs to count besides those that the item has.
        """
        runs = item.failed_runs + further_runs
        certain = len(item.failed_attempts) + runs
        possible = len(item.failed_attempts) + runs * self.max_attempts
        return certain >= self.max_attempts and possible >= self.max_attempts * FAILED_ANSWERS_PER_TRY

    def queued_tokens(self) -> int:
        """Returns the tokens of all items without a listed result; 0 once the job is ended or complete."""
        if not self.is_open:
            return 0
        return sum(item.tokens for item in self.items.values() if item.state is not ItemState.LISTED)


class RouteUse(typing.NamedTuple):
    """The tokens that a job has queued on a route.

    Attributes:
        route: Name of the route when the job was submitted.
        origin: Host and path prefix of the route at that time.
        tokens: The number of tokens.
    """

    route: str
    origin: job_origin.JobOrigin
    tokens: int

    def is_same_route(self, other: RouteUse) -> bool:
        """Whether both are on a route of one name, or on routes of the same host and path prefix."""
        return self.route == other.route or job_origin.is_same_place(self.origin, other.origin)


class JobBody(typing.NamedTuple):
    """The parsed body of a job.

    Attributes:
        items: The items by id, in the order in which the client sent them.
        origin: Where the job was submitted.
    """

    items: dict[str, Item]
    origin: job_origin.JobOrigin


def parse_body(body: bytes) -> JobBody:
    """Parses a job body, which a proxy has already validated."""
    fields = json.loads(body)
    items = {
        row["id"]: Item(
            item_id=row["id"],
            path=row["path"],
            headers=dict(row.get("envelope") or {}),
            parcel=row.get("parcel") or "",
            tokens=int(row.get("tokens") or 0),
        )
        for row in fields["requests"]
    }
    return JobBody(items, job_origin.origin_of(fields))


def new_job(entry: job_entries.JobAccepted) -> Job:
    """Returns the job that an entry accepts."""
    body = parse_body(entry.body)
    return Job(
        tenant=entry.tenant,
        job_id=entry.job,
        route=entry.route,
        due_at=entry.due_at,
        max_attempts=entry.max_attempts,
        items=body.items,
        origin=body.origin,
    )


class JobTable:
    """The jobs of one partition.

    Attributes:
        jobs: Jobs by tenant and job id.
    """

    def __init__(self) -> None:
        self.jobs: dict[tuple[str, str], Job] = {}

    def apply(self, position: int, entry: job_entries.Entry) -> None:
        """Applies a committed entry.

        A repeated `JobAccepted` or `ItemListed` only records its position. Any other entry of a job that is not in the
        table, for example one that follows its `JobForgotten`, is ignored.
        """
        key = (entry.tenant, entry.job)
        if isinstance(entry, job_entries.JobAccepted) and key not in self.jobs:
            self.jobs[key] = new_job(entry)
        job = self.jobs.get(key)
        if job is None:
            return
        job.positions.append(position)
        if isinstance(entry, job_entries.JobEnded):
            job.is_ended = True
        elif isinstance(entry, job_entries.ItemListed):
            self._add_result(job, entry)
        elif isinstance(entry, job_entries.ItemFailed):
            self._count_failure(job, position, entry)
        elif isinstance(entry, job_entries.JobForgotten):
            del self.jobs[key]

    @staticmethod
    def _count_failure(job: Job, position: int, entry: job_entries.ItemFailed) -> None:
        item = job.items.get(entry.item)
        if item is None:
            return
        if entry.attempt:
            item.failed_attempts[entry.attempt] = position
        else:
            item.failed_runs += 1

    @staticmethod
    def _add_result(job: Job, entry: job_entries.ItemListed) -> None:
        item = job.items.get(entry.item)
        if item is None or item.state is ItemState.LISTED:
            return
        item.state = ItemState.LISTED
        job.results.append(batch_messages.ItemResult(entry.item, entry.condition, entry.text))

    def find(self, *, tenant: str, job: str) -> Job | None:
        """Returns a job, or None if it is not in the table."""
        return self.jobs.get((tenant, job))

    def route_uses(self, tenant: str) -> list[RouteUse]:
        """Returns the tokens of a tenant's unfinished items, which count against its quotas."""
        jobs = [job for job in self.jobs.values() if job.tenant == tenant]
        return [RouteUse(job.route, job.origin, job.queued_tokens()) for job in jobs]

    def expired_jobs(self, *, due_before: float) -> list[Job]:
        """Returns the jobs without items left to run that were due before a wall-clock time."""
        return [job for job in self.jobs.values() if not job.is_open and job.due_at < due_before]

    def open_jobs(self) -> list[Job]:
        """Returns the jobs with items left to run, earliest due time first."""
        return sorted((job for job in self.jobs.values() if job.is_open), key=lambda job: job.due_at)

    @staticmethod
    def leasable_items(job: Job, *, now: float) -> Iterator[Item]:
        """Yields the items of a job that may be leased now: waiting ones, and those whose lease has expired."""
        for item in job.items.values():
            has_expired = item.state is ItemState.LEASED and item.lease_ends_at <= now
            if has_expired or (item.state is ItemState.WAITING and item.not_before <= now):
                yield item

    @staticmethod
    def page(job: Job, *, after: int) -> tuple[batch_messages.ItemResult, ...]:
        """Returns results after a position: as many as fit into `PAGE_BYTES`, but at least one if there is any."""
        page: list[batch_messages.ItemResult] = []
        size = 0
        for result in job.results[after:]:
            size += len(result.text) + len(result.item)
            if page and size > PAGE_BYTES:
                break
            page.append(result)
        return tuple(page)
