"""Custody trails on a core node's disk: written in the background, readable after a restart (docs/residency.md).

`TrailArchive` owns the queue of batches to write and the index of the written blocks. Its state is LOADING while the
index is read (batches are queued), then alternates between IDLE and WRITING. A received trail is lost only with the
disk, or if the process ends within `flush_s` of receiving it; the batch numbers then show the gap.
"""

from __future__ import annotations

import dataclasses
import enum
import logging
import typing
from collections.abc import Callable
from collections.abc import Sequence

from ploverward.common import failure_spell
from ploverward.control_plane.audit import trail_block
from ploverward.control_plane.audit import trail_segments
from ploverward.transport import interfaces

_log = logging.getLogger(__name__)

MAX_WAITING_TRAILS = 4000  # limit of the queue for the disk; beyond it the oldest batches are dropped
MAX_BLOCK_TRAILS = 500  # a block read from disk is one page of an audit

Trails = list[dict[str, typing.Any]]


class _State(enum.Enum):
    LOADING = "loading"
    IDLE = "idle"
    WRITING = "writing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedBatch:
    """A batch in the queue for the disk, whose trails have been assigned offsets.

    Attributes:
        row: The batch's row in the header of its block.
        first_offset: Offset of the first trail.
        trails: For each trail its request id and the trail as JSON.
    """

    row: trail_block.BatchRow
    first_offset: int
    trails: tuple[tuple[str, bytes], ...]


