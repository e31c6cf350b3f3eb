"""The tally service of a core node: adds, reads, and the exchange with the other core nodes (docs/tallies.md).

Tallies work on each side of a partition, because they need neither a majority nor a lease. An add is written to the
local disk and sent to all other core nodes at once, and acknowledged when it is on enough disks (`add_waiters`). A read
is answered from memory.

A node that is new or whose disk was emptied answers reads once it has all adds that the other nodes in reach had
(`TallyService.is_merged`). Nothing is written and nothing is sent before tallies are used.
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
DISK_SHARE = 1 / 4  # share of the disk that ids may use; registers have a sixteenth
MEMORY_SHARE = 1 / 2  # share of the process's memory that ids may use
MIN_DISK_MB = 8.0  # the limits are computed with at least this much, also if the settings give less
MIN_MEMORY_MB = 64.0  # likewise
BYTES_PER_MB = 1024 * 1024
ADD_DISK_BYTES = 80  # an add has some 30 bytes, and a rewrite needs room for the old and the new file
ADD_MEMORY_BYTES = 420  # for one id with its amount (docs/CAPACITY.md, "Tallies")
READ_WAIT_SHARE = 0.6  # share of the peer timeout that a read waits for the merge; its caller waits longer
FOLD_THRESHOLD_SHARE = 1 / 8  # share of the limit on ids above which old ones are folded


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TallyLimits:
    """Limits and timing of a node's tallies.

    Attributes:
        max_kept: Maximum number of ids and names of tallies that are kept; further adds are refused.
        wanted_copies: Number of disks that an add has to be on while that many are in reach.
        peer_timeout_s: Peer timeout in seconds: the silence after which a peer is out of reach.
    """

    max_kept: int
    wanted_copies: int
    peer_timeout_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings, *, peer_timeout_s: float) -> TallyLimits:
        """Derives the limits from the machine's disk and memory and the number of machines that may be lost at once."""
        disk_adds = max(settings.disk_mb, MIN_DISK_MB) * BYTES_PER_MB * DISK_SHARE / ADD_DISK_BYTES
        memory_adds = max(settings.memory_mb, MIN_MEMORY_MB) * BYTES_PER_MB * MEMORY_SHARE / ADD_MEMORY_BYTES
        return cls(
            max_kept=int(min(disk_adds, memory_adds)),
            wanted_copies=settings.tolerated_machines + 1,
            peer_timeout_s=peer_timeout_s,
        )


class CoreSessions(Protocol):
    """The part of the sessions with other core nodes that tallies use."""

    def connector_addresses(self) -> Collection[str]:
        """Returns the addresses of the core nodes that this node connects to."""

    def core_connection(self, address: str) -> interfaces.Connection | None:
        """Returns the open connection that this node dialed to a core node; None without one."""

    def core_address_of(self, connection: interfaces.Connection) -> str:
        """Returns the address of the core node on a connection; empty if the peer is not a core node."""

    def draining_core_addresses(self) -> Collection[str]:
        """Returns the addresses of connected core nodes that are shutting down."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """State of another core node as seen by this one, for operators.

    Attributes:
        is_in_reach: Whether adds wait for it.
        behind: Number of adds that this node has and that are not known to be on the other node's disk; None if it has
            not reported its positions.
    """

    is_in_reach: bool
    behind: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TallyReport:
    """State of the tallies of this node, for operators.

    Attributes:
        is_merged: Whether this node answers reads.
        totals: The total of each tally.
        kept: Number of ids and names of tallies that are kept.
        max_kept: Maximum of `kept`.
        waiting: Number of adds that wait until they are on enough disks.
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
    """A read that waits until this node has merged with the others, at most until `until`."""

    tally: str
    answer: Callable[[int | None], object]
    until: float


