"""Replication of a partition by its primary: progress of each copy, commits and leases (docs/batch.md 3).

An entry is committed once it is synced here, at all other members, and at the learners that were reported as caught up,
because the coordinator may make those members at any moment. The next primary is one of these stores, so it has every
committed entry.

A process becomes primary under an epoch that was assigned to it. It first appends an empty entry, which each member has
to accept. Then all members know the epoch, even after a restart, and no former primary can commit anything more. The
process serves clients only once that entry is committed and the lease that this store granted to the former primary has
expired, and it goes on serving only while all members renew its lease.
"""

from __future__ import annotations

import collections
import dataclasses
import typing
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from ploverward.common import batch_partitions
from ploverward.store import partition_log
from ploverward.store import partition_member
from ploverward.store import store_disk
from ploverward.transport import batch_messages

MAX_SENT_BYTES = 1024 * 1024  # size of the entries in one message; a single larger entry is sent alone
MAX_UNACKNOWLEDGED_BYTES = 4 * 1024 * 1024  # size of the entries sent to one copy; sending pauses above it
LOST_AFTER_LEASES = 2.0  # in lease durations: time without a reply or progress until a member is reported lost


class Timing(typing.NamedTuple):
    """Durations in seconds.

    Attributes:
        lease_s: Duration of a primary's lease.
    """

    lease_s: float

    @property
    def renewal_interval_s(self) -> float:
        """Time between two lease requests."""
        return self.lease_s / 3

    @property
    def lost_after_s(self) -> float:
        """Time without a reply or without progress after which a member is reported as lost."""
        return self.lease_s * LOST_AFTER_LEASES


@dataclasses.dataclass(slots=True, kw_only=True)
class CopyProgress:
    """The state of another store's copy, as known to the primary.

    Attributes:
        last_reply_at: When the store last replied, in seconds of the loop's clock.
        last_progress_at: When the copy last synced further entries or was complete, in seconds of the loop's clock.
        disk: Identity of the store's disk; empty until the store has sent its log state.
        sent_position: Position of the last entry sent on this connection; None until the store has sent its log state.
        durable_position: Position up to which the store has synced this log.
        leased_until: When the lease granted by the store expires, in seconds of the loop's clock.
        unacknowledged_bytes: Size of the entries sent on this connection that the store has not acknowledged.
    """

    last_reply_at: float
    last_progress_at: float
    disk: str = ""
    sent_position: int | None = None
    durable_position: int = 0
    leased_until: float = 0.0
    unacknowledged_bytes: int = 0
    _unacknowledged: collections.deque[tuple[int, int]] = dataclasses.field(default_factory=collections.deque)

    def reset_to(self, position: int | None) -> None:
        """Continues sending after a position on the current connection; None if the position is unknown."""
        self.sent_position = position
        self.unacknowledged_bytes = 0
        self._unacknowledged.clear()

    def record_sent(self, *, last: int, size: int) -> None:
        """Records that entries of `size` bytes in total, up to position `last`, were sent."""
        self.sent_position = last
        self.unacknowledged_bytes += size
        self._unacknowledged.append((last, size))

    def record_durable(self, last: int) -> None:
        """Records that the store has synced all entries up to position `last`."""
        self.durable_position = last
        while self._unacknowledged and self._unacknowledged[0][0] <= last:
            _position, size = self._unacknowledged.popleft()
            self.unacknowledged_bytes -= size


