"""One partition at its primary: accepts jobs, leases items and lists results (docs/batch.md 3, 4).

Each change is an entry of the replicated log. It is applied, acknowledged and made readable only once it is committed
(`replication`), so the next primary knows everything that clients have been shown or promised.

Item leases are held in memory only. A new primary does not lease out items of jobs that it inherited for the first
`CLAIM_PERIOD_S`, so that proxies can claim the items that they are still running. A report that a run was released
counts only if it comes from the proxy that holds the lease.

An answer with status 500 counts once, by the identifier of its attempt: whoever reports it, however often, and whatever
becomes of the run or of the lease. Its report is answered once the count is committed. Proxies of earlier versions only
report that a run failed, without an identifier; such a report counts as a released run does.
"""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Callable
from collections.abc import Iterator

from ploverward.store import job_entries
from ploverward.store import job_table
from ploverward.store import replication as replications
from ploverward.transport import batch_messages
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

_log = logging.getLogger(__name__)

LEASE_S = 3.0  # duration of an item lease, unless the proxy renews it
_OVER = (job_table.ItemState.LISTED, job_table.ItemState.FINISHING)
CLAIM_PERIOD_S = 1.2  # time for proxies to claim the items that they run from a new primary
RETRY_PAUSE_S = 0.5  # between a failed or released run of an item and its next lease

Reply = Callable[[Outcome], object]
Holder = object  # the connection of a proxy


