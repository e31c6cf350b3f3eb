"""Handlers for messages from the primaries of partitions that this store keeps copies of (docs/batch.md 3)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.store import partition_member
from ploverward.transport import batch_messages
from ploverward.transport import interfaces


class CopyService:
    """This store's copies of partitions, and the handlers through which primaries replicate to them.

    Args:
        make_member: Creates this store's copy of the partition with the given number.
    """

    def __init__(self, *, make_member: Callable[[int], partition_member.PartitionMember]) -> None:
        self._make_member = make_member
        self._members: dict[int, partition_member.PartitionMember] = {}

    def member(self, number: int) -> partition_member.PartitionMember:
        """Returns this store's copy of a partition, which is created on first use."""
        if number not in self._members:
            self._members[number] = self._make_member(number)
        return self._members[number]

    def handle_leases(self, connection: interfaces.Connection, message: batch_messages.RenewPrimaryLeases) -> None:
        """Grants leases to a primary for those partitions whose epoch is still current."""
        granted = tuple(row for row in message.partitions if self.member(row.partition).grant_lease(row.epoch))
        connection.send(batch_messages.PrimaryLeasesGranted(message.number, granted))

    def handle_state_request(self, connection: interfaces.Connection, message: batch_messages.RequestLogState) -> None:
        """Replies to a primary with the state of the log of one partition."""
        self._send_state(connection, message.partition, message.epoch)

    def _send_state(self, connection: interfaces.Connection, number: int, epoch: int) -> None:
        state = self.member(number).begin_session(connection, epoch)
        if state is not None:
            connection.send(state)

    def handle_entries(self, connection: interfaces.Connection, message: batch_messages.AppendEntries) -> None:
        """Appends entries from a primary, and acknowledges those that are already durable."""
        member = self.member(message.partition)
        if not member.append(connection, message):
            if member.session is connection:
                self._send_state(connection, message.partition, message.epoch)  # the primary resumes from this state
            return
        if member.log.durable == member.log.last:  # no write is pending whose completion would send the acknowledgement
            self.handle_synced(message.partition)

    def handle_synced(self, number: int) -> None:
        """Acknowledges to the primary that more of a log has been synced to this store's disk."""
        member = self.member(number)
        session, message = member.session, member.acknowledgement()
        if session is not None and message is not None:
            session.send(message)

    def handle_end(self, connection: interfaces.Connection) -> None:
        """Ends the sessions of primaries on a connection that has closed."""
        for member in self._members.values():
            member.end_session(connection)