class Replication:
    """Replicates a partition from its primary to the other copies and decides what is committed.

    Args:
        member: This store's own copy.
        disk: The store's disk.
        owners: The arrangement that makes this process primary.
        timing: Durations.
        now: Returns the loop's clock, in seconds.
        send: Sends a message to a store: (address, message).
        on_committed: Called with the position and data of each committed entry that is not empty, in order.

    Attributes:
        number: Number of the partition.
        owners: The current arrangement.
        log: This store's log of the partition.
        committed: Position of the last committed entry.
    """

    def __init__(
        self,
        *,
        member: partition_member.PartitionMember,
        disk: store_disk.StoreDisk,
        owners: batch_partitions.PartitionOwners,
        timing: Timing,
        now: Callable[[], float],
        send: Callable[[str, tuple], object],
        on_committed: Callable[[int, bytes], object],
    ) -> None:
        self.number = member.number
        self.owners = owners
        self.log = member.log
        self.committed = self.log.base
        self._member = member
        self._disk = disk
        self._timing = timing
        self._now = now
        self._send = send
        self._on_committed = on_committed
        self._first_epoch = owners.epoch
        self._serves_from = member.granted_until
        self._copies: dict[str, CopyProgress] = {}
        self._reported: set[str] = set()  # learners reported as caught up under this epoch
        self._arrange(owners)
        self._first_position = self.append(partition_log.EMPTY)

    # Arrangement.
    def install(self, owners: batch_partitions.PartitionOwners) -> None:
        """Installs an arrangement with other copies under which this process remains primary."""
        self._arrange(owners)
        self.advance_commit()

    def _arrange(self, owners: batch_partitions.PartitionOwners) -> None:
        self.owners = owners
        self._reported = set()
        self._member.note_epoch(owners.epoch)
        now = self._now()
        addresses = (*owners.backups, *owners.learners)
        self._copies = {
            address: self._copies.get(address) or CopyProgress(last_reply_at=now, last_progress_at=now)
            for address in addresses
        }
        for address, copy in self._copies.items():
            copy.last_progress_at = now  # the time without progress counts from the start of the arrangement
            # If the store knew this epoch before this primary did, it refused the messages of the previous epoch.
            self.request_log_state(address)

    def addresses(self) -> list[str]:
        """Returns the addresses of the other stores that have a copy or are to receive one."""
        return list(self._copies)

    def _required_copies(self) -> Iterator[CopyProgress]:
        """Yields the copies that a commit requires: of other members, and of learners that may be members by now."""
        for address, copy in self._copies.items():
            if address in self.owners.backups or address in self._reported:
                yield copy

    # Connections.
    def request_log_state(self, address: str) -> None:
        """Requests the state of a store's log; entries are sent once it has replied."""
        self._copies[address].reset_to(None)
        self._send(address, batch_messages.RequestLogState(self.number, self.owners.epoch))

    def retry_log_state_request(self, address: str) -> None:
        """Repeats the state request if the store has not sent its log state.

        A store does not reply to the request while its disk is not ready.
        """
        copy = self._copies.get(address)
        if copy is not None and copy.sent_position is None:
            self.request_log_state(address)

    def handle_disconnect(self, address: str) -> None:
        """Stops sending to a store whose connection has closed."""
        if address in self._copies:
            self._copies[address].reset_to(None)

    def handle_state(self, address: str, state: batch_messages.LogState) -> None:
        """Sends a store the entries that its log lacks; the store truncates what follows the last common entry."""
        copy = self._copies.get(address)
        if copy is None or state.epoch != self.owners.epoch:
            return
        copy.last_reply_at = self._now()
        common = self.log.last_common_position(state)
        is_same_disk = copy.disk == state.disk
        copy.disk = state.disk
        start = self.log.base if common is None else common
        copy.reset_to(start)
        copy.durable_position = min(copy.durable_position, start) if is_same_disk and common is not None else 0
        self._send_entries(address, copy, is_reset=common is None)
        self._send_missing(address, copy)

    # Entries.
    def append(self, data: bytes) -> int:
        """Appends an entry, sends it to the copies and returns its position."""
        entry = partition_log.LoggedEntry(self.owners.epoch, data)
        position = self.log.append(entry)
        self._disk.add(store_disk.StoredEntry(self.number, position, entry))
        for address, copy in self._copies.items():
            if copy.durable_position >= position - 1:
                copy.last_progress_at = self._now()
            self._send_missing(address, copy)
        return position

    def _send_missing(self, address: str, copy: CopyProgress) -> None:
        if copy.sent_position is not None and copy.sent_position < self.log.base:
            # Entries that the store lacks have been trimmed: after its reply it is reset to the base.
            self.request_log_state(address)
        while (
            copy.sent_position is not None
            and copy.sent_position < self.log.last
            and copy.unacknowledged_bytes <= MAX_UNACKNOWLEDGED_BYTES
        ):
            self._send_entries(address, copy)

    def _send_entries(self, address: str, copy: CopyProgress, *, is_reset: bool = False) -> None:
        sent = copy.sent_position
        assert sent is not None
        entries = first_entries(self.log.after(sent), MAX_SENT_BYTES)
        copy.record_sent(last=sent + len(entries), size=sum(len(entry.data) for entry in entries))
        message = batch_messages.AppendEntries(
            self.number,
            self.owners.epoch,
            sent + 1,
            self.log.epoch_at(sent),
            is_reset,
            self.committed,
            tuple(batch_messages.EpochEntry(entry.epoch, entry.data) for entry in entries),
        )
        self._send(address, message)

    def handle_durable(self, address: str, message: batch_messages.EntriesDurable) -> None:
        """Records that a store has synced this log up to a position, and sends and commits further entries."""
        copy = self._copies.get(address)
        if copy is None or not self._first_epoch <= message.epoch <= self.owners.epoch or copy.sent_position is None:
            return
        copy.last_reply_at = self._now()
        if message.last > copy.durable_position:
            copy.record_durable(min(message.last, self.log.last))
            copy.last_progress_at = copy.last_reply_at
        self._send_missing(address, copy)
        self.advance_commit()

    def advance_commit(self) -> None:
        """Commits the entries that are durable on this store and on all required copies."""
        commit_position = min([self.log.durable, *(copy.durable_position for copy in self._required_copies())])
        while self.committed < commit_position:
            self.committed += 1
            data = self.log.data_at(self.committed)
            if data:
                self._on_committed(self.committed, data)

    # Leases.
    def handle_lease(self, address: str, *, epoch: int, requested_at: float) -> None:
        """Records a lease granted by a store; its duration counts from the time of the request."""
        copy = self._copies.get(address)
        if copy is None or not self._first_epoch <= epoch <= self.owners.epoch:
            return
        copy.last_reply_at = self._now()
        copy.leased_until = max(copy.leased_until, requested_at + self._timing.lease_s)

    @property
    def is_caught_up(self) -> bool:
        """Whether every entry that a former primary may have committed is committed here."""
        return self.committed >= self._first_position

    @property
    def is_serving(self) -> bool:
        """Whether clients may be served: all committed entries are known, and no other process can be serving."""
        now = self._now()
        if not self.is_caught_up or now < self._serves_from:
            return False
        return all(copy.leased_until > now for copy in self._required_copies())

    # Report to the coordinator.
    def report(self) -> batch_messages.CopyReport | None:
        """Returns the learners that have caught up and the copies that are lost; None if there are neither."""
        now = self._now()
        caught_up = [address for address in self.owners.learners if self._is_caught_up_copy(self._copies[address], now)]
        self._reported.update(caught_up)
        required = {*self.owners.backups, *self._reported}
        lost = [address for address in sorted(required) if self._is_lost(self._copies[address], now)]
        if not caught_up and not lost:
            return None
        return batch_messages.CopyReport(
            self.number,
            self.owners.epoch,
            tuple(batch_messages.CaughtUpCopy(address, self._copies[address].disk) for address in caught_up),
            tuple(map(batch_messages.LostCopy, lost)),
        )

    def _is_caught_up_copy(self, copy: CopyProgress, now: float) -> bool:
        is_alive = copy.sent_position is not None and copy.leased_until > now
        return is_alive and self.is_caught_up and copy.durable_position >= self.committed

    def _is_lost(self, copy: CopyProgress, now: float) -> bool:
        if copy.durable_position >= self.log.last:
            copy.last_progress_at = now
        is_silent = now - copy.last_reply_at > self._timing.lost_after_s
        return is_silent or now - copy.last_progress_at > self._timing.lost_after_s


def first_entries(entries: Sequence[partition_log.LoggedEntry], max_bytes: int) -> list[partition_log.LoggedEntry]:
    """Returns the first entries whose data fits into `max_bytes`, but at least one if there is any."""
    found: list[partition_log.LoggedEntry] = []
    size = 0
    for entry in entries:
        size += len(entry.data)
        if found and size > max_bytes:
            break
        found.append(entry)
    return found
