"""Durable before told: answers wait until the disk holds what they tell (docs/register.md 3).

The acceptor in memory runs ahead of the disk. `held` is the acceptor as the disk has it: what is told without a wait
(peeks, rows for a learner, versions) is read from there alone. Answers to promises and accepts wait for a write that
covers them; a write takes the newest row of each register that changed, so it serves all who wait.

A failed write drops the answers that waited for it: to their proposers this node is silent. Until a write goes through
again, and while one hangs, `is_hindered` is true and the node votes for nothing.
"""

import logging

from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage

_log = logging.getLogger(__name__)


class WriteAheadLog:
    """Writes one batch at a time on the pool of the loop."""

    def __init__(self, *, loop, store, retry_s: float, hang_s: float):
        self._loop = loop
        self._store = store
        self._retry_s = retry_s
        self._hang_s = hang_s
        self._acceptor = None
        self._first_set = ()
        self.accepted_state = acceptors.Acceptor()
        self._changed = set()  # registers with a row that is not safe yet
        self._change = 0  # number of the newest change
        self._safe = 0  # number of the newest change that the disk holds
        self._waiting = {}  # key: (change that must be safe, act)
        self._writing_since = None
        self._is_failing = False
        self._on_safe = None

    @property
    def is_hindered(self) -> bool:
        """Whether the disk refuses writes now, or hangs in one."""
        is_hanging = self._writing_since is not None and self._loop.now() - self._writing_since > self._hang_s
        return self._is_failing or is_hanging

    def begin(self, *, acceptor, first_set: tuple, on_safe) -> None:
        """Starts with this acceptor, of which nothing is known to be safe. `on_safe` runs once, however late, when it is."""
        self._on_safe = on_safe
        self._acceptor = acceptor
        self._first_set = first_set
        self._change += 1
        self._write()

    def record(self, *, row) -> None:
        """A row of the acceptor has changed; None: it has not."""
        if row is not None:
            self._changed.add(row[0])
            self._change += 1

    def respond(self, *, key, callback) -> None:
        """`act` runs once all changes so far are safe. A newer one of the same key takes its place: its asker has moved on."""
        if self._safe == self._change:
            callback()
            return
        self._waiting[key] = (self._change, callback)
        if not self._is_failing:
            self._write()

    def _write(self) -> None:
        if self._writing_since is not None or self._safe == self._change:
            return
        acceptor, change, names = self._acceptor, self._change, self._changed
        self._changed = set()
        image = acceptor_storage.Image(
            incarnation=acceptor.incarnation, first_set=self._first_set, rows=acceptor.rows()
        )
        rows = tuple(row for row in image.rows if row[0] in names)
        self._writing_since = self._loop.now()

        def done(future) -> None:
            self._writing_since = None
            failure = future.exception()
            if failure is None:
                self._take_written(image, change)
            else:
                self._changed |= names
                self._take_failure(failure)

        self._loop.offload(work=lambda: self._store.write(rows=rows, image=image), done=done)

    def _take_written(self, image, change: int) -> None:
        self._is_failing = False
        self._safe = change
        self.accepted_state = acceptors.Acceptor(
            incarnation=image.incarnation, rows={row[0]: row for row in image.rows}
        )
        on_safe, self._on_safe = self._on_safe, None
        if on_safe is not None:
            on_safe()
        ready = [(key, callback) for key, (needed, callback) in self._waiting.items() if needed <= change]
        for key, _act in ready:
            del self._waiting[key]
        for _key, callback in ready:
            callback()
        self._write()

    def _take_failure(self, failure) -> None:
        if not self._is_failing:
            _log.error("disk_write_failed", extra={"fault": str(failure)})
        self._is_failing = True
        self._waiting.clear()
        self._loop.after(delay=self._retry_s, callback=self._write)
