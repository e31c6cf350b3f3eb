"""Forwards the relays' publications to a digest's members, each by its own bounded queue (docs/digest.md 2).

`Fanout` owns the members and which replicas each follows; `CutQueue` owns the cuts of pools that members are still to
be sent. Invariant: no member is sent a delta of a pool while a cut of it waits for that member.
"""

import collections
import dataclasses
from collections.abc import Iterator
from collections.abc import Mapping

from ploverward.data_plane.relay import hub
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import mirror
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport import row_codec

MAX_CUT_BYTES_PER_TICK = 16 * 1024  # to members: many cuts at once would delay clients' responses on this machine


@dataclasses.dataclass(slots=True)
class Member:
    """One member at the other end of a connection."""

    address: str
    followed_keys: frozenset[bytes] | None = None  # replicas whose load it is sent; None: all
    pending_cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)  # (region, pool)


class Fanout:
    """Sends publications to members.

    They are forwarded unchanged, except loads: a member that follows some replicas gets the rows of these, and of all
    full replicas.
    """

    def __init__(self) -> None:
        self.members: dict[peer_connection.PeerConnection, Member] = {}
        self._followers: dict[bytes, list[peer_connection.PeerConnection]] = {}  # by replica key
        self._full: set[bytes] = set()  # replicas that were published as full

    def admit(self, connection: peer_connection.PeerConnection, *, address: str) -> None:
        """A newer connection of a member ends the older one."""
        for other in [other for other, member in self.members.items() if member.address == address]:
            other.close(reason="a newer link of the same member")
        self.members[connection] = Member(address=address)

    def remove(self, connection: peer_connection.PeerConnection) -> bool:
        """Whether this was a member's connection."""
        if self.members.pop(connection, None) is None:
            return False
        self._index_followers()
        return True

    def follow(self, connection: peer_connection.PeerConnection, *, keys: frozenset[bytes] | None) -> None:
        """The member requests the loads of these replicas only, or of all."""
        self.members[connection].followed_keys = keys
        self._index_followers()

    def _index_followers(self) -> None:
        self._followers = {}
        for connection, member in self.members.items():
            for key in member.followed_keys or ():
                self._followers.setdefault(key, []).append(connection)

    def broadcast(self, frame: bytes) -> None:
        """Sends a frame to all members."""
        for connection in list(self.members):
            self._send(connection, frame)

    def _send(self, connection: peer_connection.PeerConnection, frame: bytes) -> None:
        if connection.queued() > hub.QUEUE_LIMIT_BYTES:
            connection.close(reason="digest queue overflow")
            return
        connection.send_bytes(frame)

    def forward_publication(self, *, region: str, frame: bytes, message: tuple) -> None:
        """Sends what the region's relay published to the members that it concerns.

        Args:
            region: the relay's.
            frame: as the relay sent it.
            message: what the frame contains.
        """
        if not self.members:
            return
        if isinstance(message, messages.PoolDelta):
            self._broadcast_delta(region, message.pool, frame)
        elif isinstance(message, messages.ReplicaLoads) and self._followers:
            self._broadcast_loads(region, message, frame)
        else:
            self.broadcast(frames.pack(messages.RelayedFrame(region, frame)))

    def _broadcast_delta(self, region: str, pool: str, frame: bytes) -> None:
        """Sends to all members except those that wait for the pool's cut, which will contain the delta."""
        relayed = frames.pack(messages.RelayedFrame(region, frame))
        for connection, member in list(self.members.items()):
            if (region, pool) not in member.pending_cuts:
                self._send(connection, relayed)

    def _broadcast_loads(self, region: str, message: messages.ReplicaLoads, frame: bytes) -> None:
        relayed = None
        rows_by_member = self._rows_by_member(message)
        for connection, member in list(self.members.items()):
            if member.followed_keys is None:
                relayed = relayed or frames.pack(messages.RelayedFrame(region, frame))
                self._send(connection, relayed)
            elif connection in rows_by_member:
                self._send_loads(connection, region, message._replace(load_rows=rows_by_member[connection]))

    def _send_loads(
        self, connection: peer_connection.PeerConnection, region: str, message: messages.ReplicaLoads
    ) -> None:
        self._send(connection, frames.pack(messages.RelayedFrame(region, frames.pack(message))))

    def send_load(
        self, connection: peer_connection.PeerConnection, *, region: str, message: messages.ReplicaLoads
    ) -> None:
        """Sends one member what it follows of a region's loads."""
        keys = self.members[connection].followed_keys
        if keys is not None:
            rows = [
                row_codec.LOAD_ROW.pack(key, running, tokens, suspect_count, flags)
                for key, running, tokens, suspect_count, flags in row_codec.rows(
                    shape=row_codec.LOAD_ROW, data=message.load_rows
                )
                if key in keys or flags & load_feed.FULL
            ]
            message = message._replace(load_rows=b"".join(rows))
        self._send_loads(connection, region, message)

    def _rows_by_member(self, message: messages.ReplicaLoads) -> dict[peer_connection.PeerConnection, bytes]:
        """Rows of a load frame for each member that follows some replicas; a snapshot concerns all of these."""
        selective = [connection for connection, member in self.members.items() if member.followed_keys is not None]
        found: dict[peer_connection.PeerConnection, list] = (
            {connection: [] for connection in selective} if message.is_snapshot else {}
        )
        data, size = message.load_rows, row_codec.LOAD_ROW.size
        for index, (key, *_counts, flags) in enumerate(row_codec.rows(shape=row_codec.LOAD_ROW, data=data)):
            for connection in self._recipients(key, flags=flags, selective=selective):
                found.setdefault(connection, []).append(data[index * size : (index + 1) * size])
        return {connection: b"".join(rows) for connection, rows in found.items()}

    def _recipients(self, key: bytes, *, flags: int, selective: list) -> list:
        """Who is sent this row: everyone where the replica becomes full, and where it no longer is."""
        is_full = bool(flags & load_feed.FULL)
        if not is_full and key not in self._full:
            return self._followers.get(key, [])
        if is_full:
            self._full.add(key)
        else:
            self._full.discard(key)
        return selective