class TallyService:
    """Accepts adds and reads of tallies and replicates the adds between core nodes.

    Args:
        own: Address of this node.
        incarnation: Id of this process; no other process ever has it.
        loop: The event loop.
        disk: The disk that holds the file.
        sessions: Connections with other core nodes.
        members: Returns the agreed core set; empty while it is not known.
        limits: Limits and timing.

    Attributes:
        state: The tallies of this node.
        is_merged: Whether this node answers reads: its file was complete at the start, or it has received all adds that
            the other nodes in reach had.
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
            expected=self._other_members, last_received_at=self._last_received_at, probe=self._replicator.probe
        )
        self._waiters = add_waiters.AddWaiters(state=self.state, view=self._durability_view)
        self._fold_scheduler = tally_folder.FoldScheduler(
            state=self.state,
            now=loop.now,
            max_kept=int(limits.max_kept * FOLD_THRESHOLD_SHARE),
            member_positions=self._member_positions,
        )

    def start(self) -> None:
        """Rewrites the loaded adds, which may never have been synced, and begins the exchange with the other nodes."""
        if self.state.positions():
            self._writer.write()
            self._replicator.activate()

    def handlers(self) -> dict[type, Callable]:
        """Returns the message handlers by message type."""
        return {
            messages.TallyPositionsRequest: self._handle_request,
            messages.TallyPositions: self._handle_positions,
            messages.TallyAdds: self._handle_adds,
            messages.TallySnapshot: self._handle_snapshot,
        }

    # Adds and reads.
    @property
    def _is_full(self) -> bool:
        return self.state.size >= self._limits.max_kept or len(self._waiters) >= MAX_WAITING_ADDS

    def can_accept(self, add: messages.TallyAdd) -> bool:
        """Returns whether an add is accepted: a known one always is, a new one unless the limits are reached."""
        return self._is_known(add) or not self._is_full

    def _is_known(self, add: messages.TallyAdd) -> bool:
        return bool(self.state.occurrences_of(tally_state.AddKey(add.tally, add.add_id)))

    def add(self, *, add: messages.TallyAdd, answer: Callable[[], object]) -> Callable[[], None]:
        """Adds to a tally unless the same add is known.

        Args:
            add: The add.
            answer: Called once, when the add is on enough disks.

        Returns:
            A function that cancels the call of `answer`, for a caller that disconnects; the add itself stays.
        """
        self._replicator.activate()
        key = tally_state.AddKey(add.tally, add.add_id)
        self._waiters.wait(key=key, answer=answer)
        if not self.state.occurrences_of(key):
            self.state.append(log=self._own_log, add=add)
            self._writer.write()
            self._replicator.send_own()
        self._waiters.check()
        return lambda: self._waiters.cancel(key=key, answer=answer)

    def read(self, *, tally: str, answer: Callable[[int | None], object]) -> None:
        """Reads a tally.

        Args:
            tally: Name of the tally.
            answer: Called once with the total, or with None if this node has not merged with the others in time.
        """
        self._replicator.activate()
        if not self.is_merged:
            self._check_merged()
        if self.is_merged:
            answer(self.state.total(tally))
            return
        wait_s = self._limits.peer_timeout_s * READ_WAIT_SHARE
        self._reads.append(_WaitingRead(tally, answer, self._loop.now() + wait_s))
        self._loop.after(delay=wait_s, callback=self._fail_expired_reads)

    def _fail_expired_reads(self) -> None:
        now = self._loop.now()
        expired = [read for read in self._reads if read.until <= now]
        self._reads = [read for read in self._reads if read.until > now]
        for read in expired:
            read.answer(None)

    def has_handed_over(self) -> bool:
        """Returns whether all adds that this node has are on enough other disks, so that it may shut down."""
        others = list(self._durability_view().peers.values())
        wanted = min(self._limits.wanted_copies, len(others))
        return all(
            sum(positions.get(log, 0) >= position for positions in others) >= wanted
            for log, position in self.state.positions().items()
        )

    def report(self) -> TallyReport:
        """Returns the state of the tallies for operators."""
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

    # Events of the node.
    def tick(self) -> None:
        """Performs the periodic work; to be called at each heartbeat interval."""
        self._reach.tick(is_waiting=len(self._waiters) > 0 or bool(self._reads))
        self._replicator.tick()
        self._fold_scheduler.tick()
        self._handle_progress()

    def handle_dialed(self) -> None:
        """Starts the exchange on new connections; to be called when one to another core node is being opened."""
        self._replicator.connect_all()

    def _handle_progress(self) -> None:
        if not self.is_merged and self._replicator.is_active:
            self._check_merged()
        self._waiters.check()

    def _handle_durable(self) -> None:
        self._replicator.report_durable()
        self._waiters.check()

    def _check_merged(self) -> None:
        for address in self._reach.in_reach():
            required = self._replicator.first_positions_of(address)
            if required is None or not self.state.has_all(required):
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
            self._handle_merged_adds()

    def _handle_snapshot(self, connection: interfaces.Connection, message: messages.TallySnapshot) -> None:
        if self._sessions.core_address_of(connection) and self._replicator.handle_snapshot(connection, message):
            self._writer.note_installed_snapshot()
            self._handle_merged_adds()

    def _handle_merged_adds(self) -> None:
        self._writer.write()
        self._replicator.activate()
        self._handle_progress()

    # State of the core set.
    def _other_members(self) -> list[str]:
        known = set(self._members()) or set(self._sessions.connector_addresses())
        return sorted(known - {self._own})

    def _last_received_at(self, address: str) -> float | None:
        connection = self._sessions.core_connection(address)
        return connection.last_received_at if connection is not None and connection.has_received else None

    def _durability_view(self) -> add_waiters.DurabilityView:
        leaving = set(self._sessions.draining_core_addresses())
        peers = {}
        for address in self._sessions.connector_addresses():
            positions = self._replicator.positions_of(address)
            if positions is not None and address not in leaving:
                peers[address] = positions
        members = self._other_members()
        return add_waiters.DurabilityView(
            own=self._writer.durable,
            peers=peers,
            in_reach=[address for address in self._reach.in_reach() if address not in leaving],
            wanted_copies=min(self._limits.wanted_copies, len(members) + 1),
        )

    def _member_positions(self) -> list[tally_state.Positions] | None:
        member_positions: list[tally_state.Positions] = [self._writer.durable]
        for address in self._other_members():
            positions = self._replicator.positions_of(address)
            if positions is None:
                return None
            member_positions.append(positions)
        return member_positions
