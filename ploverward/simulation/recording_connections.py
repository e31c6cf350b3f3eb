"""Test helpers: connections that record sent messages, and rows and messages as digests send them."""

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
    """A connection that records the messages sent on it, after packing and unpacking them with the frame codec.

    Attributes:
        messages: The sent messages.
        is_open: Whether it has not been closed.
        queue: Number of unsent bytes that `queued` reports.
    """

    def __init__(self) -> None:
        self.messages: list[tuple] = []
        self.is_open = True
        self.queue = 0

    def send(self, message: tuple) -> None:
        """Records a message."""
        self.send_bytes(frames.pack(message))

    def send_bytes(self, data: bytes) -> None:
        """Records a packed message."""
        self.messages.append(frames.unpack(data))

    def queued(self) -> int:
        """Returns the number of unsent bytes."""
        return self.queue

    def close(self, *, reason: str = "") -> None:
        """Closes the connection; unlike a `PeerConnection`, it runs no callback."""
        self.is_open = False

    def kinds(self) -> list[type]:
        """Returns the types of the sent messages."""
        return [type(message) for message in self.messages]

    def of_type(self, message_type: type) -> list:
        """Returns the sent messages of one type."""
        return [message for message in self.messages if isinstance(message, message_type)]

    def clear(self) -> None:
        """Discards the recorded messages."""
        self.messages.clear()


def as_peer(link: RecordingLink) -> peer_connection.PeerConnection:
    """Returns the same connection typed as the real class, for code that uses only the methods of `RecordingLink`."""
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
    """Returns the row of a replica in a load report or in aggregates."""
    return row_codec.REPORTED_LOAD_ROW.pack(
        row_codec.replica_key(name), region, running, tokens, suspect_count, ended, failed
    )


def read_row(name: str, *parts: tuple[str, int], service: str = "llm", model: str = "m", region: int = 0) -> bytes:
    """Returns the row of a prompt that a replica processed; `parts` are its (name, token count) pairs."""
    return row_codec.pack_read(
        replica=row_codec.replica_key(name),
        region=region,
        domain=bytes.fromhex(resolution.domain_id(service=service, model=model)),
        parts=tuple(
            (cuckoo_filter.token_hash(model=model, part=part, tokens=tokens), tokens) for part, tokens in parts
        ),
    )


def aggregates_message(number: int, *, loads: Iterable[bytes] = (), reads: Iterable[bytes] = ()) -> messages.Aggregates:
    """Returns a batch of a digest, made of rows of `load_row` and `read_row`."""
    return messages.Aggregates(number, b"".join(loads), b"".join(reads))


def loads_of(message: messages.ReplicaLoads) -> dict[bytes, load_feed.Load]:
    """Returns the rows of a load frame by replica key."""
    rows = row_codec.rows(shape=row_codec.LOAD_ROW, data=message.load_rows)
    return {key: load_feed.Load(*load) for key, *load in rows}
