"""One partition at its primary: the log, how far each copy is, and the jobs (docs/batch.md 2, 3).

An entry is committed once it is on this store's disk and on those of all backups. Only then is it applied, answered and
shown, so what was shown or promised is on all copies.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from collections.abc import Sequence

from ploverward.common import batch_partitions
from ploverward.store import job_entries
from ploverward.store import job_table
from ploverward.store import store_disk
from ploverward.transport import batch_messages
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

LEASE_S = 20.0  # of an item: longer than the longest run
RETRY_PAUSE_S = 0.5  # from a run that failed to the next one

Reply = Callable[[Outcome], object]


class PartitionLog:
    """The entries of a partition at one store.

    Attributes:
        entries: The first one has position 1.
        durable: Position of the last one that is synced here, and all before it.
    """

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.durable = 0

    def append(self, data: bytes) -> int:
        """Adds an entry and returns its position."""
        self.entries.append(data)
        return len(self.entries)

    def after(self, position: int) -> list[bytes]:
        """Returns the entries behind a position."""
        return self.entries[position:]


class Partition:
    """A partition that this store is the primary of.

    Args:
        number: Of the partition.
        owners: Its stores.
        log: What this store has of it.
        add: Writes an entry to this store's disk.
        now: The loop's clock, in seconds.
        wall_time: The time of day, in seconds.
        on_appended: Called after an entry was added: backups are to get it.

    Attributes:
        number: As given.
        owners: As given.
        log: As given.
        table: The committed jobs.
        stored_at: Position up to which each backup has the log on its disk.
        committed: Position of the last entry that all copies have.
    """

    def __init__(
        self,
        *,
        number: int,
        owners: batch_partitions.PartitionOwners,
        log: PartitionLog,
        add: Callable[[store_disk.StoredEntry], object],
        now: Callable[[], float],
        wall_time: Callable[[], float],
        on_appended: Callable[[Partition], object],
    ) -> None:
        self.number = number
        self.owners = owners
        self.log = log
        self.table = job_table.JobTable()
        self.stored_at = dict.fromkeys(owners.backups, 0)
        self._reported: dict[str, int] = {}  # by backup that has answered since this process began: its last position
        self._recovers_to: int | None = None  # what has to be committed before anything is answered; None: not known
        self.committed = 0
        self._add = add
        self._now = now
        self._wall_time = wall_time
        self._on_appended = on_appended
        self._waiting: dict[int, list[Callable[[], object]]] = {}  # position: what follows its commit
        self._submitted: dict[tuple[str, str], int] = {}  # jobs that are being written: position
        self._submitted_tokens: dict[tuple[str, str], dict[str, int]] = {}  # tenant and route: tokens by such a job

    @property
    def is_serving(self) -> bool:
        """Whether all that any copy had when this process took over is committed here.

        Until then it would show an older state than one that was shown, or miss what was promised.
        """
        return self._recovers_to is not None and self.committed >= self._recovers_to

    def _note_recovery(self) -> None:
        """All backups have answered, and none has more than this store, whose disk may have been lost."""
        last = len(self.log.entries)
        has_heard_all = self._reported.keys() >= set(self.owners.backups)
        if self._recovers_to is None and has_heard_all and max(self._reported.values(), default=0) <= last:
            self._recovers_to = last

    def absence(self) -> Outcome:
        """What is answered where something is not there."""
        return Outcome.NOT_FOUND if self.is_serving else Outcome.NOT_OWNER

    # Commit.
    def _append(self, entry: job_entries.Entry, *, then: Callable[[], object]) -> int:
        data = job_entries.pack(entry)
        position = self.log.append(data)
        self._waiting.setdefault(position, []).append(then)
        self._add(store_disk.StoredEntry(self.number, position, data))
        self._on_appended(self)
        return position

    def handle_stored(self, backup: str, position: int) -> None:
        """A backup has the log up to this position."""
        if backup in self.stored_at:
            self._reported[backup] = position
            self._note_recovery()
            self.stored_at[backup] = max(self.stored_at[backup], min(position, len(self.log.entries)))
            self.advance()

    def adopt(self, *, first: int, entries: Sequence[bytes]) -> None:
        """Takes over what a backup has and this store lacks."""
        for position, data in enumerate(entries, first):
            if position == len(self.log.entries) + 1:
                self.log.append(data)
                self._add(store_disk.StoredEntry(self.number, position, data))

    def advance(self) -> None:
        """Applies what all copies have by now, and answers those who wait for it."""
        reached = min([self.log.durable, *self.stored_at.values()])
        while self.committed < reached:
            self.committed += 1
            self.table.apply(job_entries.unpack(self.log.entries[self.committed - 1]))
            for then in self._waiting.pop(self.committed, ()):
                then()

    # Jobs.
    def submit(self, message: batch_messages.SubmitJob, reply: Reply) -> None:
        """Takes a job once; `reply` is called when it is kept, or at once where it is not taken."""
        if not self.is_serving:
            reply(Outcome.NOT_OWNER)
            return
        key = (message.tenant, message.job)
        if key in self.table.jobs:
            reply(Outcome.DONE)
            return
        if key in self._submitted:
            self._waiting.setdefault(self._submitted[key], []).append(lambda: reply(Outcome.DONE))
            return
        tokens = sum(item.tokens for item in job_table.items_of(message.body).values())
        if message.max_queued_tokens and self._queued(message) + tokens > message.max_queued_tokens:
            reply(Outcome.OVER_QUOTA)
            return
        entry = job_entries.JobAccepted(
            tenant=message.tenant,
            job=message.job,
            route=message.route,
            due_at=self._wall_time() + message.due_ms / 1000,
            max_attempts=message.max_attempts,
            body=message.body,
        )
        self._submitted_tokens.setdefault((message.tenant, message.route), {})[message.job] = tokens
        self._submitted[key] = self._append(entry, then=lambda: self._handle_accepted(message, reply))

    def _queued(self, message: batch_messages.SubmitJob) -> int:
        submitted = self._submitted_tokens.get((message.tenant, message.route), {})
        return self.table.queued_tokens(tenant=message.tenant, route=message.route) + sum(submitted.values())

    def _handle_accepted(self, message: batch_messages.SubmitJob, reply: Reply) -> None:
        self._submitted.pop((message.tenant, message.job), None)
        self._submitted_tokens[message.tenant, message.route].pop(message.job, None)
        reply(Outcome.DONE)

    def end_job(self, message: batch_messages.EndJob, reply: Reply) -> None:
        """Ends a job; repeated calls are answered alike."""
        job = self.table.find(tenant=message.tenant, job=message.job) if self.is_serving else None
        if job is None:
            reply(self.absence())
        elif job.is_ended:
            reply(Outcome.DONE)
        else:
            self._append(job_entries.JobEnded(message.tenant, message.job), then=lambda: reply(Outcome.DONE))

    # Items.
    def lease(self, job: job_table.Job, item: job_table.Item) -> batch_messages.PulledItem:
        """Leases an item to a proxy."""
        item.state = job_table.ItemState.LEASED
        item.lease_ends_at = self._now() + LEASE_S
        return batch_messages.PulledItem(
            tenant=job.tenant,
            job=job.job_id,
            item=item.item_id,
            route=job.route,
            path=item.path,
            headers=_json_bytes(item.headers),
            parcel=item.parcel.encode(),
            left_ms=max(0, math.floor((job.due_at - self._wall_time()) * 1000)),
        )

    def finish(self, message: batch_messages.FinishItem, reply: Reply) -> None:
        """A run ended: the item is listed, or waits for another run."""
        job = self.table.find(tenant=message.tenant, job=message.job)
        item = job.items.get(message.item) if job is not None else None
        if job is None or item is None:
            reply(self.absence())
            return
        if item.state in (job_table.ItemState.LISTED, job_table.ItemState.FINISHING):
            reply(Outcome.DONE)
            return
        condition = Condition(message.condition)
        if condition is Condition.FAILED:
            item.failures += 1
            condition = Condition.DEAD_LETTER if item.failures >= job.max_attempts else Condition.RELEASED
        if condition is Condition.RELEASED:
            item.state = job_table.ItemState.WAITING
            item.not_before = self._now() + RETRY_PAUSE_S
            reply(Outcome.DONE)
            return
        item.state = job_table.ItemState.FINISHING
        text = message.text if condition is Condition.DELIVERED else b""
        entry = job_entries.ItemListed(message.tenant, message.job, message.item, int(condition), text)
        self._append(entry, then=lambda: reply(Outcome.DONE))


def _json_bytes(headers: dict[str, str]) -> bytes:
    return json.dumps(headers, separators=(",", ":")).encode()
