"""A partition's log at one store, as its primary sees it: questions, entries, leases (docs/batch.md 3).

`PartitionMember` guards the log. It takes entries only from a primary of the newest epoch that it knows; each entry
that it has is of an epoch that it knows, so that a restart does not make it forget one under which anything was
committed.

Entries come on the connection on which the log's state was asked for last, in order. What an older connection still
brings is dropped: it would cut off what came since.

A primary answers clients only as long as all other members have lately granted it a lease. A member that becomes the
primary itself waits until what it granted has ended.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverward.store import job_entries
from ploverward.store import partition_log
from ploverward.store import store_disk
from ploverward.transport import batch_messages
from ploverward.transport import interfaces

Session = interfaces.Connection  # of a primary


class PartitionMember:
    """One store's copy of a partition.

    Args:
        number: Of the partition.
        log: What this store has of it.
        disk: The store's disk.
        now: The loop's clock, in seconds.
        lease_s: For how long a lease is granted.

    Attributes:
        log: As given.
        number: As given.
        granted_until: When the last lease ends that this store granted, by the loop's clock.
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
        self._matched = 0  # up to where the log is that of the primary which asked last
        self._committed = 0
        self.granted_until = now() + lease_s  # an earlier start of this process may have granted one

    @property
    def fence(self) -> int:
        """The newest epoch that is known here: primaries of older ones are refused."""
        return max(self._known_epoch, self.log.last_epoch)

    def note_epoch(self, epoch: int) -> None:
        """An arrangement of this epoch is known to exist."""
        self._known_epoch = max(self._known_epoch, epoch)

    def grant_lease(self, epoch: int) -> bool:
        """Whether a primary of this epoch may go on to answer for `lease_s`."""
        if epoch < self.fence:
            return False
        self.note_epoch(epoch)
        self.granted_until = self._now() + self._lease_s
        return True

    def begin_session(self, session: Session, epoch: int) -> batch_messages.LogState | None:
        """Returns where the log stands; entries are taken on this connection from now on. None: a refusal."""
        if epoch < self.fence or not self._disk.is_ready:
            return None
        self.note_epoch(epoch)
        self._session, self._session_epoch = session, epoch
        self._matched = 0
        log = self.log
        return batch_messages.LogState(self.number, epoch, self._disk.identity, log.base, log.base_epoch, log.runs())

    def append(self, session: Session, message: batch_messages.AppendEntries) -> bool:
        """Takes a primary's entries; returns whether they fit the log."""
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
            self._add(partition_log.LoggedEntry(entry.epoch, entry.data))
        self._matched = log.last
        self._forget(min(message.committed, log.last))
        return True

    def _add(self, entry: partition_log.LoggedEntry) -> None:
        self._disk.add(store_disk.StoredEntry(self.number, self.log.append(entry), entry))

    def _forget(self, committed: int) -> None:
        """What committed entries say is to be forgotten goes."""
        for position in range(max(self._committed, self.log.base) + 1, committed + 1):
            self.log.forget(job_entries.forgotten_positions(self.log.data_at(position)))
        self._committed = max(self._committed, committed)
        self.log.trim(committed=self._committed)

    def acknowledgement(self) -> batch_messages.EntriesDurable | None:
        """Returns how far the primary that asked last may count on this copy; None where it was replaced."""
        if self._session is None or self._session_epoch < self.fence:
            return None
        return batch_messages.EntriesDurable(self.number, self._session_epoch, min(self.log.durable, self._matched))

    @property
    def session(self) -> Session | None:
        """The connection of the primary that asked last."""
        return self._session

    def end_session(self, session: Session) -> None:
        """A connection ended."""
        if session is self._session:
            self._session = None
