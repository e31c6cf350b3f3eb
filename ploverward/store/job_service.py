"""Handlers for messages from proxies: job calls, leases of items, results (docs/batch.md 4).

A request for a tenant is served only while this store is the primary of the tenant's partition and holds the leases
that allow it to answer.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from ploverward.common import batch_partitions
from ploverward.store import partition as partitions
from ploverward.transport import batch_messages
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport.batch_messages import Outcome

MAX_PULLED_BYTES = 1024 * 1024  # size of the items in one reply; a single larger item is sent alone


class JobService:
    """Serves the requests of proxies.

    Args:
        owned: The partitions that this store is primary of, by number.
        has_capacity: Returns whether disk and memory can hold another job.
        handshake: Identifies this store to proxies that identify themselves; tells them that it counts each failed
            attempt.
    """

    def __init__(
        self,
        *,
        owned: Mapping[int, partitions.Partition],
        has_capacity: Callable[[], bool],
        handshake: messages.Handshake,
    ) -> None:
        self._owned = owned
        self._has_capacity = has_capacity
        self._handshake = handshake
        self._identified: set[interfaces.Connection] = set()  # connections of proxies that read `LeasedItems`

    def handlers(self) -> dict[type, Callable]:
        """Returns the handler of each message type, called with (connection, message)."""
        return {
            messages.Handshake: self._handle_handshake,
            batch_messages.SubmitJob: self._handle_submit,
            batch_messages.PullItems: self._handle_pull,
            batch_messages.RenewItems: self._handle_renewal,
            batch_messages.FinishItem: self._handle_finish,
            batch_messages.ReadJob: self._handle_read_job,
            batch_messages.ReadItem: self._handle_read_item,
            batch_messages.EndJob: self._handle_end_job,
        }

    def handle_end(self, connection: interfaces.Connection) -> None:
        """Detaches item leases from a proxy connection that has closed."""
        self._identified.discard(connection)
        for owned in self._owned.values():
            owned.detach_holder(connection)

    def _handle_handshake(self, connection: interfaces.Connection, _message: messages.Handshake) -> None:
        self._identified.add(connection)
        connection.send(self._handshake)

    def _serving_partition(self, tenant: str) -> partitions.Partition | None:
        """Returns the tenant's partition if this store may answer for it, else None."""
        owned = self._owned.get(batch_partitions.partition_of(tenant))
        return owned if owned is not None and owned.is_serving else None

    @staticmethod
    def _replier(connection: interfaces.Connection, number: int) -> partitions.Reply:
        return lambda outcome: connection.send(batch_messages.JobReply(number, int(outcome)))

    # Jobs.
    def _handle_submit(self, connection: interfaces.Connection, message: batch_messages.SubmitJob) -> None:
        reply = self._replier(connection, message.number)
        owned = self._serving_partition(message.tenant)
        if owned is None or not self._has_capacity():
            reply(Outcome.NOT_OWNER)
        else:
            owned.submit(message, reply)

    def _handle_end_job(self, connection: interfaces.Connection, message: batch_messages.EndJob) -> None:
        reply = self._replier(connection, message.number)
        owned = self._serving_partition(message.tenant)
        if owned is None:
            reply(Outcome.NOT_OWNER)
        else:
            owned.end_job(message, reply)

    def _handle_read_job(self, connection: interfaces.Connection, message: batch_messages.ReadJob) -> None:
        owned = self._serving_partition(message.tenant)
        job = owned.table.find(tenant=message.tenant, job=message.job) if owned is not None else None
        if owned is None or job is None:
            outcome = Outcome.NOT_OWNER if owned is None else Outcome.NOT_FOUND
            connection.send(batch_messages.JobPage(message.number, int(outcome), 0, ()))
            return
        page = owned.table.page(job, after=message.after)
        connection.send(batch_messages.JobPage(message.number, int(Outcome.DONE), len(job.items), page))

    def _handle_read_item(self, connection: interfaces.Connection, message: batch_messages.ReadItem) -> None:
        owned = self._serving_partition(message.tenant)
        job = owned.table.find(tenant=message.tenant, job=message.job) if owned is not None else None
        item = job.items.get(message.item) if job is not None else None
        if item is None:
            outcome = Outcome.NOT_OWNER if owned is None else Outcome.NOT_FOUND
            connection.send(batch_messages.ItemBody(message.number, int(outcome), b""))
            return
        connection.send(batch_messages.ItemBody(message.number, int(Outcome.DONE), item.parcel.encode()))

    # Items.
    def _handle_pull(self, connection: interfaces.Connection, message: batch_messages.PullItems) -> None:
        """Leases the items with the earliest due times across all partitions that this store serves.

        The reply has at most `MAX_PULLED_BYTES`: a proxy refuses a frame above `frames.MAX_FRAME_BYTES`, and parses a
        frame in one call. It gets the rest with its next pulls.
        """
        found = [
            (job.due_at, owned, job, item)
            for owned in self._owned.values()
            if owned.is_serving
            for job, item in owned.leasable_items()
        ]
        found.sort(key=lambda row: row[0])
        leased: list[batch_messages.LeasedItem] = []
        size = 0
        for _due_at, owned, job, item in found[: message.limit]:
            size += item.size_bytes
            if leased and size > MAX_PULLED_BYTES:
                break
            leased.append(owned.lease(job, item, connection))
        if connection in self._identified:
            connection.send(batch_messages.LeasedItems(message.number, tuple(leased)))
        else:
            connection.send(batch_messages.PulledItems(message.number, tuple(map(_without_host, leased))))

    def _handle_renewal(self, connection: interfaces.Connection, message: batch_messages.RenewItems) -> None:
        """Renews the leases of items that a proxy runs; the reply lists the runs that it should stop."""
        stopped = []
        for running in message.items:
            owned = self._serving_partition(running.tenant)
            if owned is not None and not owned.renew(running, connection):
                stopped.append(running)
        connection.send(batch_messages.ItemsRenewed(message.number, tuple(stopped)))

    def _handle_finish(self, connection: interfaces.Connection, message: batch_messages.FinishItem) -> None:
        reply = self._replier(connection, message.number)
        owned = self._serving_partition(message.tenant)
        if owned is None:
            reply(Outcome.NOT_OWNER)
        else:
            owned.finish(message, reply, connection)


def _without_host(item: batch_messages.LeasedItem) -> batch_messages.PulledItem:
    """Returns an item in the form that proxies of earlier versions read."""
    fields = item._asdict()
    return batch_messages.PulledItem(**{name: fields[name] for name in batch_messages.PulledItem._fields})
