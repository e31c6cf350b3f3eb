"""The hub of one producer generation (docs/relay.md 4): lazy, one mirror, a cut and a bounded queue for each subscriber."""

import struct

from pw.base import problems
from pw.base import wire

QUEUE_LIMIT_BYTES = 512 * 1024
ROW = struct.Struct(">II")  # bucket, its sequence; the image follows


class Fenced(problems.Problem):
    """Identity, lease, sequence or encoding fault: the generation is over."""


class Hub:
    def __init__(self, *, identity: str, generation: int, actor):
        self.identity = identity
        self.generation = generation
        self._actor = actor
        self._images = [actor.filter.image(index) for index in range(actor.filter.bucket_count)]
        self._versions = [0] * actor.filter.bucket_count
        actor.filter.dirty.clear()
        self._subscribers = {}
        self.is_fenced = False

    def join(self, link) -> None:
        """The subscriber's own cut: what isn't empty, with its sequence; deltas follow on the same link."""
        self.flush()
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

    def flush(self) -> None:
        dirty = self._actor.filter.dirty
        if not dirty:
            return
        rows = []
        for index in sorted(dirty):
            image = self._actor.filter.image(index)
            if image == self._images[index]:
                continue
            self._images[index] = image
            self._versions[index] += 1
            rows.append(ROW.pack(index, self._versions[index]) + image)
        dirty.clear()
        if not rows:
            return
        frame = wire.pack(("delta", self.identity, self.generation, b"".join(rows)))
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
