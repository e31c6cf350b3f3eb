"""The hub of one pool generation: publishes the pool's filter to subscribers (docs/relay.md 4).

A hub starts with its first subscriber. It owns the images of the filter's buckets as they were published, with a
sequence number for each bucket. Each subscriber is sent its own cut and has its own bounded queue. Invariant: a
subscriber's cut with the deltas after it equals the hub's images.
"""

import struct
from collections.abc import Iterable
from collections.abc import Sequence

from ploverward.common import errors
from ploverward.data_plane.relay import actor as actors
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection

QUEUE_LIMIT_BYTES = 512 * 1024  # unsent bytes of a subscriber at which its stream is closed
ROW = struct.Struct(">II")  # bucket, its sequence number; the image follows


class FencedError(errors.PloverwardError):
    """The hub may not publish any more: its generation is not the pool's, or it was fenced before."""


def pack_rows(*, versions: Sequence[int], images: Sequence[bytes], blank: bytes) -> bytes:
    """Returns the rows of a cut: the buckets that were published at least once or are not empty.

    Args:
        versions: Sequence number of each bucket.
        images: Image of each bucket.
        blank: Image of an empty bucket.
    """
    return b"".join(
        ROW.pack(index, version) + image
        for index, (version, image) in enumerate(zip(versions, images, strict=True))
        if version or image != blank
    )


class Hub:
    """Publishes one filter to subscribers that are sent deltas at the same interval.

    Buckets that changed are queued until they are published: urgent ones before deferrable ones, each kind in the order
    in which they changed. A bucket that changes again while it is queued is published once, with its newest image.

    Args:
        identity: Name of the pool.
        generation: Generation of the pool.
        actor: Owner of the filter.
    """

    def __init__(self, *, identity: str, generation: int, actor: actors.Actor) -> None:
        self.identity = identity
        self.generation = generation
        self._actor = actor
        self._images = [actor.filter.image(index) for index in range(actor.filter.bucket_count)]
        self._versions = [0] * actor.filter.bucket_count
        self._queued: dict[int, bool] = {}  # bucket: True, in the order of changes
        self._queued_deferrable: dict[int, bool] = {}
        self._subscribers: dict[peer_connection.PeerConnection, bool] = {}  # connection: True, in the order of joining
        self.is_fenced = False

    def join(self, connection: peer_connection.PeerConnection) -> None:
        """Adds a subscriber and sends it a cut of what was published; deltas follow on the same connection."""
        rows = pack_rows(versions=self._versions, images=self._images, blank=bytes(len(self._images[0])))
        self._subscribers[connection] = True
        connection.send(
            messages.PoolCut(self.identity, self.generation, len(self._images), self._actor.filter.words, rows)
        )

    def leave(self, connection: peer_connection.PeerConnection) -> None:
        """Removes one subscriber; the streams of the others continue."""
        self._subscribers.pop(connection, None)

    def subscriber_count(self) -> int:
        """Returns the number of subscribers."""
        return len(self._subscribers)

    def queue_changes(self, *, dirty: Iterable[int], dirty_deferrable: Iterable[int]) -> None:
        """Queues buckets of the filter that changed.

        Args:
            dirty: Buckets with urgent changes.
            dirty_deferrable: Other buckets that changed.
        """
        for index in sorted(dirty):
            self._queued_deferrable.pop(index, None)
            self._queued.setdefault(index, True)
        for index in sorted(dirty_deferrable):
            if index not in self._queued:
                self._queued_deferrable.setdefault(index, True)

    def queued_bucket_count(self) -> int:
        """Returns the number of buckets that are still to be published."""
        return len(self._queued) + len(self._queued_deferrable)

    def flush(self, *, most: int | None = None) -> None:
        """Publishes queued buckets in one delta.

        Args:
            most: Maximum number of buckets; None: all.
        """
        rows = self._next_rows(most)
        if not rows:
            return
        rows.sort()
        delta = messages.PoolDelta(self.identity, self.generation, b"".join(row for _index, row in rows))
        frame = frames.pack(delta)
        for connection in list(self._subscribers):
            if connection.queued() > QUEUE_LIMIT_BYTES:
                self.leave(connection)
                connection.close(reason="relay queue overflow")
                continue
            connection.send_bytes(frame)

    def _next_rows(self, most: int | None) -> list[tuple[int, bytes]]:
        """Takes buckets from the queues; returns (bucket, row) of those whose image differs from the published one."""
        rows: list[tuple[int, bytes]] = []
        for queue in (self._queued, self._queued_deferrable):
            while queue and (most is None or len(rows) < most):
                index = next(iter(queue))
                del queue[index]
                image = self._actor.filter.image(index)
                if image == self._images[index]:
                    continue
                self._images[index] = image
                self._versions[index] += 1
                rows.append((index, ROW.pack(index, self._versions[index]) + image))
        return rows

    def check_generation(self, *, generation: int) -> None:
        """Fences the hub if the pool has another generation.

        Args:
            generation: Present generation of the pool.

        Raises:
            FencedError: The pool has another generation, or the hub was fenced before.
        """
        if generation != self.generation or self.is_fenced:
            self.is_fenced = True
            raise FencedError(
                f"pool has generation {generation}, hub has {self.generation}", step="publish", peer=self.identity
            )
