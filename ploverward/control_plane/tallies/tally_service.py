"""The tallies of a core node: adds, reads, and the exchange with the other core nodes (docs/tallies.md).

A tally works on each side of a partition: no majority and no lease is asked for. An add is written here and sent to
all others at once, and acknowledged when it is on enough disks (`add_waiters`). A read is answered from memory.

A node whose disk was emptied, or that is new, answers reads once it has what the others in reach had (`is_merged`).
Until somebody uses tallies, nothing is written and nothing is sent.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable
from collections.abc import Collection
from typing import Protocol

from ploverward.common import settings as node_settings
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.tallies import add_waiters
from ploverward.control_plane.tallies import peer_reach
from ploverward.control_plane.tallies import tally_folder
from ploverward.control_plane.tallies import tally_replicator
from ploverward.control_plane.tallies import tally_state
from ploverward.control_plane.tallies import tally_storage
from ploverward.control_plane.tallies import tally_writer
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport.messages import TallyLogName

_log = logging.getLogger(__name__)

MAX_WAITING_ADDS = 2000
DISK_SHARE = 1 / 4  # what ids may take of the disk, which registers have a sixteenth of
MEMORY_SHARE = 1 / 2  # what ids may take of the process's memory
MIN_DISK_MB = 8.0  # assumed where the settings give less
MIN_MEMORY_MB = 64.0
BYTES_PER_MB = 1024 * 1024
ADD_DISK_BYTES = 80  # some 30 bytes, beside the next version of the file
ADD_MEMORY_BYTES = 420  # of one id with its amount (docs/CAPACITY.md, "Tallies")
READ_WAIT_SHARE = 0.6  # of the peer time-out: how long a read waits for the merge, less than its caller does
KEPT_SHARE = 1 / 8  # of the limit: so many ids are kept before old ones are folded


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TallyLimits:
    """Bounds of a node's tallies.

    Attributes:
        max_kept: How many ids and names there may be; an add beyond it is refused.
        wanted_copies: On how many disks an add has to be while so many are in reach.
        peer_timeout_s: After which a silent peer is out of reach, in seconds.
    """

    max_kept: int
    wanted_copies: int
    peer_timeout_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings, *, peer_timeout_s: float) -> TallyLimits:
        """Derives the bounds from what the machine has and what may be lost at once."""
        disk_adds = max(settings.disk_mb, MIN_DISK_MB) * BYTES_PER_MB * DISK_SHARE / ADD_DISK_BYTES
        memory_adds = max(settings.memory_mb, MIN_MEMORY_MB) * BYTES_PER_MB * MEMORY_SHARE / ADD_MEMORY_BYTES
        return cls(
            max_kept=int(min(disk_adds, memory_adds)),
            wanted_copies=settings.tolerated_machines + 1,
            peer_timeout_s=peer_timeout_s,
        )


class CoreSessions(Protocol):
    """What tallies need of the sessions with other core nodes."""

    def connector_addresses(self) -> Collection[str]:
        """The addresses of the core nodes that this node connects to."""

    def core_connection(self, address: str) -> interfaces.Connection | None:
        """The open connection that this node dialed to a core node."""

    def core_address_of(self, connection: interfaces.Connection) -> str:
        """The address of the core node on a connection; empty where it is none."""

    def draining_core_addresses(self) -> Collection[str]:
        """The addresses of connected core nodes that are shutting down."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """How another core node stands, for operators.

    Attributes:
        is_in_reach: Whether adds wait for it.
        behind: How many adds of this node are not known to be on its disk; None: it told nothing.
    """

    is_in_reach: bool
    behind: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TallyReport:
    """How the tallies of this node stand, for operators.

    Attributes:
        is_merged: Whether it answers reads.
        totals: The sum of each tally.
        kept: How many ids and names are kept.
        max_kept: How many may be.
        waiting: How many adds wait for disks.
        peers: The other core nodes, by address.
    """

    is_merged: bool
    totals: dict[str, int]
    kept: int
    max_kept: int
    waiting: int
    peers: dict[str, PeerReport]


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingRead:
    """A read that waits for the merge."""

    tally: str
    answer: Callable[[int | None], object]
    until: float


class TallyService:
    """Composes the parts of the tallies.

    Args:
        own: Address of this node.
        incarnation: Of this process; no other one ever has it.
        loop: The event loop.
        disk: Where the file is.
        sessions: Connections with other core nodes.
        members: Returns the agreed core set; empty while it is not known.
        limits: The bounds.
    """

    def __init__(
        self,
        *,
        own: str,
        incarnation: str,
        loop: interfaces.Loop,
        disk: acceptor_storage.Disk,
        sessions: CoreSessions,
        members: Callable[[], Collection[str]],
        limits: TallyLimits,
    ) -> None:
        self._own = own
        self._loop = loop
        self._sessions = sessions
        self._members = members
        self._limits = limits
        self._own_log = TallyLogName(own, incarnation)
        self._reads: list[_WaitingRead] = []
        storage = tally_storage.TallyStorage(disk=disk)
        loaded = storage.load()
        self.state = loaded.state
        self.is_merged = loaded.is_complete
        self._writer = tally_writer.TallyWriter(
            loop=loop,
            storage=storage,
            state=self.state,
            retry_s=limits.peer_timeout_s / 4,
            on_durable=self._handle_durable,
        )
        self._replicator = tally_replicator.TallyReplicator(
            own=own,
            state=self.state,
            durable=lambda: self._writer.durable,
            core_addresses=sessions.connector_addresses,
            connection_to=sessions.core_connection,
            on_progress=self._handle_progress,
        )
        self._reach = peer_reach.PeerReach(
            expected=self._other_members, last_received_at=self._heard_at, probe=self._replicator.probe
        )
        self._waiters = add_waiters.AddWaiters(state=self.state, view=self._copy_view)
        self._folder = tally_folder.TallyFolder(
            state=self.state,
            now=loop.now,
            max_kept=int(limits.max_kept * KEPT_SHARE),
            member_positions=self._member_positions,
        )

    def start(self) -> None:
        """Writes what the file had once more, as it may never have been synced, and offers it to the others."""
        if self.state.positions():
            self._writer.write()
            self._replicator.activate()

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of messages, by type."""
        return {
            messages.TallyPositionsRequest: self._handle_request,
            messages.TallyPositions: self._handle_positions,
            messages.TallyAdds: self._handle_adds,
            messages.TallySnapshot: self._handle_snapshot,
        }

    # Calls.
    @property
    def _is_full(self) -> bool:
        return self.state.size >= self._limits.max_kept or len(self._waiters) >= MAX_WAITING_ADDS

    def can_take(self, add: messages.TallyAdd) -> bool:
        """Whether an add is taken: one that is known always is, others while there is room."""
        return self._is_known(add) or not self._is_full

    def _is_known(self, add: messages.TallyAdd) -> bool:
        return bool(self.state.places_of(tally_state.AddKey(add.tally, add.add_id)))

    def add(self, *, add: messages.TallyAdd, answer: Callable[[], object]) -> Callable[[], None]:
        """Adds to a tally, unless the same add is known; `answer` is called once it is on enough disks.

        Returns:
            To be called when the caller leaves: nobody waits for the answer any more.
        """
        self._replicator.activate()
        key = tally_state.AddKey(add.tally, add.add_id)
        self._waiters.wait(key=key, answer=answer)
        if not self.state.places_of(key):
            self.state.append(log=self._own_log, add=add)
            self._writer.write()
            self._replicator.send_own()
        self._waiters.check()
        return lambda: self._waiters.forget(key=key, answer=answer)

    def read(self, *, tally: str, answer: Callable[[int | None], object]) -> None:
        """Reads a tally.

        Args:
            tally: Its name.
            answer: Called once with the sum; with None where this node can't tell it in time.
        """
        self._replicator.activate()
        if not self.is_merged:
            self._check_merged()
        if self.is_merged:
            answer(self.state.total(tally))
            return
        wait_s = self._limits.peer_timeout_s * READ_WAIT_SHARE
        self._reads.append(_WaitingRead(tally, answer, self._loop.now() + wait_s))
        self._loop.after(delay=wait_s, callback=self._end_late_reads)

    def _end_late_reads(self) -> None:
        now = self._loop.now()
        late = [read for read in self._reads if read.until <= now]
        self._reads = [read for read in self._reads if read.until > now]
        for read in late:
            read.answer(None)

    def has_handed_over(self) -> bool:
        """Whether all that this node has is on enough other disks, so that it may leave."""
        others = list(self._copy_view().peers.values())
        wanted = min(self._limits.wanted_copies, len(others))
        return all(
            sum(positions.get(log, 0) >= position for positions in others) >= wanted
            for log, position in self.state.positions().items()
        )

    def report(self) -> TallyReport:
        """Returns how the tallies stand."""
        return TallyReport(
            is_merged=self.is_merged,
            totals=self.state.totals(),
            kept=self.state.size,
            max_kept=self._limits.max_kept,
            waiting=len(self._waiters),
            peers={address: self._peer_report(address) for address in sorted(self._other_members())},
        )

    def _peer_report(self, address: str) -> PeerReport:
        durable = self._replicator.positions_of(address)
        behind = None
        if durable is not None:
            behind = sum(max(0, position - durable.get(log, 0)) for log, position in self.state.positions().items())
        return PeerReport(is_in_reach=not self._reach.is_out_of_reach(address), behind=behind)

    # What the node reports.
    def tick(self) -> None:
        """To be called at each heartbeat interval."""
        self._reach.tick(is_waiting=len(self._waiters) > 0 or bool(self._reads))
        self._replicator.tick()
        self._folder.tick()
        self._handle_progress()

    def handle_dialed(self) -> None:
        """A connection to another core node is being opened."""
        self._replicator.connect_all()

    def _handle_progress(self) -> None:
        if not self.is_merged and self._replicator.is_active:
            self._check_merged()
        self._waiters.check()

    def _handle_durable(self) -> None:
        self._replicator.tell_durable()
        self._waiters.check()

    def _check_merged(self) -> None:
        for address in self._reach.in_reach():
            wanted = self._replicator.first_positions_of(address)
            if wanted is None or not self.state.has(wanted):
                return
        self.is_merged = True
        _log.info("tallies_merged", extra={"kept": self.state.size})
        reads, self._reads = self._reads, []
        for read in reads:
            read.answer(self.state.total(read.tally))

    # Messages.
    def _handle_request(self, connection: interfaces.Connection, _message: messages.TallyPositionsRequest) -> None:
        if self._sessions.core_address_of(connection):
            self._replicator.handle_request(connection)

    def _handle_positions(self, connection: interfaces.Connection, message: messages.TallyPositions) -> None:
        address = self._sessions.core_address_of(connection)
        if address:
            self._reach.handle_answer(address)
            self._replicator.handle_positions(address, message)

    def _handle_adds(self, connection: interfaces.Connection, message: messages.TallyAdds) -> None:
        if self._sessions.core_address_of(connection) and self._replicator.handle_adds(connection, message):
            self._take_over()

    def _handle_snapshot(self, connection: interfaces.Connection, message: messages.TallySnapshot) -> None:
        if self._sessions.core_address_of(connection) and self._replicator.handle_snapshot(connection, message):
            self._writer.note_snapshot()
            self._take_over()

    def _take_over(self) -> None:
        self._writer.write()
        self._replicator.activate()
        self._handle_progress()

    # Views.
    def _other_members(self) -> list[str]:
        known = set(self._members()) or set(self._sessions.connector_addresses())
        return sorted(known - {self._own})

    def _heard_at(self, address: str) -> float | None:
        connection = self._sessions.core_connection(address)
        return connection.last_received_at if connection is not None and connection.has_received else None

    def _copy_view(self) -> add_waiters.CopyView:
        leaving = set(self._sessions.draining_core_addresses())
        peers = {}
        for address in self._sessions.connector_addresses():
            positions = self._replicator.positions_of(address)
            if positions is not None and address not in leaving:
                peers[address] = positions
        members = self._other_members()
        return add_waiters.CopyView(
            own=self._writer.durable,
            peers=peers,
            in_reach=[address for address in self._reach.in_reach() if address not in leaving],
            wanted_copies=min(self._limits.wanted_copies, len(members) + 1),
        )

    def _member_positions(self) -> list[tally_state.Positions] | None:
        found: list[tally_state.Positions] = [self._writer.durable]
        for address in self._other_members():
            positions = self._replicator.positions_of(address)
            if positions is None:
                return None
            found.append(positions)
        return found
