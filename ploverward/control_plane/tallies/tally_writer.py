"""Writes tallies to the disk in groups: while one write is under way, the next one gathers (docs/tallies.md 4)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.common import failure_spell
from ploverward.control_plane.tallies import tally_state
from ploverward.control_plane.tallies import tally_storage
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport.messages import TallyLogName

REWRITE_FACTOR = 2  # a file with so many times the adds that are kept is rewritten
MIN_REWRITE_ADDS = 2000  # but not one with fewer adds: it costs less to read than to rewrite
ADDS_PER_RECORD = 500


class TallyWriter:
    """Brings the state of a node to its disk.

    Args:
        loop: The event loop; all methods run on it.
        storage: Writes the file.
        state: What to write.
        retry_s: From a failed write to the next attempt.
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
        self._is_pausing = False  # after a failed write
        self._spell = failure_spell.FailureSpell(
            now=loop.now, failed_event="tally_write_failed", recovered_event="tally_write_recovered"
        )
        self._has_installed = False  # a snapshot, since the last write: the file has to be replaced
        self.durable: dict[TallyLogName, int] = {}

    def note_snapshot(self) -> None:
        """To be called when the state has taken over a snapshot; `write` follows."""
        self._has_installed = True

    def write(self) -> None:
        """Writes what is not on the disk yet, now or after the write that is under way."""
        if self._is_writing or self._is_pausing:
            return
        target = self._state.positions()
        is_image = self._has_installed or self._storage.needs_rewrite or self._is_long()
        if target == self.durable and not self._has_installed:
            return
        records = self._image() if is_image else self._news()
        self._has_installed = False
        self._is_writing = True
        self._loop.offload(
            work=lambda: self._storage.write(records=records, is_image=is_image),
            done=lambda outcome: self._handle_done(outcome, target),
        )

    def _is_long(self) -> bool:
        return self._storage.written_adds > MIN_REWRITE_ADDS + REWRITE_FACTOR * self._state.size

    def _image(self) -> list[tally_storage.Record]:
        records: list[tally_storage.Record] = [self._state.snapshot()]
        for log in self._state.positions():
            records += adds_behind(state=self._state, log=log, position=self._state.folded_position(log))
        return records

    def _news(self) -> list[tally_storage.Record]:
        records: list[tally_storage.Record] = []
        for log, position in self._state.positions().items():
            if position > self.durable.get(log, 0):
                records += adds_behind(state=self._state, log=log, position=self.durable.get(log, 0))
        return records

    def _handle_done(self, outcome: interfaces.Outcome, target: dict[TallyLogName, int]) -> None:
        self._is_writing = False
        error = outcome.exception()
        if error is not None:
            self._handle_failure(error)
            return
        self._spell.note_success()
        self.durable = target
        self._on_durable()
        self.write()

    def _handle_failure(self, error: BaseException) -> None:
        self._spell.note_failure(error)
        self._is_pausing = True
        self._loop.after(delay=self._retry_s, callback=self._retry)

    def _retry(self) -> None:
        self._is_pausing = False
        self.write()


def adds_behind(
    *, state: tally_state.TallyState, log: TallyLogName, position: int, up_to: int | None = None
) -> list[messages.TallyAdds]:
    """Returns the adds of a log behind a position that is not folded, as messages.

    Args:
        state: Where they are.
        log: The log.
        position: They are behind this one.
        up_to: Position of the last one; None: all.
    """
    found = []
    end = state.position(log) if up_to is None else up_to
    while position < end:
        adds = state.adds_from(log=log, position=position, limit=min(ADDS_PER_RECORD, end - position))
        found.append(messages.TallyAdds(log=log, first=position + 1, adds=tuple(adds)))
        position += len(adds)
    return found
