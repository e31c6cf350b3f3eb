"""Distribution of the relays' publications to a digest's members, with a bounded queue per member (docs/digest.md 2).

`Fanout` owns the members and the set of replicas that each follows; `CutQueue` owns the queue of pools' cuts for
members. Invariant: no member is sent a delta of a pool while a cut of that pool is queued for it.
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

MAX_CUT_BYTES_PER_TICK = 16 * 1024  # over all members; many cuts at once would delay clients' responses on this machine


@dataclasses.dataclass(slots=True)
class Member:
    """State that a digest keeps of one member."""

    address: str
    followed_keys: frozenset[bytes] | None = None  # keys of the replicas whose loads it is sent; None: all
    pending_cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)  # (region, pool)


class Fanout:
    """Forwards publications to members.

    Frames are forwarded unchanged, except loads: a member that follows only some replicas is sent the rows of these and
    of all full replicas.
    """

    def __init__(self) -> None:
        self.members: dict[peer_connection.PeerConnection, Member] = {}
        self._followers: dict[bytes, list[peer_connection.PeerConnection]] = {}  # by replica key
        self._full: set[bytes] = set()  # keys of the replicas that were last published as full

    def admit(self, connection: peer_connection.PeerConnection, *, address: str) -> None:
        """Adds a member; an older connection of the same address is closed."""
        for other in [other for other, member in self.members.items() if member.address == address]:
            other.close(reason="replaced by a newer connection of the same member")
        self.members[connection] = Member(address=address)

    def remove(self, connection: peer_connection.PeerConnection) -> bool:
        """Removes a connection; returns whether it was a member's."""
        if self.members.pop(connection, None) is None:
            return False
        self._rebuild_follower_index()
        return True

    def follow(self, connection: peer_connection.PeerConnection, *, keys: frozenset[bytes] | None) -> None:
        """Sets the replicas whose loads the member is sent; None: all."""
        self.members[connection].followed_keys = keys
        self._rebuild_follower_index()

    def _rebuild_follower_index(self) -> None:
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
        """Forwards a publication of the region's relay to the members that it concerns.

        Args:
            region: Region of the relay.
            frame: The frame as the relay sent it.
            message: The unpacked frame.
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
        """Sends a delta to all members without a queued cut of the pool; such a cut will contain the delta."""
        relayed_frame = frames.pack(messages.RelayedFrame(region, frame))
        for connection, member in list(self.members.items()):
            if (region, pool) not in member.pending_cuts:
                self._send(connection, relayed_frame)

    def _broadcast_loads(self, region: str, message: messages.ReplicaLoads, frame: bytes) -> None:
        relayed_frame = None
        rows_by_member = self._rows_by_member(message)
        for connection, member in list(self.members.items()):
            if member.followed_keys is None:
                relayed_frame = relayed_frame or frames.pack(messages.RelayedFrame(region, frame))
                self._send(connection, relayed_frame)
            elif connection in rows_by_member:
                self._send_loads(connection, region, message._replace(load_rows=rows_by_member[connection]))

    def _send_loads(
        self, connection: peer_connection.PeerConnection, region: str, message: messages.ReplicaLoads
    ) -> None:
        self._send(connection, frames.pack(messages.RelayedFrame(region, frames.pack(message))))

    def send_load(
        self, connection: peer_connection.PeerConnection, *, region: str, message: messages.ReplicaLoads
    ) -> None:
        """Sends one member the rows of a load message for the replicas that it follows and for full ones."""
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
        """Returns the rows of a load message for each member that follows only some replicas.

        Members without rows are omitted, except from a snapshot, which replaces the loads of every member.
        """
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
        """Returns the selective members that are sent this row.

        These are the replica's followers; all of them if the replica is full, or was full when last published.
        """
        is_full = bool(flags & load_feed.FULL)
        if not is_full and key not in self._full:
            return self._followers.get(key, [])
        if is_full:
            self._full.add(key)
        else:
            self._full.discard(key)
        return selective


class CutQueue:
    """Queue of pools' cuts for members; a cut is made from the mirror at the time it is sent."""

    def __init__(
        self,
        *,
        members: Mapping[peer_connection.PeerConnection, Member],
        mirrors: Mapping[str, mirror.RegionMirror],
    ) -> None:
        self._members = members
        self._mirrors = mirrors
        self.pending: collections.deque[tuple[peer_connection.PeerConnection, str, str]] = collections.deque()
        self.budget_bytes = 0  # bytes that may be sent now; negative after a large cut

    def add(self, connection: peer_connection.PeerConnection, region: str, pool: str) -> None:
        """Queues a cut of this pool for a member, unless one is queued already."""
        pending = self._members[connection].pending_cuts
        if (region, pool) not in pending:
            pending.add((region, pool))
            self.pending.append((connection, region, pool))

    def add_for_all(self, region: str, pool: str) -> None:
        """Queues a cut of this pool for all members."""
        for connection in self._members:
            self.add(connection, region, pool)

    def send(self) -> None:
        """Sends queued cuts of the mirrors' present state, until the tick's bytes are spent."""
        self.budget_bytes = min(MAX_CUT_BYTES_PER_TICK, self.budget_bytes + MAX_CUT_BYTES_PER_TICK)
        for connection, region, pool in self._pop_due():
            cut = self._make_cut(region, pool)
            if cut is not None:
                frame = frames.pack(messages.RelayedFrame(region, frames.pack(cut)))
                connection.send_bytes(frame)
                self.budget_bytes -= len(frame)

    def _pop_due(self) -> Iterator[tuple[peer_connection.PeerConnection, str, str]]:
        while self.pending and self.budget_bytes > 0:
            connection, region, pool = self.pending.popleft()
            member = self._members.get(connection)
            if member is not None:
                member.pending_cuts.discard((region, pool))
                yield connection, region, pool

    def _make_cut(self, region: str, pool: str) -> messages.PoolCut | None:
        found = self._mirrors[region].pools.get(pool)
        return found.cut() if found is not None and found.buckets else None