class TrailArchive:
    """Writes and reads the custody trails on one core node's disk.

    Args:
        loop: The event loop; all methods run on it.
        segments: The segment files.
        wall_time: Returns the wall-clock time in seconds.
        flush_s: Delay from the first queued batch to the write, in seconds.
        retention_s: How long a trail can be read after its write, in seconds of wall-clock time.
        on_loaded: Called once with the rows of all batches on disk.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        segments: trail_segments.TrailSegments,
        wall_time: Callable[[], float],
        flush_s: float,
        retention_s: float,
        on_loaded: Callable[[Sequence[trail_block.BatchRow]], object],
    ) -> None:
        self._loop = loop
        self._segments = segments
        self._wall_time = wall_time
        self._flush_s = flush_s
        self._retention_s = retention_s
        self._on_loaded = on_loaded
        self._state = _State.LOADING
        self._waiting: list[QueuedBatch] = []
        self._waiting_trails = 0  # number of trails in the waiting batches
        self._blocks: list[trail_segments.StoredBlock] = []  # the oldest first
        self._next_number = 1
        self._has_timer = False
        self._dropped_trails = 0
        self._spell = failure_spell.FailureSpell(
            now=loop.now, failed_event="custody_write_failed", recovered_event="custody_write_recovered"
        )

    def start(self) -> None:
        """Starts reading the index from disk."""
        self._loop.offload(work=self._segments.load, done=self._handle_loaded)

    def _handle_loaded(self, outcome: interfaces.Outcome) -> None:
        if outcome.exception() is None:
            self._blocks = outcome.result()
        if self._blocks:
            self._next_number = self._blocks[-1].header.number + 1
        self._state = _State.IDLE
        self._on_loaded([row for block in self._blocks for row in block.header.batches])
        self._schedule()

    @property
    def end_offset(self) -> int:
        """The offset after that of the newest trail on disk; 0 if there is none."""
        return max((block.header.end_offset for block in self._blocks), default=0)

    @property
    def has_first_block(self) -> bool:
        """Whether no block has been overwritten yet; also true if none has been written."""
        return not self._blocks or self._blocks[0].header.number == 1

    # Writing.
    def add(self, batch: QueuedBatch) -> None:
        """Queues a batch for writing."""
        self._waiting.append(batch)
        self._waiting_trails += len(batch.trails)
        while self._waiting_trails > MAX_WAITING_TRAILS:
            dropped = len(self._waiting.pop(0).trails)
            self._waiting_trails -= dropped
            self._dropped_trails += dropped
        self._schedule()

    def _schedule(self) -> None:
        if self._has_timer or not self._waiting or self._state is _State.LOADING:
            return
        self._has_timer = True
        self._loop.after(delay=self._flush_s, callback=self._on_timer)

    def _on_timer(self) -> None:
        self._has_timer = False
        self.flush()
        self._schedule()

    def flush(self) -> None:
        """Starts writing the next block of queued batches, unless the index is being read or a write is in progress."""
        if self._state is not _State.IDLE or not self._waiting:
            return
        batches = self._next_batches()
        self._state = _State.WRITING
        self._loop.offload(
            work=lambda: self._segments.write(self._encode_block(batches)),
            done=lambda outcome: self._handle_written(outcome, batches),
        )

    def _next_batches(self) -> list[QueuedBatch]:
        """Returns the queued batches for the next block.

        The offsets in a block must have no gap; a batch without trails fits into every block.
        """
        batches: list[QueuedBatch] = []
        trails = 0
        for batch in self._waiting:
            has_gap = bool(trails and batch.trails) and batch.first_offset != _first_offset(batches) + trails
            if has_gap or (batches and trails + len(batch.trails) > MAX_BLOCK_TRAILS):
                break
            batches.append(batch)
            trails += len(batch.trails)
        return batches

    def _encode_block(self, batches: Sequence[QueuedBatch]) -> bytes:
        return trail_block.pack(
            number=self._next_number,
            first_offset=_first_offset(batches),
            written_at=self._wall_time(),
            batches=[batch.row for batch in batches],
            trails=[trail for batch in batches for trail in batch.trails],
        )

    def _handle_written(self, outcome: interfaces.Outcome, batches: Sequence[QueuedBatch]) -> None:
        self._state = _State.IDLE
        error = outcome.exception()
        if error is not None:
            self._spell.note_failure(error)
            return
        self._spell.note_success()
        self._log_dropped_trails()
        written = set(map(id, batches))
        self._waiting = [batch for batch in self._waiting if id(batch) not in written]
        self._waiting_trails = sum(len(batch.trails) for batch in self._waiting)
        stored = outcome.result()
        self._next_number += 1
        if stored.begin == 0:  # the write replaced the segment
            self._blocks = [block for block in self._blocks if block.segment != stored.segment]
        self._blocks.append(stored)
        if self._waiting_trails >= MAX_BLOCK_TRAILS:
            self.flush()

    def _log_dropped_trails(self) -> None:
        if self._dropped_trails:
            _log.error("custody_dropped", extra={"trails": self._dropped_trails})
            self._dropped_trails = 0

    # Reading.
    def _kept_blocks(self) -> list[trail_segments.StoredBlock]:
        oldest = self._wall_time() - self._retention_s
        return [block for block in self._blocks if block.header.written_at >= oldest]

    def find(self, *, request_id: str, before: int, done: Callable[[Trails], object]) -> None:
        """Finds the trails of a request.

        Args:
            request_id: Identifier of the request.
            before: Only trails with a lower offset are returned.
            done: Called with the trails, the oldest first.
        """
        blocks = [
            block
            for block in self._kept_blocks()
            if block.header.first_offset < before and block.header.may_contain(request_id)
        ]

        def read() -> Trails:
            found = []
            for block in blocks:
                trails = self._segments.read(block)[: max(0, before - block.header.first_offset)]
                found += [trail for trail in trails if trail["id"] == request_id]
            return found

        self._read(read, done)

    def page(self, *, after: int, before: int, done: Callable[[Trails, int], object]) -> bool:
        """Reads the trails of the first block that has trails between two offsets.

        Args:
            after: Only trails with a higher offset are read.
            before: Only trails with a lower offset are read.
            done: Called with the trails and the offset of the last one.

        Returns:
            Whether there is such a block; otherwise `done` is not called.
        """
        for block in sorted(self._kept_blocks(), key=lambda block: block.header.first_offset):
            first, end = block.header.first_offset, min(block.header.end_offset, before)
            if first < end and after < end - 1:
                self._read_range(block, begin=max(first, after + 1), end=end, done=done)
                return True
        return False

    def _read_range(
        self, block: trail_segments.StoredBlock, *, begin: int, end: int, done: Callable[[Trails, int], object]
    ) -> None:
        """Reads the trails of a block with offsets from `begin` up to, but not including, `end`."""
        first = block.header.first_offset
        self._read(
            lambda: self._segments.read(block)[begin - first : end - first], lambda trails: done(trails, end - 1)
        )

    def _read(self, work: Callable[[], Trails], done: Callable[[Trails], object]) -> None:
        def handle(outcome: interfaces.Outcome) -> None:
            error = outcome.exception()
            if error is not None:
                _log.error("custody_unreadable", extra={"segment": -1, "fault": str(error)})
            done([] if error is not None else outcome.result())

        self._loop.offload(work=work, done=handle)


def _first_offset(batches: Sequence[QueuedBatch]) -> int:
    return next((batch.first_offset for batch in batches if batch.trails), 0)
