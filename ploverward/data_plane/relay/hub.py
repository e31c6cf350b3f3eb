"""The hub of one producer generation (docs/relay.md 4): lazy, one mirror, a cut and a bounded queue for each subscriber."""

import struct

from ploverward.common import errors
from ploverward.transport import frames

QUEUE_LIMIT_BYTES = 512 * 1024
ROW = struct.Struct(">II")  # bucket, its sequence; the image follows


class Fenced(errors.PloverwardError):
    """Identity, lease, sequence or encoding fault: the generation is over."""


class Hub:
    """Publishes one filter to subscribers that are told at the same pace.

    Buckets that changed wait here until they are told: those that subscribers wait for first, each kind in the order in
    which they changed. A bucket that changes again while it waits is told once, as it is then.
    """

    def __init__(self, *, identity: str, generation: int, actor):
        self.identity = identity
        self.generation = generation
        self._actor = actor
        self._images = [actor.filter.image(index) for index in range(actor.filter.bucket_count)]
        self._versions = [0] * actor.filter.bucket_count
        self._waiting = {}  # bucket: True
        self._waiting_later = {}
        self._subscribers = {}
        self.is_fenced = False

    def join(self, link) -> None:
        """The subscriber's own cut: what was told and isn't empty, with its sequence; deltas follow on the same link."""
        blank = bytes(len(self._images[0]))
        rows = b"".join(
            ROW.pack(index, version) + image
            for index, (version, image) in enumerate(zip(self._versions, self._images, strict=False))
            if version or image != blank
        )
        self._subscribers[link] = True
        link.send(("cut", self.identity, self.generation, len(self._images), self._actor.filter.words, rows))

    def leave(self, link) -> None:
        """Cancelling one stream closes only it."""
        self._subscribers.pop(link, None)

    def subscriber_count(self) -> int:
        return len(self._subscribers)

    def record(self, *, dirty, dirty_later) -> None:
        """Buckets of the filter that changed."""
        for index in sorted(dirty):
            self._waiting_later.pop(index, None)
            self._waiting.setdefault(index, True)
        for index in sorted(dirty_later):
            if index not in self._waiting:
                self._waiting_later.setdefault(index, True)

    def waiting(self) -> int:
        """How many buckets are still to be told."""
        return len(self._waiting) + len(self._waiting_later)

    def flush(self, *, most: int | None = None) -> None:
        """Tells buckets that changed: all of them, or so many as `most` says."""
        rows = []
        for waiting in (self._waiting, self._waiting_later):
            while waiting and (most is None or len(rows) < most):
                index = next(iter(waiting))
                del waiting[index]
                image = self._actor.filter.image(index)
                if image == self._images[index]:
                    continue
                self._images[index] = image
                self._versions[index] += 1
                rows.append((index, ROW.pack(index, self._versions[index]) + image))
        if not rows:
            return
        rows.sort()
        frame = frames.pack(("delta", self.identity, self.generation, b"".join(row for _index, row in rows)))
        for link in list(self._subscribers):
            if link.queued() > QUEUE_LIMIT_BYTES:
                self.leave(link)
                link.close(reason="relay queue overflow")
                continue
            link.send_bytes(frame)

    def check(self, *, generation: int) -> None:
        if generation != self.generation or self.is_fenced:
            self.is_fenced = True
            raise Fenced("another generation", step="publish", peer=self.identity)
