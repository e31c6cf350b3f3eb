"""Sends adds to the other core nodes, and learns what they have on their disks (docs/tallies.md 3).

All of it runs on connections that this node dialed: it asks for the other node's positions, sends what is missing
there, and gets the new positions once they are on the disk there. Each node does so for its own direction, so two nodes
exchange everything over the two connections between them.

Adds of a node's own logs, those of its earlier lives too, go out at once. Those of other logs are left to their owners
for a while: a log is relayed only where the other node has not got on with it for some intervals, one relay after the
other, as when two nodes have no path to each other and a third one has.
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

WINDOW_ADDS = 20_000  # of one log, sent and not told to be on the disk there yet: a step of the loop stays short


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of another core node on one connection.

    Attributes:
        connection: The connection, which this node dialed.
        durable: Positions on its disk; None before it answered.
        sent: Positions up to which adds were sent.
        first_told: What it said first.
        lagging_intervals: By log of another node, for how many intervals it has lacked adds of it and not got on.
        former: Its positions at the interval before.
    """

    connection: interfaces.Connection
    durable: dict[TallyLogName, int] | None = None
    sent: dict[TallyLogName, int] = dataclasses.field(default_factory=dict)
    first_told: dict[TallyLogName, int] | None = None
    lagging_intervals: dict[TallyLogName, int] = dataclasses.field(default_factory=dict)
    former: dict[TallyLogName, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Follower:
    """A connection whose other side wants to know this node's positions; `told` are those that it knows."""

    connection: interfaces.Connection
    told: dict[TallyLogName, int]


class TallyReplicator:
    """The exchange with all other core nodes.

    Args:
        own: Address of this node.
        state: What this node has.
        durable: Returns the positions on this node's disk.
        core_addresses: Returns the addresses of the core nodes that this node connects to.
        connection_to: Returns the connection that this node dialed to a core node; None without one.
        on_progress: Called when another node has more on its disk.
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
        self._followers: list[_Follower] = []
        self._settled: dict[TallyLogName, int] = {}  # this node's positions at the interval before
        self.is_active = False

    # What is known of other nodes.
    def positions_of(self, address: str) -> tally_state.Positions | None:
        """Returns the positions on another node's disk; None where it is not connected or has not told them."""
        peer = self._current_peer(address)
        return peer.durable if peer is not None else None

    def first_positions_of(self, address: str) -> tally_state.Positions | None:
        """Returns what another node told first on its present connection; None where it told nothing."""
        peer = self._current_peer(address)
        return peer.first_told if peer is not None else None

    def _current_peer(self, address: str) -> _Peer | None:
        peer = self._peers.get(address)
        connection = self._connection_to(address)
        return peer if peer is not None and connection is not None and peer.connection is connection else None

    # The side that dialed.
    def activate(self) -> None:
        """Begins the exchange; before anybody uses tallies, nothing is sent."""
        if not self.is_active:
            self.is_active = True
            self.connect_all()

    def connect_all(self) -> None:
        """Asks for positions on each connection on which that was not done yet."""
        if not self.is_active:
            return
        for address in self._core_addresses():
            connection = self._connection_to(address)
            if connection is not None and self._current_peer(address) is None:
                self._peers[address] = _Peer(connection=connection)
                connection.send(messages.TallyPositionsRequest(number=0))

    def probe(self, address: str) -> None:
        """Asks a node for its positions once more, to hear from it."""
        peer = self._current_peer(address)
        if peer is not None:
            peer.connection.send(messages.TallyPositionsRequest(number=0))

    def send_own(self) -> None:
        """Sends what is new in this node's own logs to all nodes that have told their positions."""
        own_logs = [log for log in self._state.positions() if log.origin == self._own]
        for address in self._peers:
            peer = self._current_peer(address)
            if peer is not None and peer.durable is not None:
                for log in own_logs:
                    self._send_log(peer, log, up_to=self._state.position(log))

    def tick(self) -> None:
        """At each heartbeat interval: new connections, relays, and news for followers."""
        self.connect_all()
        for address in list(self._peers):
            peer = self._current_peer(address)
            if peer is None:
                del self._peers[address]
            elif peer.durable is not None:
                self._relay(address, peer)
        self._settled = self._state.positions()
        self._followers = [follower for follower in self._followers if follower.connection.is_open]
        for follower in self._followers:
            self._tell(follower)

    def _relay(self, address: str, peer: _Peer) -> None:
        assert peer.durable is not None
        lagging = {
            log: peer.lagging_intervals.get(log, 0) + 1
            for log, position in self._settled.items()
            if position > peer.durable.get(log, 0) <= peer.former.get(log, 0)
        }
        rank = self._relay_rank(address)
        for log, intervals in lagging.items():
            if intervals > rank:
                self._send_log(peer, log, up_to=self._settled[log])
        peer.lagging_intervals = lagging
        peer.former = dict(peer.durable)

    def _relay_rank(self, address: str) -> int:
        """How many connected nodes relay to this one before this node does."""
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
        for message in tally_writer.adds_behind(state=self._state, log=log, position=start, up_to=end):
            peer.connection.send(message)
        peer.sent[log] = end

    def _send_snapshot(self, peer: _Peer) -> None:
        peer.connection.send(self._state.snapshot())
        for log in self._state.positions():
            peer.sent[log] = max(peer.sent.get(log, 0), self._state.folded_position(log))

    def handle_positions(self, address: str, message: messages.TallyPositions) -> None:
        """Another node tells what it has on its disk."""
        peer = self._current_peer(address)
        if peer is None:
            return
        told = {row.log: row.position for row in message.positions}
        if peer.durable is None:
            peer.durable = told
            peer.first_told = dict(told)
            self.send_own()
        else:
            peer.durable |= told
            self._continue(peer)
        self._on_progress()

    def _continue(self, peer: _Peer) -> None:
        """Goes on with logs of which a window was sent."""
        for log in list(peer.sent):
            is_own = log.origin == self._own
            self._send_log(peer, log, up_to=self._state.position(log) if is_own else self._settled.get(log, 0))

    # The side that was dialed.
    def handle_request(self, connection: interfaces.Connection) -> None:
        """Another node wants to know this node's positions, now and whenever they grow."""
        follower = _Follower(connection=connection, told=dict(self._durable()))
        self._followers = [other for other in self._followers if other.connection is not connection]
        self._followers.append(follower)
        connection.send(messages.TallyPositions(is_complete=True, positions=_rows(follower.told)))

    def tell_durable(self) -> None:
        """Tells the nodes that sent something what is on the disk now."""
        for follower in self._followers:
            self._tell(follower)

    def _tell(self, follower: _Follower) -> None:
        durable = self._durable()
        news = {log: position for log, position in durable.items() if position > follower.told.get(log, 0)}
        if news:
            follower.told |= news
            follower.connection.send(messages.TallyPositions(is_complete=False, positions=_rows(news)))

    def handle_adds(self, connection: interfaces.Connection, message: messages.TallyAdds) -> bool:
        """Merges adds of another node; returns whether they could be."""
        return self._merge(
            connection, lambda: self._state.merge(log=message.log, first=message.first, adds=message.adds)
        )

    def handle_snapshot(self, connection: interfaces.Connection, message: messages.TallySnapshot) -> bool:
        """Takes over what another node folded; returns whether it could be."""
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
