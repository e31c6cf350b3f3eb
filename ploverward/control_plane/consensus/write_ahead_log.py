"""Delays replies until the state that they report is on the disk (docs/register.md 3).

The acceptor in memory runs ahead of the disk. `WriteAheadLog.durable` is the acceptor's state on the disk: what is
sent without a wait (replies to quorum reads, rows for a learner, minimum versions) is read from there alone. Replies
to prepares and accepts wait for a write that covers them; a write contains the newest row of each register that
changed, so it covers all replies that wait.

A failed write drops the replies that waited for it: their proposers get no answer from this node. Until a write
succeeds again, and while one hangs, `is_unavailable` is true and the node votes for nothing.
"""

import collections.abc

from ploverward.common import failure_spell
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.transport import interfaces
from ploverward.transport import messages

NEWEST_WRITE_WEIGHT = 0.3  # of the newest write in the usual duration

Callback = collections.abc.Callable[[], None]


class WriteAheadLog:
    """Writes one batch at a time on a thread of the loop's pool.

    Args:
        loop: the event loop; all methods run on it.
        storage: where the image is written.
        retry_s: from a failed write to the next attempt.
        hang_s: a write that takes longer counts as hanging.

    Attributes:
        durable: the acceptor's state on the disk.
        usual_write_s: how long writes took lately, in seconds; 0 before the first one.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        storage: acceptor_storage.AcceptorStorage,
        retry_s: float,
        hang_s: float,
    ) -> None:
        self._loop = loop
        self._storage = storage
        self._retry_s = retry_s
        self._hang_s = hang_s
        self._acceptor = acceptors.Acceptor()
        self._first_set: tuple[str, ...] = ()
        self.durable = acceptors.Acceptor()
        self._unsaved: set[str] = set()  # registers whose row is not yet in a write
        self._newest_change = 0  # number of the newest change
        self._durable_change = 0  # number of the newest change that is on the disk
        # key: (change that has to be durable, what then runs). Bounded by the keys: members, kinds and registers.
        self._waiting: dict[collections.abc.Hashable, tuple[int, Callback]] = {}
        self._writing_since: float | None = None
        self._spell = failure_spell.FailureSpell(
            now=loop.now, failed_event="disk_write_failed", recovered_event="disk_write_recovered"
        )
        self._on_begun: Callback | None = None
        self.average_write_s = 0.0

    @property
    def is_unavailable(self) -> bool:
        """Whether the disk refuses writes now, or hangs in one."""
        is_hanging = self._writing_since is not None and self._loop.now() - self._writing_since > self._hang_s
        return self._spell.is_failing or is_hanging

    def begin(
        self, *, acceptor: acceptors.Acceptor, first_set: tuple[str, ...], on_durable: Callback | None = None
    ) -> None:
        """Starts with an acceptor of which nothing is known to be durable.

        Args:
            acceptor: the acceptor in memory; the log reads it at each write.
            first_set: the core set in force before any value was chosen.
            on_durable: called once, however late, when all of it is durable.
        """
        self._on_begun = on_durable
        self._acceptor = acceptor
        self._first_set = first_set
        self._newest_change += 1
        self._write()

    def append(self, *, row: messages.RegisterRow | None) -> None:
        """Notes that a row of the acceptor has changed; None: it has not."""
        if row is not None:
            self._unsaved.add(row.register)
            self._newest_change += 1

    def when_durable(self, *, key: collections.abc.Hashable, callback: Callback) -> None:
        """Calls back once all changes so far are durable; never, if the write that covers them fails.

        Args:
            key: a newer call with the same key replaces the older one: its asker has moved on.
            callback: what then runs.
        """
        if self._durable_change == self._newest_change:
            callback()
            return
        self._waiting[key] = (self._newest_change, callback)
        if not self._spell.is_failing:
            self._write()

    def _write(self) -> None:
        if self._writing_since is not None or self._durable_change == self._newest_change:
            return
        acceptor, change, names = self._acceptor, self._newest_change, self._unsaved
        self._unsaved = set()
        image = acceptor_storage.AcceptorImage(
            incarnation=acceptor.incarnation, first_set=self._first_set, rows=acceptor.rows()
        )
        rows = tuple(row for row in image.rows if row.register in names)
        begun_at = self._writing_since = self._loop.now()

        def done(outcome: interfaces.Outcome) -> None:
            self._writing_since = None
            error = outcome.exception()
            if error is None:
                self._on_written(image, change, self._loop.now() - begun_at)
            else:
                self._unsaved |= names
                self._on_failed(error)

        self._loop.offload(work=lambda: self._storage.write(rows=rows, image=image), done=done)

    def _note_duration(self, took_s: float) -> None:
        previous_s = self.average_write_s or took_s
        self.average_write_s = previous_s + (took_s - previous_s) * NEWEST_WRITE_WEIGHT

    def _on_written(self, image: acceptor_storage.AcceptorImage, change: int, took_s: float) -> None:
        self._spell.note_success()
        self._note_duration(took_s)
        self._durable_change = change
        self.durable = acceptors.Acceptor(incarnation=image.incarnation, rows=image.rows)
        on_begun, self._on_begun = self._on_begun, None
        if on_begun is not None:
            on_begun()
        ready = [(key, callback) for key, (needed, callback) in self._waiting.items() if needed <= change]
        for key, _callback in ready:
            del self._waiting[key]
        for _key, callback in ready:
            callback()
        self._write()

    def _on_failed(self, error: BaseException) -> None:
        self._spell.note_failure(error)
        self._waiting.clear()
        self._loop.after(delay=self._retry_s, callback=self._write)