class Partition:
    """A partition that this store is the primary of.

    Args:
        now: Returns the loop's clock, in seconds.
        wall_time: Returns the wall-clock time, in seconds.
        status_s: How long a job stays readable after its due time, in seconds.

    Attributes:
        table: The committed jobs.
        replication: The log and its copies; set by `begin`.
    """

    replication: replications.Replication

    def __init__(self, *, now: Callable[[], float], wall_time: Callable[[], float], status_s: float) -> None:
        self.table = job_table.JobTable()
        self._now = now
        self._wall_time = wall_time
        self._status_s = status_s
        self._pending_replies: dict[int, list[Reply]] = {}  # by position of the entry whose commit they wait for
        self._submitted: dict[tuple[str, str], int] = {}  # position by job, for jobs that are not committed yet
        self._uncommitted: dict[tuple[str, str], job_table.RouteUse] = {}  # their queued tokens
        self._expiring: set[tuple[str, str]] = set()  # jobs whose `JobForgotten` is not committed yet
        self._inherited: set[tuple[str, str]] = set()  # jobs accepted by an earlier primary
        self._serving_since: float | None = None

    def begin(self, replication: replications.Replication) -> None:
        """Starts acting as primary on a replicated log, and commits what is already on all copies."""
        self.replication = replication
        replication.advance_commit()

    def end(self) -> None:
        """Stops acting as primary.

        Pending requests are answered with `NOT_KNOWN`: only the successor knows whether their entries were committed.
        """
        pending, self._pending_replies = self._pending_replies, {}
        for replies in pending.values():
            for reply in replies:
                reply(Outcome.NOT_KNOWN)

    @property
    def is_serving(self) -> bool:
        """Whether clients may be answered."""
        return self.replication.is_serving

    # Commit.
    def _append(self, entry: job_entries.Entry, reply: Reply | None = None) -> int:
        position = self.replication.append(job_entries.pack(entry))
        if reply is not None:
            self._pending_replies.setdefault(position, []).append(reply)
        return position

    def handle_committed(self, position: int, data: bytes) -> None:
        """Applies an entry that was committed, and answers the requests that wait for it."""
        entry = job_entries.unpack(data)
        self.table.apply(position, entry)
        key = (entry.tenant, entry.job)
        if isinstance(entry, job_entries.JobAccepted):
            if self._submitted.pop(key, None) is None:
                self._inherited.add(key)
            self._uncommitted.pop(key, None)
        elif isinstance(entry, job_entries.JobForgotten):
            self.replication.log.forget(entry.positions)
            self._expiring.discard(key)
            self._inherited.discard(key)
        for reply in self._pending_replies.pop(position, ()):
            reply(Outcome.DONE)

    def tick(self) -> None:
        """Drops jobs that are no longer readable. Called periodically."""
        if not self.is_serving:
            return
        for job in self.table.expired_jobs(due_before=self._wall_time() - self._status_s):
            key = (job.tenant, job.job_id)
            if key not in self._expiring:
                self._expiring.add(key)
                self._append(job_entries.JobForgotten(*key, tuple(job.positions)))
        self.replication.log.trim(committed=self.replication.committed)

    # Jobs.
    def submit(self, message: batch_messages.SubmitJob, reply: Reply) -> None:
        """Accepts a job; a repeated call does not accept it again.

        `reply` is called once the job is committed, or immediately if it already is or if it exceeds the quota.
        """
        key = (message.tenant, message.job)
        if key in self.table.jobs:
            reply(Outcome.DONE)
            return
        if key in self._submitted:
            self._pending_replies.setdefault(self._submitted[key], []).append(reply)
            return
        entry = job_entries.JobAccepted(
            tenant=message.tenant,
            job=message.job,
            route=message.route,
            due_at=self._wall_time() + message.due_ms / 1000,
            max_attempts=message.max_attempts,
            body=message.body,
        )
        job = job_table.new_job(entry)
        use = job_table.RouteUse(job.route, job.origin, job.queued_tokens())
        if message.max_queued_tokens and self._queued_tokens(job.tenant, use) + use.tokens > message.max_queued_tokens:
            reply(Outcome.OVER_QUOTA)
            return
        self._uncommitted[key] = use
        self._submitted[key] = self._append(entry, reply)

    def _queued_tokens(self, tenant: str, new: job_table.RouteUse) -> int:
        """Returns the tokens of the tenant's unfinished items on the route of a new job."""
        uncommitted = [use for (owner, _job), use in self._uncommitted.items() if owner == tenant]
        uses = [*self.table.route_uses(tenant), *uncommitted]
        return sum(use.tokens for use in uses if use.is_same_route(new))

    def end_job(self, message: batch_messages.EndJob, reply: Reply) -> None:
        """Ends a job; a repeated call gets the same reply."""
        job = self.table.find(tenant=message.tenant, job=message.job)
        if job is None:
            reply(Outcome.NOT_FOUND)
        elif job.is_ended:
            reply(Outcome.DONE)
        else:
            self._append(job_entries.JobEnded(message.tenant, message.job), reply)

    # Items.
    def leasable_items(self) -> Iterator[tuple[job_table.Job, job_table.Item]]:
        """Yields the items that may be leased now, those of the job with the earliest due time first."""
        now = self._now()
        if self._serving_since is None:
            self._serving_since = now
        is_claim_period_over = now >= self._serving_since + CLAIM_PERIOD_S
        for job in self.table.open_jobs():
            if is_claim_period_over or (job.tenant, job.job_id) not in self._inherited:
                for item in self.table.leasable_items(job, now=now):
                    if job.has_failed_too_often(item):
                        # The earlier primary was lost between the last count and the result.
                        self._list_item(job, item, Condition.DEAD_LETTER, b"", None)
                    else:
                        yield job, item

    def lease(self, job: job_table.Job, item: job_table.Item, holder: Holder) -> batch_messages.LeasedItem:
        """Leases an item to a proxy."""
        self._set_lease(item, holder)
        return batch_messages.LeasedItem(
            tenant=job.tenant,
            job=job.job_id,
            item=item.item_id,
            route=job.route,
            host=job.origin.host,
            edition=job.origin.edition,
            path=item.path,
            headers=_json_bytes(item.headers),
            parcel=item.parcel.encode(),
            left_ms=max(0, math.floor((job.due_at - self._wall_time()) * 1000)),
        )

    def _set_lease(self, item: job_table.Item, holder: Holder) -> None:
        item.state = job_table.ItemState.LEASED
        item.holder = holder
        item.lease_ends_at = self._now() + LEASE_S

    def renew(self, running: batch_messages.RunningItem, holder: Holder) -> bool:
        """Renews the lease of an item that a proxy runs; returns False if the proxy should stop the run."""
        job = self.table.find(tenant=running.tenant, job=running.job)
        item = job.items.get(running.item) if job is not None else None
        if job is None or item is None or job.is_ended:
            return False
        if item.state in _OVER:
            return False
        if item.state is job_table.ItemState.LEASED and item.holder not in (holder, None):
            return False
        self._set_lease(item, holder)
        return True

    def detach_holder(self, holder: Holder) -> None:
        """Detaches leases from a connection that has closed, so that the proxy can renew them on another connection."""
        for job in self.table.open_jobs():
            for item in job.items.values():
                if item.holder is holder:
                    item.holder = None

    def finish(self, message: batch_messages.FinishItem, reply: Reply, holder: Holder) -> None:
        """Handles the end of a run: lists the result of the item, or makes the item available for another run."""
        job = self.table.find(tenant=message.tenant, job=message.job)
        item = job.items.get(message.item) if job is not None else None
        if job is None or item is None:
            reply(Outcome.NOT_FOUND)
            return
        condition = Condition(message.condition)
        if condition is Condition.FAILED and message.text:
            self._count_failed_attempt(job, item, message.text.decode(errors="replace"), reply)
        elif item.state in _OVER:
            reply(Outcome.DONE)
        elif condition is Condition.FAILED:
            self._count_failed_run(job, item, holder, reply)
        elif condition is Condition.RELEASED:
            self._release(item, holder)
            reply(Outcome.DONE)
        else:
            self._list_item(job, item, condition, message.text, reply)

    def _count_failed_attempt(self, job: job_table.Job, item: job_table.Item, attempt: str, reply: Reply) -> None:
        """Counts an attempt that was answered with 500, and gives the item up if there were enough of them.

        `reply` is called once the count is committed: with `NOT_NEEDED` if the item is not to be tried again.
        """

        def reply_with_verdict(outcome: Outcome) -> None:
            reply(Outcome.NOT_NEEDED if outcome is Outcome.DONE and item.state in _OVER else outcome)

        position = item.failed_attempts.get(attempt)
        _log_failure(item, is_counted=position is None)
        if position is None:
            entry = job_entries.ItemFailed(job.tenant, job.job_id, item.item_id, attempt)
            item.failed_attempts[attempt] = self._append(entry, reply_with_verdict)
            if item.state not in _OVER and job.has_failed_too_often(item):
                self._list_item(job, item, Condition.DEAD_LETTER, b"", None)
        elif position > self.replication.committed:
            self._pending_replies.setdefault(position, []).append(reply_with_verdict)
        else:
            reply_with_verdict(Outcome.DONE)

    def _count_failed_run(self, job: job_table.Job, item: job_table.Item, holder: Holder, reply: Reply) -> None:
        """Counts a run that failed, as reported by a proxy of an earlier version, and makes the item available."""
        is_counted = self._release(item, holder)
        _log_failure(item, is_counted=is_counted)
        if not is_counted:
            reply(Outcome.DONE)
        elif job.has_failed_too_often(item, further_runs=1):
            self._list_item(job, item, Condition.DEAD_LETTER, b"", reply)
        else:
            self._append(job_entries.ItemFailed(job.tenant, job.job_id, item.item_id), reply)

    def _release(self, item: job_table.Item, holder: Holder) -> bool:
        """Makes an item available for another run; returns False for a report of an earlier run, or a repeated one."""
        if item.state is not job_table.ItemState.LEASED or item.holder is not holder:
            return False
        item.state = job_table.ItemState.WAITING
        item.holder = None
        item.not_before = self._now() + RETRY_PAUSE_S
        return True

    def _list_item(
        self, job: job_table.Job, item: job_table.Item, condition: Condition, text: bytes, reply: Reply | None
    ) -> None:
        item.state = job_table.ItemState.FINISHING
        item.holder = None
        text = text if condition is Condition.DELIVERED else b""
        self._append(job_entries.ItemListed(job.tenant, job.job_id, item.item_id, int(condition), text), reply)


def _log_failure(item: job_table.Item, *, is_counted: bool) -> None:
    _log.info(
        "item_failure_reported",
        extra={"item": item.item_id, "failures": item.failures, "is_counted": is_counted},
    )


def _json_bytes(headers: dict[str, str]) -> bytes:
    return json.dumps(headers, separators=(",", ":")).encode()
