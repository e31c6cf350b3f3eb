"""Members of a digest: what they are told of the regions' publications, each in its own bounded queue (docs/digest.md 2)."""

import dataclasses

from ploverward.data_plane.relay import hub
from ploverward.data_plane.relay import load_feed
from ploverward.transport import frames
from ploverward.transport import row_codec


@dataclasses.dataclass
class Member:
    """One member at the other end of a link."""

    address: str
    follows: frozenset | None = None  # keys of the replicas whose load it is told of; None: all
    waits_for: set = dataclasses.field(default_factory=set)  # (region, pool) whose cut it is still to be sent


class Fanout:
    """Publications go on unchanged, but for loads: a member that follows some replicas gets rows of these alone, and of
    those that are full, wherever they are."""

    def __init__(self):
        self.members = {}  # link: Member
        self._followers = {}  # replica key: links that follow it
        self._full = set()  # keys of replicas that were told as full

    def admit(self, link, *, address: str) -> None:
        """A newer link of a member ends the older one."""
        for other in [other for other, member in self.members.items() if member.address == address]:
            other.close(reason="a newer link of the same member")
        self.members[link] = Member(address=address)

    def end(self, link) -> bool:
        """Whether this was a member's link."""
        if self.members.pop(link, None) is None:
            return False
        self._index()
        return True

    def follow(self, link, *, keys: frozenset) -> None:
        self.members[link].follows = keys
        self._index()

    def _index(self) -> None:
        self._followers = {}
        for link, member in self.members.items():
            for key in member.follows or ():
                self._followers.setdefault(key, []).append(link)

    def broadcast(self, frame: bytes) -> None:
        for link in list(self.members):
            self._send(link, frame)

    def _send(self, link, frame: bytes) -> None:
        if link.queued() > hub.QUEUE_LIMIT_BYTES:
            link.close(reason="digest queue overflow")
            return
        link.send_bytes(frame)

    def forward_publication(self, *, region: str, frame: bytes, message: tuple) -> None:
        """`frame` holds the message, as the region's relay sent it."""
        if not self.members:
            return
        if message[0] == "delta":
            self._broadcast_delta(region, message[1], frame)
            return
        if message[0] != "load" or not self._followers:
            self.broadcast(frames.pack(("relayed", region, frame)))
            return
        full_frame = None
        parts = self._parts(message)
        for link, member in list(self.members.items()):
            if member.follows is None:
                full_frame = full_frame or frames.pack(("relayed", region, frame))
                self._send(link, full_frame)
            elif link in parts:
                _kind, epoch, is_snapshot, _data = message
                self._send(
                    link, frames.pack(("relayed", region, frames.pack(("load", epoch, is_snapshot, parts[link]))))
                )

    def _broadcast_delta(self, region: str, pool: str, frame: bytes) -> None:
        """To all but those that wait for the cut: it will hold what the delta says."""
        packed = frames.pack(("relayed", region, frame))
        for link, member in list(self.members.items()):
            if (region, pool) not in member.waits_for:
                self._send(link, packed)

    def send_load(self, link, *, region: str, message: tuple) -> None:
        """A load frame, to one member."""
        follows = self.members[link].follows
        if follows is not None:
            _kind, epoch, is_snapshot, data = message
            rows = [
                row_codec.LOAD.pack(*row)
                for row in row_codec.rows(shape=row_codec.LOAD, data=data)
                if row[0] in follows or row[4] & load_feed.FULL
            ]
            message = ("load", epoch, is_snapshot, b"".join(rows))
        self._send(link, frames.pack(("relayed", region, frames.pack(message))))

    def _parts(self, message: tuple) -> dict:
        """Rows of a load frame for each member that follows some replicas."""
        _kind, _epoch, is_snapshot, data = message
        chosen = [link for link, member in self.members.items() if member.follows is not None]
        parts = {link: [] for link in chosen} if is_snapshot else {}
        size = row_codec.LOAD.size
        for index, row in enumerate(row_codec.rows(shape=row_codec.LOAD, data=data)):
            for link in self._links_for(row[0], flags=row[4], chosen=chosen):
                parts.setdefault(link, []).append(data[index * size : (index + 1) * size])
        return {link: b"".join(rows) for link, rows in parts.items()}

    def _links_for(self, key: bytes, *, flags: int, chosen: list) -> list:
        """All hear when a replica becomes full, and when it is no longer."""
        is_full = bool(flags & load_feed.FULL)
        if not is_full and key not in self._full:
            return self._followers.get(key, [])
        if is_full:
            self._full.add(key)
        else:
            self._full.discard(key)
        return chosen
