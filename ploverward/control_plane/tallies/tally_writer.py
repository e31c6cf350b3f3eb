"""Writes tallies to the disk in batches: adds that arrive during a write go into the next (docs/tallies.md 4)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.common import failure_spell
from ploverward.control_plane.tallies import tally_state
from ploverward.control_plane.tallies import tally_storage
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport.messages import TallyLogName

# The file is rewritten once it has more than MIN_REWRITE_ADDS adds above REWRITE_FACTOR times the number of ids
# and names that are kept. The minimum exists because a short file costs less to read than to rewrite.
REWRITE_FACTOR = 2
MIN_REWRITE_ADDS = 2000
ADDS_PER_RECORD = 500


class TallyWriter:
    """Writes the state of a node to its disk, one write at a time.

    Args:
        loop: The event loop; all methods run on it.
        storage: Writes the file.
        state: The tallies to write.
        retry_s: Delay from a failed write to the next attempt, in seconds.
        on_durable: Called whenever `durable` has grown.

    Attributes:
        durable: The positions that are on the disk.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        storage: tally_storage.TallyStorage,
        state: tally_state.TallyState,
        retry_s: float,
        on_durable: Callable[[], object],
    ) -> None:
        self._loop = loop
        self._storage = storage
        self._state = state
        self._retry_s = retry_s
        self._on_durable = on_durable
        self._is_writing = False
        self._is_retry_pending = False  # after a failed write, until the delay is over
        self._failure_spell = failure_spell.FailureSpell(
            now=loop.now, failed_event="tally_write_failed", recovered_event="tally_write_recovered"
        )
        self._has_installed_snapshot = False  # since the last write: the next one has to replace the file
        self.durable: dict[TallyLogName, int] = {}

    def note_installed_snapshot(self) -> None:
        """Makes the next write replace the file; to be called when a snapshot was installed, before `write`."""
        self._has_installed_snapshot = True

    def write(self) -> None:
        """Writes what is not on the disk yet, now or after the write in progress or the pending retry."""
        if self._is_writing or self._is_retry_pending:
            return
        target = self._state.positions()
        is_image = self._has_installed_snapshot or self._storage.needs_rewrite or self._is_rewrite_due()
        if target == self.durable and not self._has_installed_snapshot:
            return
        records = self._image_records() if is_image else self._new_records()
        self._has_installed_snapshot = False
        self._is_writing = True
        self._loop.offload(
            work=lambda: self._storage.write(records=records, is_image=is_image),
            done=lambda outcome: self._handle_done(outcome, target),
        )

    def _is_rewrite_due(self) -> bool:
        return self._storage.written_adds > MIN_REWRITE_ADDS + REWRITE_FACTOR * self._state.size

    def _image_records(self) -> list[tally_storage.Record]:
        records: list[tally_storage.Record] = [self._state.snapshot()]
        for log in self._state.positions():
            records += adds_after(state=self._state, log=log, position=self._state.folded_position(log))
        return records

    def _new_records(self) -> list[tally_storage.Record]:
        records: list[tally_storage.Record] = []
        for log, position in self._state.positions().items():
            if position > self.durable.get(log, 0):
                records += adds_after(state=self._state, log=log, position=self.durable.get(log, 0))
        return records

    def _handle_done(self, outcome: interfaces.Outcome, target: dict[TallyLogName, int]) -> None:
        self._is_writing = False
        error = outcome.exception()
        if error is not None:
            self._handle_failure(error)
            return
        self._failure_spell.note_success()
        self.durable = target
        self._on_durable()
        self.write()

    def _handle_failure(self, error: BaseException) -> None:
        self._failure_spell.note_failure(error)
        self._is_retry_pending = True
        self._loop.after(delay=self._retry_s, callback=self._retry)

    def _retry(self) -> None:
        self._is_retry_pending = False
        self.write()


def adds_after(
    *, state: tally_state.TallyState, log: TallyLogName, position: int, up_to: int | None = None
) -> list[messages.TallyAdds]:
    """Returns the adds of a log after a position, as messages of at most `ADDS_PER_RECORD` adds.

    Args:
        state: The tallies that hold the adds.
        log: The log.
        position: Position before the first add to return; no add after it may be folded.
        up_to: Position of the last add to return; None for all.
    """
    records = []
    end = state.position(log) if up_to is None else up_to
    while position < end:
        adds = state.adds_from(log=log, position=position, limit=min(ADDS_PER_RECORD, end - position))
        records.append(messages.TallyAdds(log=log, first=position + 1, adds=tuple(adds)))
        position += len(adds)
    return records