class CutQueue:
    """Queue of pools' cuts for members; a cut is made from the mirror when it is sent."""

    def __init__(
        self,
        *,
        members: Mapping[peer_connection.PeerConnection, Member],
        mirrors: Mapping[str, mirror.RegionMirror],
    ) -> None:
        self._members = members
        self._mirrors = mirrors
        self.pending: collections.deque[tuple[peer_connection.PeerConnection, str, str]] = collections.deque()
        self.budget_bytes = 0  # what may be sent now; below 0 after a large cut

    def add(self, connection: peer_connection.PeerConnection, region: str, pool: str) -> None:
        """This member is to be sent a cut of this pool; once is enough."""
        pending = self._members[connection].pending_cuts
        if (region, pool) not in pending:
            pending.add((region, pool))
            self.pending.append((connection, region, pool))

    def add_for_all(self, region: str, pool: str) -> None:
        """All members are to be sent a cut of this pool."""
        for connection in self._members:
            self.add(connection, region, pool)

    def send(self) -> None:
        """Sends cuts as the mirrors are now, up to the bytes of one tick."""
        self.budget_bytes = min(MAX_CUT_BYTES_PER_TICK, self.budget_bytes + MAX_CUT_BYTES_PER_TICK)
        for connection, region, pool in self._due():
            cut = self._cut(region, pool)
            if cut is not None:
                frame = frames.pack(messages.RelayedFrame(region, frames.pack(cut)))
                connection.send_bytes(frame)
                self.budget_bytes -= len(frame)

    def _due(self) -> Iterator[tuple[peer_connection.PeerConnection, str, str]]:
        while self.pending and self.budget_bytes > 0:
            connection, region, pool = self.pending.popleft()
            member = self._members.get(connection)
            if member is not None:
                member.pending_cuts.discard((region, pool))
                yield connection, region, pool

    def _cut(self, region: str, pool: str) -> messages.PoolCut | None:
        found = self._mirrors[region].pools.get(pool)
        return found.cut() if found is not None and found.buckets else None
