"""Connections that keep what they are sent, and rows and messages as digests send them, for tests."""

import typing
from collections.abc import Iterable

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import resolution
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport import row_codec


class RecordingLink:
    """A connection that keeps what it is sent, packed and unpacked by the frames' codec.

    Attributes:
        messages: what was sent.
        is_open: until `close`.
        queue: unsent bytes, as `queued` reports them.
    """

    def __init__(self) -> None:
        self.messages: list[tuple] = []
        self.is_open = True
        self.queue = 0

    def send(self, message: tuple) -> None:
        """As a `PeerConnection` does."""
        self.send_bytes(frames.pack(message))

    def send_bytes(self, data: bytes) -> None:
        """As a `PeerConnection` does."""
        self.messages.append(frames.unpack(data))

    def queued(self) -> int:
        """As a `PeerConnection` does."""
        return self.queue

    def close(self, *, reason: str = "") -> None:
        """As a `PeerConnection` does, but nobody is called at its end."""
        self.is_open = False

    def kinds(self) -> list[type]:
        """The types of what was sent."""
        return [type(message) for message in self.messages]

    def of_type(self, message_type: type) -> list:
        """What was sent of one type of message."""
        return [message for message in self.messages if isinstance(message, message_type)]

    def clear(self) -> None:
        """Forgets what was sent."""
        self.messages.clear()


def as_peer(link: RecordingLink) -> peer_connection.PeerConnection:
    """The same connection, for code that names the real class: it uses no more of it than a `RecordingLink` has."""
    return typing.cast(peer_connection.PeerConnection, link)


def load_row(
    name: str,
    running: int = 0,
    tokens: int = 0,
    suspect_count: int = 0,
    ended: int = 0,
    failed: int = 0,
    region: int = 0,
) -> bytes:
    """One replica's row of a load report or of aggregates."""
    return row_codec.REPORTED_LOAD_ROW.pack(
        row_codec.replica_key(name), region, running, tokens, suspect_count, ended, failed
    )


def read_row(name: str, *parts: tuple[str, int], service: str = "llm", model: str = "m", region: int = 0) -> bytes:
    """A prompt of these (name, tokens) that a replica processed."""
    return row_codec.pack_read(
        replica=row_codec.replica_key(name),
        region=region,
        domain=bytes.fromhex(resolution.domain_id(service=service, model=model)),
        parts=tuple(
            (cuckoo_filter.token_hash(model=model, part=part, tokens=tokens), tokens) for part, tokens in parts
        ),
    )


def aggregates_message(number: int, *, loads: Iterable[bytes] = (), reads: Iterable[bytes] = ()) -> messages.Aggregates:
    """A batch of a digest, of the rows that `load_row` and `read_row` make."""
    return messages.Aggregates(number, b"".join(loads), b"".join(reads))


def loads_of(message: messages.ReplicaLoads) -> dict[bytes, load_feed.Load]:
    """The rows of a load frame by replica key."""
    rows = row_codec.rows(shape=row_codec.LOAD_ROW, data=message.load_rows)
    return {key: load_feed.Load(*load) for key, *load in rows}
