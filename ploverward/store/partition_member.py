"""A store's copy of a partition, which serves the partition's primary (docs/batch.md 3).

`PartitionMember` guards the log: it accepts entries only from a primary of the newest epoch that it knows. The epochs
of its stored entries count as known, so a restart does not lose an epoch under which an entry was committed.

Entries arrive in order on the connection on which the log state was last requested. Entries that arrive late on an
older connection are dropped, because they would truncate newer ones.

A primary answers clients only while all other members have recently granted it a lease. A member that becomes primary
itself first waits until the lease that it granted has expired.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverward.store import job_entries
from ploverward.store import partition_log
from ploverward.store import store_disk
from ploverward.transport import batch_messages
from ploverward.transport import interfaces

Session = interfaces.Connection  # connection of a primary


class PartitionMember:
    """One store's copy of a partition.

    Args:
        number: Number of the partition.
        log: This store's log of the partition.
        disk: The store's disk.
        now: Returns the loop's clock, in seconds.
        lease_s: Duration of a granted lease, in seconds.

    Attributes:
        log: This store's log of the partition.
        number: Number of the partition.
        granted_until: When the latest lease granted by this store expires, in seconds of the loop's clock.
    """

    def __init__(
        self,
        *,
        number: int,
        log: partition_log.PartitionLog,
        disk: store_disk.StoreDisk,
        now: Callable[[], float],
        lease_s: float,
    ) -> None:
        self.number = number
        self.log = log
        self._disk = disk
        self._now = now
        self._lease_s = lease_s
        self._known_epoch = 0
        self._session: Session | None = None
        self._session_epoch = 0
        self._matched_position = 0  # position up to which the log is known to equal that of the session's primary
        self._committed = 0
        self.granted_until = now() + lease_s  # this store may have granted a lease before it restarted

    @property
    def fence(self) -> int:
        """The newest epoch that this store knows; primaries of older epochs are refused."""
        return max(self._known_epoch, self.log.last_epoch)

    def note_epoch(self, epoch: int) -> None:
        """Records that an arrangement of this epoch exists."""
        self._known_epoch = max(self._known_epoch, epoch)

    def grant_lease(self, epoch: int) -> bool:
        """Grants a lease of `lease_s` to the primary of an epoch; returns False if the epoch is outdated."""
        if epoch < self.fence:
            return False
        self.note_epoch(epoch)
        self.granted_until = self._now() + self._lease_s
        return True

    def begin_session(self, session: Session, epoch: int) -> batch_messages.LogState | None:
        """Starts accepting entries on a connection and returns the state of the log.

        None if the request is refused: the epoch is outdated, or the disk is not ready.
        """
        if epoch < self.fence or not self._disk.is_ready:
            return None
        self.note_epoch(epoch)
        self._session, self._session_epoch = session, epoch
        self._matched_position = 0
        log = self.log
        return batch_messages.LogState(self.number, epoch, self._disk.identity, log.base, log.base_epoch, log.runs())

    def append(self, session: Session, message: batch_messages.AppendEntries) -> bool:
        """Appends entries from a primary; entries of the log after the preceding position are replaced.

        Returns:
            False if the entries are refused: they came on another connection than the session's or from an outdated
            epoch, or the log lacks the entry that they follow.
        """
        if session is not self._session or message.epoch < self.fence:
            return False
        self.note_epoch(message.epoch)
        self._session_epoch = message.epoch
        log, previous = self.log, message.first - 1
        if message.is_reset:
            log.reset(base=previous, base_epoch=message.previous_epoch)
            self._disk.rewrite()
        elif not log.base <= previous <= log.last or log.epoch_at(previous) != message.previous_epoch:
            return False
        if previous < log.last:
            log.truncate_after(previous)
        for entry in message.entries:
            self._append_entry(partition_log.LoggedEntry(entry.epoch, entry.data))
        self._matched_position = log.last
        self._apply_commit(min(message.committed, log.last))
        return True

    def _append_entry(self, entry: partition_log.LoggedEntry) -> None:
        self._disk.add(store_disk.StoredEntry(self.number, self.log.append(entry), entry))

    def _apply_commit(self, committed: int) -> None:
        """Drops the entries that newly committed `JobForgotten` entries name."""
        for position in range(max(self._committed, self.log.base) + 1, committed + 1):
            self.log.forget(job_entries.forgotten_positions(self.log.data_at(position)))
        self._committed = max(self._committed, committed)
        self.log.trim(committed=self._committed)

    def acknowledgement(self) -> batch_messages.EntriesDurable | None:
        """Returns the position up to which this copy is durable and matches the log of the session's primary.

        None if there is no session, or a newer epoch has superseded it.
        """
        if self._session is None or self._session_epoch < self.fence:
            return None
        return batch_messages.EntriesDurable(
            self.number, self._session_epoch, min(self.log.durable, self._matched_position)
        )

    @property
    def session(self) -> Session | None:
        """The connection on which a primary last requested the log state; None if it has closed."""
        return self._session

    def end_session(self, session: Session) -> None:
        """Ends the session if it was on this connection, which has closed."""
        if session is self._session:
            self._session = None
