"""What a store answers the primaries of partitions that it keeps copies of (docs/batch.md 3)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.store import partition_member
from ploverward.transport import batch_messages
from ploverward.transport import interfaces


class CopyService:
    """This store's copies of partitions.

    Args:
        make_member: Makes a copy: (number of the partition).
    """

    def __init__(self, *, make_member: Callable[[int], partition_member.PartitionMember]) -> None:
        self._make_member = make_member
        self._members: dict[int, partition_member.PartitionMember] = {}

    def member(self, number: int) -> partition_member.PartitionMember:
        """Returns this store's copy of a partition."""
        if number not in self._members:
            self._members[number] = self._make_member(number)
        return self._members[number]

    def handle_leases(self, connection: interfaces.Connection, message: batch_messages.RenewPrimaryLeases) -> None:
        """A primary asks to go on."""
        granted = tuple(row for row in message.partitions if self.member(row.partition).grant_lease(row.epoch))
        connection.send(batch_messages.PrimaryLeasesGranted(message.number, granted))

    def handle_state_request(self, connection: interfaces.Connection, message: batch_messages.RequestLogState) -> None:
        """A primary asks where a log stands."""
        self._send_state(connection, message.partition, message.epoch)

    def _send_state(self, connection: interfaces.Connection, number: int, epoch: int) -> None:
        state = self.member(number).begin_session(connection, epoch)
        if state is not None:
            connection.send(state)

    def handle_entries(self, connection: interfaces.Connection, message: batch_messages.AppendEntries) -> None:
        """A primary sends entries."""
        member = self.member(message.partition)
        if not member.append(connection, message):
            if member.session is connection:
                self._send_state(connection, message.partition, message.epoch)  # so that the primary begins anew
            return
        if member.log.durable == member.log.last:  # nothing is being written that would be acknowledged later
            self.handle_synced(message.partition)

    def handle_synced(self, number: int) -> None:
        """More of a log is on this store's disk."""
        member = self.member(number)
        session, message = member.session, member.acknowledgement()
        if session is not None and message is not None:
            session.send(message)

    def handle_end(self, connection: interfaces.Connection) -> None:
        """A connection ended."""
        for member in self._members.values():
            member.end_session(connection)
