"""Sends adds to the other core nodes and tracks which of them are on their disks (docs/tallies.md 3).

A node replicates to another one on the connection that it dialed: it requests the other node's positions, sends the
adds that are missing there, and receives the new positions once they are on the disk there. Each node does so in its
own direction, so two nodes exchange everything over the two connections between them.

A node sends the adds of its own logs at once, including the logs of its earlier incarnations. The adds of other logs
are left to their owners at first: a node relays such a log only if the receiver has lacked adds of it for some
intervals without progress, as happens when two nodes have no path to each other but both have one to a third. Several
nodes that could relay start one after the other, an interval apart, until one makes progress.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable
from collections.abc import Collection

from ploverward.common import errors
from ploverward.control_plane.tallies import tally_state
from ploverward.control_plane.tallies import tally_writer
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport.messages import TallyLogName

_log = logging.getLogger(__name__)

# Limit for the adds of one log that were sent to a node and are not yet reported to be on its disk. It keeps each step
# of the event loop short.
WINDOW_ADDS = 20_000


@dataclasses.dataclass(slots=True)
class _Peer:
    """Replication state of another core node on one connection.

    Attributes:
        connection: The connection, which this node dialed.
        durable: Positions on its disk; None until it has reported them.
        sent: Positions up to which adds were sent.
        first_reported: The positions that it reported first.
        lagging_intervals: By log, the number of intervals for which it has lacked adds of the log without progress.
        previous_durable: Positions on its disk at the previous interval.
    """

    connection: interfaces.Connection
    durable: dict[TallyLogName, int] | None = None
    sent: dict[TallyLogName, int] = dataclasses.field(default_factory=dict)
    first_reported: dict[TallyLogName, int] | None = None
    lagging_intervals: dict[TallyLogName, int] = dataclasses.field(default_factory=dict)
    previous_durable: dict[TallyLogName, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Subscriber:
    """A connection whose other side has requested this node's positions.

    Attributes:
        connection: The connection, which the other node dialed.
        reported: The positions that were sent to the other node.
    """

    connection: interfaces.Connection
    reported: dict[TallyLogName, int]


class TallyReplicator:
    """Exchanges adds with all other core nodes.

    Args:
        own: Address of this node.
        state: The tallies of this node.
        durable: Returns the positions on this node's disk.
        core_addresses: Returns the addresses of the core nodes that this node connects to.
        connection_to: Returns the connection that this node dialed to a core node; None without one.
        on_progress: Called when another node has reported positions.

    Attributes:
        is_active: Whether the exchange has begun (`activate`).
    """

    def __init__(
        self,
        *,
        own: str,
        state: tally_state.TallyState,
        durable: Callable[[], tally_state.Positions],
        core_addresses: Callable[[], Collection[str]],
        connection_to: Callable[[str], interfaces.Connection | None],
        on_progress: Callable[[], object],
    ) -> None:
        self._own = own
        self._state = state
        self._durable = durable
        self._core_addresses = core_addresses
        self._connection_to = connection_to
        self._on_progress = on_progress
        self._peers: dict[str, _Peer] = {}
        self._subscribers: list[_Subscriber] = []
        # This node's positions at the previous interval. Newer adds of other nodes are not relayed yet.
        self._previous_positions: dict[TallyLogName, int] = {}
        self.is_active = False

    # Positions of other nodes.
    def positions_of(self, address: str) -> tally_state.Positions | None:
        """Returns the positions on another node's disk; None if it is not connected or has not reported them."""
        peer = self._current_peer(address)
        return peer.durable if peer is not None else None

    def first_positions_of(self, address: str) -> tally_state.Positions | None:
        """Returns the first positions that another node reported on its current connection; None before that."""
        peer = self._current_peer(address)
        return peer.first_reported if peer is not None else None

    def _current_peer(self, address: str) -> _Peer | None:
        peer = self._peers.get(address)
        connection = self._connection_to(address)
        return peer if peer is not None and connection is not None and peer.connection is connection else None

    # The side that dialed: it sends adds.
    def activate(self) -> None:
        """Begins the exchange; nothing is sent before tallies are used."""
        if not self.is_active:
            self.is_active = True
            self.connect_all()

    def connect_all(self) -> None:
        """Requests positions on each connection on which they were not requested yet."""
        if not self.is_active:
            return
        for address in self._core_addresses():
            connection = self._connection_to(address)
            if connection is not None and self._current_peer(address) is None:
                self._peers[address] = _Peer(connection=connection)
                connection.send(messages.TallyPositionsRequest(number=0))

    def probe(self, address: str) -> None:
        """Requests the positions of a node again, to find out whether it answers."""
        peer = self._current_peer(address)
        if peer is not None:
            peer.connection.send(messages.TallyPositionsRequest(number=0))

    def send_own(self) -> None:
        """Sends new adds of this node's own logs to all nodes that have reported their positions."""
        own_logs = [log for log in self._state.positions() if log.origin == self._own]
        for address in self._peers:
            peer = self._current_peer(address)
            if peer is not None and peer.durable is not None:
                for log in own_logs:
                    self._send_log(peer, log, up_to=self._state.position(log))

    def tick(self) -> None:
        """Starts new connections, relays logs and reports new positions; to be called at each heartbeat interval."""
        self.connect_all()
        for address in list(self._peers):
            peer = self._current_peer(address)
            if peer is None:
                del self._peers[address]
            elif peer.durable is not None:
                self._relay(address, peer)
        self._previous_positions = self._state.positions()
        self._subscribers = [subscriber for subscriber in self._subscribers if subscriber.connection.is_open]
        for subscriber in self._subscribers:
            self._report(subscriber)

    def _relay(self, address: str, peer: _Peer) -> None:
        assert peer.durable is not None
        lagging = {
            log: peer.lagging_intervals.get(log, 0) + 1
            for log, position in self._previous_positions.items()
            if position > peer.durable.get(log, 0) <= peer.previous_durable.get(log, 0)
        }
        rank = self._relay_rank(address)
        for log, intervals in lagging.items():
            if intervals > rank:
                self._send_log(peer, log, up_to=self._previous_positions[log])
        peer.lagging_intervals = lagging
        peer.previous_durable = dict(peer.durable)

    def _relay_rank(self, address: str) -> int:
        """Returns how many connected nodes relay to the node at `address` before this node does."""
        connected = [other for other in self._peers if other != address and self._current_peer(other) is not None]
        return sum(other < self._own for other in connected)

    def _send_log(self, peer: _Peer, log: TallyLogName, *, up_to: int) -> None:
        assert peer.durable is not None
        durable = peer.durable.get(log, 0)
        start = max(durable, peer.sent.get(log, 0))
        end = min(up_to, max(durable, self._state.folded_position(log)) + WINDOW_ADDS)
        if start >= end:
            return
        if start < self._state.folded_position(log):
            self._send_snapshot(peer)
            start = peer.sent.get(log, 0)
        for message in tally_writer.adds_after(state=self._state, log=log, position=start, up_to=end):
            peer.connection.send(message)
        peer.sent[log] = end

    def _send_snapshot(self, peer: _Peer) -> None:
        peer.connection.send(self._state.snapshot())
        for log in self._state.positions():
            peer.sent[log] = max(peer.sent.get(log, 0), self._state.folded_position(log))

    def handle_positions(self, address: str, message: messages.TallyPositions) -> None:
        """Handles the positions that another node reports as durable."""
        peer = self._current_peer(address)
        if peer is None:
            return
        reported = {row.log: row.position for row in message.positions}
        if peer.durable is None:
            peer.durable = reported
            peer.first_reported = dict(reported)
            self.send_own()
        else:
            peer.durable |= reported
            self._send_next_windows(peer)
        self._on_progress()

    def _send_next_windows(self, peer: _Peer) -> None:
        """Sends the next adds of the logs of which a window was sent."""
        for log in list(peer.sent):
            is_own = log.origin == self._own
            self._send_log(
                peer, log, up_to=self._state.position(log) if is_own else self._previous_positions.get(log, 0)
            )

    # The side that was dialed: it reports positions and merges adds.
    def handle_request(self, connection: interfaces.Connection) -> None:
        """Sends this node's positions to another node, now and whenever they grow."""
        subscriber = _Subscriber(connection=connection, reported=dict(self._durable()))
        self._subscribers = [other for other in self._subscribers if other.connection is not connection]
        self._subscribers.append(subscriber)
        connection.send(messages.TallyPositions(is_complete=True, positions=_rows(subscriber.reported)))

    def report_durable(self) -> None:
        """Reports positions that have become durable to all nodes that requested them."""
        for subscriber in self._subscribers:
            self._report(subscriber)

    def _report(self, subscriber: _Subscriber) -> None:
        durable = self._durable()
        changes = {log: position for log, position in durable.items() if position > subscriber.reported.get(log, 0)}
        if changes:
            subscriber.reported |= changes
            subscriber.connection.send(messages.TallyPositions(is_complete=False, positions=_rows(changes)))

    def handle_adds(self, connection: interfaces.Connection, message: messages.TallyAdds) -> bool:
        """Merges adds that another node sent; returns False and closes the connection if they do not fit."""
        return self._merge(
            connection, lambda: self._state.merge(log=message.log, first=message.first, adds=message.adds)
        )

    def handle_snapshot(self, connection: interfaces.Connection, message: messages.TallySnapshot) -> bool:
        """Installs a snapshot that another node sent; returns False and closes the connection if it does not fit."""
        return self._merge(connection, lambda: self._state.install(message))

    def _merge(self, connection: interfaces.Connection, merge: Callable[[], None]) -> bool:
        try:
            merge()
        except errors.TallyMergeError as error:
            _log.warning("tallies_out_of_step", extra={"peer": connection.peer, "fault": str(error)})
            connection.close(reason=str(error))
            return False
        return True


def _rows(positions: tally_state.Positions) -> tuple[messages.TallyPosition, ...]:
    return tuple(messages.TallyPosition(log, position) for log, position in positions.items())
