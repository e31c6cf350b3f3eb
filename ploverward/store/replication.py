"""Sends the logs of this store's partitions to their backups (docs/batch.md 3).

A `BackupLink` owns one connection to one backup, and how much of each log was sent on it. A new connection begins with
the question how far the backup is, which names what the primary would write next. What is behind the backup's answer is
sent, then each entry as it is added. A backup that has more, because the primary's disk was lost, sends that back.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from ploverward.store import partition as partitions
from ploverward.transport import batch_messages
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection

MAX_SENT_BYTES = 2 * 1024 * 1024  # of entries in one message


class BackupLink:
    """The connection to one backup, for all partitions that it keeps copies of.

    Args:
        loop: The event loop.
        address: Of the backup and its port.
        peer_timeout_s: A connection on which nothing arrives for so long is closed.
        partitions_of: Returns the partitions that the backup with this address keeps.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        address: peer_connection.SocketAddress,
        peer_timeout_s: float,
        partitions_of: Callable[[str], Iterable[partitions.Partition]],
    ) -> None:
        self._host = address[0]
        self._partitions_of = partitions_of
        self._sent: dict[int, int] = {}  # by partition that the backup has answered for: position of the last entry
        self._connector = peer_connection.Connector(
            loop=loop,
            address=address,
            on_up=self._handle_up,
            on_message=self._handle_message,
            on_end=lambda _connection, _reason: self._sent.clear(),
            peer_timeout_s=peer_timeout_s,
        )

    def stop(self) -> None:
        """Ends the connection."""
        self._connector.stop()

    def keep_alive(self) -> None:
        """To be called at each heartbeat interval."""
        connection = self._connector.link
        if connection is None or not connection.is_up:
            return
        connection.send(messages.KeepAlive(number=0))
        for partition in self._partitions_of(self._host):
            if partition.number not in self._sent:
                self._request_position(connection, partition)

    def _handle_up(self, connection: peer_connection.PeerConnection) -> None:
        for partition in self._partitions_of(self._host):
            self._request_position(connection, partition)

    @staticmethod
    def _request_position(connection: peer_connection.PeerConnection, partition: partitions.Partition) -> None:
        first = len(partition.log.entries) + 1
        connection.send(batch_messages.ReplicateEntries(partition.number, partition.owners.epoch, first, ()))

    def send_new(self, partition: partitions.Partition) -> None:
        """Sends what the backup was not sent yet."""
        connection = self._connector.link
        if connection is None or not connection.is_up or partition.number not in self._sent:
            return
        while self._sent[partition.number] < len(partition.log.entries):
            first = self._sent[partition.number] + 1
            entries = up_to(partition.log.after(first - 1), MAX_SENT_BYTES)
            self._sent[partition.number] += len(entries)
            rows = tuple(batch_messages.LogEntry(data) for data in entries)
            connection.send(batch_messages.ReplicateEntries(partition.number, partition.owners.epoch, first, rows))

    def _handle_message(self, connection: peer_connection.PeerConnection, message: tuple) -> None:
        if not isinstance(message, batch_messages.EntriesStored | batch_messages.ReplicateEntries):
            return
        for partition in self._partitions_of(self._host):
            if partition.number != message.partition or partition.owners.epoch != message.epoch:
                continue
            if isinstance(message, batch_messages.ReplicateEntries):
                partition.adopt(first=message.first, entries=[entry.data for entry in message.entries])
                self._request_position(connection, partition)
                continue
            # Before its first answer, nothing was sent; later an answer below what was sent may just be on its way.
            self._sent.setdefault(partition.number, message.last)
            partition.handle_stored(self._host, message.last)
            self.send_new(partition)


def up_to(entries: list[bytes], limit: int) -> list[bytes]:
    """Returns the first entries that fit, one at least."""
    found: list[bytes] = []
    size = 0
    for data in entries:
        size += len(data)
        if found and size > limit:
            break
        found.append(data)
    return found
