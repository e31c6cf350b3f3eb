"""A partition at its primary: what each copy has, what is committed, until when it may answer (docs/batch.md 3).

An entry is committed once it is synced here and at all other members, and at the learners that were reported as level:
the coordinator may make them members at any moment. Whoever becomes primary next is one of these, so it has all that
was committed.

A process becomes primary by an epoch that was given to it. It adds an empty entry, which each member has to take: then
all of them know the epoch, whatever they restart, and no former primary commits anything more. Only when that entry is
committed, and what this store granted to the former primary has ended, does it answer. It goes on as long as all
members renew its lease.
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

MAX_SENT_BYTES = 1024 * 1024  # of entries in one message
MAX_UNANSWERED_BYTES = 4 * 1024 * 1024  # sent to one copy and not yet acknowledged
LOST_LEASES = 2.0  # of the duration of a lease: a member that does not answer, or get on, for so long is reported


class Timing(typing.NamedTuple):
    """Durations in seconds.

    Attributes:
        lease_s: Of a primary's lease.
    """

    lease_s: float

    @property
    def renewal_s(self) -> float:
        """Between two requests for a lease."""
        return self.lease_s / 3

    @property
    def lost_after_s(self) -> float:
        """For how long a member does not answer, or get on, before it is reported."""
        return self.lease_s * LOST_LEASES


@dataclasses.dataclass(slots=True, kw_only=True)
class Copy:
    """What the primary knows of another store's copy.

    Attributes:
        heard_at: When it answered last.
        moved_at: When it last had all, or got on.
        disk: The store's disk; empty before it has answered on the connection that there is.
        sent: The position of the last entry that was sent on this connection; None before the store said where it
            stands.
        stored: Up to which position it has synced this log.
        leased_until: When the lease ends that it granted.
        unanswered_bytes: Of the entries that were sent on this connection and that it has not said to have stored.
    """

    heard_at: float
    moved_at: float
    disk: str = ""
    sent: int | None = None
    stored: int = 0
    leased_until: float = 0.0
    unanswered_bytes: int = 0
    _unanswered: collections.deque[tuple[int, int]] = dataclasses.field(default_factory=collections.deque)

    def begin_at(self, position: int | None) -> None:
        """What is sent next on this connection follows this position; None: it is not known."""
        self.sent = position
        self.unanswered_bytes = 0
        self._unanswered.clear()

    def note_sent(self, *, last: int, size: int) -> None:
        """Entries of so many bytes were sent, up to a position."""
        self.sent = last
        self.unanswered_bytes += size
        self._unanswered.append((last, size))

    def note_stored(self, last: int) -> None:
        """The store has synced all up to a position."""
        self.stored = last
        while self._unanswered and self._unanswered[0][0] <= last:
            _position, size = self._unanswered.popleft()
            self.unanswered_bytes -= size


class Replication:
    """The copies of a partition, at its primary.

    Args:
        member: This store's own copy.
        disk: The store's disk.
        owners: The arrangement that makes this process primary.
        timing: Durations.
        now: The loop's clock, in seconds.
        send: Sends a message to a store: (address, message).
        on_committed: Called with the position and data of each committed entry that is not empty, in order.

    Attributes:
        owners: The arrangement in force.
        committed: Position of the last entry that is committed.
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
        self._answers_from = member.granted_until
        self._copies: dict[str, Copy] = {}
        self._reported: set[str] = set()  # learners that were reported as level under this epoch
        self._arrange(owners)
        self._begins_at = self.append(partition_log.EMPTY)

    # Arrangement.
    def install(self, owners: batch_partitions.PartitionOwners) -> None:
        """The copies changed; this process stays primary."""
        self._arrange(owners)
        self.advance()

    def _arrange(self, owners: batch_partitions.PartitionOwners) -> None:
        self.owners = owners
        self._reported = set()
        self._member.note_epoch(owners.epoch)
        now = self._now()
        addresses = (*owners.backups, *owners.learners)
        self._copies = {address: self._copies.get(address) or Copy(heard_at=now, moved_at=now) for address in addresses}
        for address, copy in self._copies.items():
            copy.moved_at = now  # a store has its time anew under each arrangement
            self.ask(address)  # it may have refused what was sent before, where it knew this epoch sooner

    def addresses(self) -> list[str]:
        """Returns the stores that have copies, or are to have them."""
        return list(self._copies)

    def _required(self) -> Iterator[Copy]:
        """The copies that count: of all other members, and of learners that may be members by now."""
        for address, copy in self._copies.items():
            if address in self.owners.backups or address in self._reported:
                yield copy

    # Connections.
    def ask(self, address: str) -> None:
        """Asks a store where its log stands: at first, and on each new connection."""
        self._copies[address].begin_at(None)
        self._send(address, batch_messages.RequestLogState(self.number, self.owners.epoch))

    def ask_again(self, address: str) -> None:
        """Asks a store that answers, and has not said where its log stands: it may not have been able to."""
        copy = self._copies.get(address)
        if copy is not None and copy.sent is None:
            self.ask(address)

    def forget_connection(self, address: str) -> None:
        """The connection to a store ended."""
        if address in self._copies:
            self._copies[address].begin_at(None)

    def handle_state(self, address: str, state: batch_messages.LogState) -> None:
        """A store said where its log stands: what it has beyond that is cut off there, what it lacks is sent."""
        copy = self._copies.get(address)
        if copy is None or state.epoch != self.owners.epoch:
            return
        copy.heard_at = self._now()
        agreed = self.log.agreed_end(state)
        is_same_disk = copy.disk == state.disk
        copy.disk = state.disk
        begin = self.log.base if agreed is None else agreed
        copy.begin_at(begin)
        copy.stored = min(copy.stored, begin) if is_same_disk and agreed is not None else 0
        self._send_entries(address, copy, is_reset=agreed is None)
        self._send_missing(address, copy)

    # Entries.
    def append(self, data: bytes) -> int:
        """Adds an entry, sends it to the copies, and returns its position."""
        entry = partition_log.LoggedEntry(self.owners.epoch, data)
        position = self.log.append(entry)
        self._disk.add(store_disk.StoredEntry(self.number, position, entry))
        for address, copy in self._copies.items():
            if copy.stored >= position - 1:
                copy.moved_at = self._now()
            self._send_missing(address, copy)
        return position

    def _send_missing(self, address: str, copy: Copy) -> None:
        if copy.sent is not None and copy.sent < self.log.base:
            self.ask(address)  # what it lacks was dropped meanwhile: its answer makes it begin at the base
        while copy.sent is not None and copy.sent < self.log.last and copy.unanswered_bytes <= MAX_UNANSWERED_BYTES:
            self._send_entries(address, copy)

    def _send_entries(self, address: str, copy: Copy, *, is_reset: bool = False) -> None:
        sent = copy.sent
        assert sent is not None
        entries = up_to(self.log.after(sent), MAX_SENT_BYTES)
        copy.note_sent(last=sent + len(entries), size=sum(len(entry.data) for entry in entries))
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
        """A store has synced this log up to a position."""
        copy = self._copies.get(address)
        if copy is None or not self._first_epoch <= message.epoch <= self.owners.epoch or copy.sent is None:
            return
        copy.heard_at = self._now()
        if message.last > copy.stored:
            copy.note_stored(min(message.last, self.log.last))
            copy.moved_at = copy.heard_at
        self._send_missing(address, copy)
        self.advance()

    def advance(self) -> None:
        """Commits what all copies that count have by now."""
        reached = min([self.log.durable, *(copy.stored for copy in self._required())])
        while self.committed < reached:
            self.committed += 1
            data = self.log.data_at(self.committed)
            if data:
                self._on_committed(self.committed, data)

    # Leases.
    def handle_lease(self, address: str, *, epoch: int, requested_at: float) -> None:
        """A store granted a lease."""
        copy = self._copies.get(address)
        if copy is None or not self._first_epoch <= epoch <= self.owners.epoch:
            return
        copy.heard_at = self._now()
        copy.leased_until = max(copy.leased_until, requested_at + self._timing.lease_s)

    @property
    def is_level(self) -> bool:
        """Whether all that may have been committed before is committed here."""
        return self.committed >= self._begins_at

    @property
    def is_serving(self) -> bool:
        """Whether clients may be answered: what was committed is known, and no other process can be primary."""
        now = self._now()
        if not self.is_level or now < self._answers_from:
            return False
        return all(copy.leased_until > now for copy in self._required())

    # What is to change.
    def report(self) -> batch_messages.CopyReport | None:
        """Returns what the coordinator is to change, None where nothing is."""
        now = self._now()
        level = [address for address in self.owners.learners if self._is_level_copy(self._copies[address], now)]
        self._reported.update(level)
        required = {*self.owners.backups, *self._reported}
        lost = [address for address in sorted(required) if self._is_lost(self._copies[address], now)]
        if not level and not lost:
            return None
        return batch_messages.CopyReport(
            self.number,
            self.owners.epoch,
            tuple(batch_messages.CaughtUpCopy(address, self._copies[address].disk) for address in level),
            tuple(map(batch_messages.LostCopy, lost)),
        )

    def _is_level_copy(self, copy: Copy, now: float) -> bool:
        is_alive = copy.sent is not None and copy.leased_until > now
        return is_alive and self.is_level and copy.stored >= self.committed

    def _is_lost(self, copy: Copy, now: float) -> bool:
        if copy.stored >= self.log.last:
            copy.moved_at = now
        is_silent = now - copy.heard_at > self._timing.lost_after_s
        return is_silent or now - copy.moved_at > self._timing.lost_after_s


def up_to(entries: Sequence[partition_log.LoggedEntry], limit: int) -> list[partition_log.LoggedEntry]:
    """Returns the first entries that fit, one at least."""
    found: list[partition_log.LoggedEntry] = []
    size = 0
    for entry in entries:
        size += len(entry.data)
        if found and size > limit:
            break
        found.append(entry)
    return found
