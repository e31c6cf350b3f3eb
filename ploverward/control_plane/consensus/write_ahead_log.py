"""Write-ahead log of the acceptor: delays replies until the state that they report is durable (docs/register.md 3).

The acceptor in memory may be ahead of the disk. `WriteAheadLog.durable` is the acceptor's state on the disk. Messages
that are sent without waiting (replies to quorum reads, rows for a learner, minimum versions) are read only from there.
Replies to prepare and accept requests wait for a write that covers them. A write contains the newest row of each
register that changed, so it covers all replies that wait when it starts.

A failed write drops the replies that wait, and their proposers get no reply from this node. From a failed write until
the next successful one, and while a write hangs, `is_unavailable` is true and the node grants no request.
"""

import collections.abc

from ploverward.common import failure_spell
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.transport import interfaces
from ploverward.transport import messages

NEWEST_WRITE_WEIGHT = 0.3  # weight of the latest write in the moving average of write durations

Callback = collections.abc.Callable[[], None]


class WriteAheadLog:
    """Writes the acceptor's changes in batches, one at a time, on a thread of the loop's pool.

    Args:
        loop: The event loop; all methods run on it.
        storage: Writes the image to the disk.
        retry_s: Delay in seconds between a failed write and the next attempt.
        hang_s: A write that takes longer than this, in seconds, counts as hanging.

    Attributes:
        durable: The acceptor's state on the disk.
        average_write_s: Moving average of write durations in seconds, weighted towards recent writes; 0 before the
            first write.
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
        self._unsaved: set[str] = set()  # registers with a changed row that no write includes yet
        self._newest_change = 0  # number of the latest change
        self._durable_change = 0  # number of the latest change that is on the disk
        # Key to the number of the change that has to be durable, and the callback. The number of keys is bounded: a key
        # is made of a member, a type of request and a register.
        self._waiting: dict[collections.abc.Hashable, tuple[int, Callback]] = {}
        self._writing_since: float | None = None
        self._spell = failure_spell.FailureSpell(
            now=loop.now, failed_event="disk_write_failed", recovered_event="disk_write_recovered"
        )
        self._on_initial_write: Callback | None = None
        self.average_write_s = 0.0

    @property
    def is_unavailable(self) -> bool:
        """Whether the last write failed or the current one hangs."""
        is_hanging = self._writing_since is not None and self._loop.now() - self._writing_since > self._hang_s
        return self._spell.is_failing or is_hanging

    def begin(
        self, *, acceptor: acceptors.Acceptor, first_set: tuple[str, ...], on_durable: Callback | None = None
    ) -> None:
        """Starts with an acceptor whose state is not known to be durable, and writes it.

        Args:
            acceptor: The acceptor in memory; the log reads it at each write.
            first_set: The core set in force before any value was chosen.
            on_durable: Called once when the whole state is durable, even if writes fail before that.
        """
        self._on_initial_write = on_durable
        self._acceptor = acceptor
        self._first_set = first_set
        self._newest_change += 1
        self._write()

    def append(self, *, row: messages.RegisterRow | None) -> None:
        """Records that a row of the acceptor has changed and has to be written; None means no change."""
        if row is not None:
            self._unsaved.add(row.register)
            self._newest_change += 1

    def when_durable(self, *, key: collections.abc.Hashable, callback: Callback) -> None:
        """Calls back once all changes so far are durable. If a write fails before that, it never calls back.

        Args:
            key: A call replaces a waiting one with the same key, because the requester no longer waits for that reply.
            callback: Called without arguments.
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
        started_at = self._writing_since = self._loop.now()

        def done(outcome: interfaces.Outcome) -> None:
            self._writing_since = None
            error = outcome.exception()
            if error is None:
                self._on_written(image, change, self._loop.now() - started_at)
            else:
                self._unsaved |= names
                self._on_failed(error)

        self._loop.offload(work=lambda: self._storage.write(rows=rows, image=image), done=done)

    def _update_average(self, duration_s: float) -> None:
        previous_s = self.average_write_s or duration_s
        self.average_write_s = previous_s + (duration_s - previous_s) * NEWEST_WRITE_WEIGHT

    def _on_written(self, image: acceptor_storage.AcceptorImage, change: int, duration_s: float) -> None:
        self._spell.note_success()
        self._update_average(duration_s)
        self._durable_change = change
        self.durable = acceptors.Acceptor(incarnation=image.incarnation, rows=image.rows)
        on_initial_write, self._on_initial_write = self._on_initial_write, None
        if on_initial_write is not None:
            on_initial_write()
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
