"""The custody trails of a core node: the newest in memory, all that fit on its disk (docs/residency.md).

`CustodyService` composes `TrailStore`, which counts what arrived, and `TrailArchive`, which outlives the process. Until
the archive's index is read, batches wait: whether one came before is only known then.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Sequence

from ploverward.common import settings as node_settings
from ploverward.control_plane.audit import trail_archive
from ploverward.control_plane.audit import trail_block
from ploverward.control_plane.audit import trail_segments
from ploverward.control_plane.audit import trail_store
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.transport import interfaces
from ploverward.transport import messages

RETENTION_CONTACTS = 720  # trails are kept in memory for so many contactMs: an hour, at 5 s
ARCHIVE_RETENTION_S = 14 * 86400.0  # an auditor asks days later; the disk's share bounds it first
TRAILS_PER_MB = 60  # of the process's memory
DISK_SHARE = 1 / 8
MIN_DISK_MB = 8.0  # assumed where the settings give less
BYTES_PER_MB = 1024 * 1024
NO_OFFSET = 1 << 62  # above all that are given
MAX_WAITING_BATCHES = 1000  # until the index is read; beyond, the newest are dropped and counted as missing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CustodyLimits:
    """Bounds of a node's trails.

    Attributes:
        max_trails: In memory.
        retention_s: In memory, in seconds.
        disk_bytes: Of the segments together.
        flush_s: From a batch that arrives to the write.
    """

    max_trails: int
    retention_s: float
    disk_bytes: int
    flush_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings, *, contact_s: float) -> CustodyLimits:
        """Derives the bounds from what the machine has."""
        return cls(
            max_trails=int(settings.memory_mb * TRAILS_PER_MB),
            retention_s=contact_s * RETENTION_CONTACTS,
            disk_bytes=int(max(settings.disk_mb, MIN_DISK_MB) * BYTES_PER_MB * DISK_SHARE),
            flush_s=contact_s,
        )


class CustodyService:
    """Takes batches of trails, and finds trails.

    Args:
        loop: The event loop.
        disk: Where the segments are.
        wall_time: Wall-clock time in seconds.
        limits: The bounds.

    Attributes:
        retention_s: For how long trails are kept in memory.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        disk: acceptor_storage.Disk,
        wall_time: Callable[[], float],
        limits: CustodyLimits,
    ) -> None:
        self.retention_s = limits.retention_s
        self._is_loaded = False
        self._early: list[messages.CustodyTrails] = []
        self._store = trail_store.TrailStore(
            now=loop.now,
            retention_s=limits.retention_s,
            max_trails=limits.max_trails,
        )
        self._archive = trail_archive.TrailArchive(
            loop=loop,
            segments=trail_segments.TrailSegments(disk=disk, limit_bytes=limits.disk_bytes),
            wall_time=wall_time,
            flush_s=limits.flush_s,
            retention_s=ARCHIVE_RETENTION_S,
            on_loaded=self._handle_loaded,
        )

    def start(self) -> None:
        """Reads the index of what the disk has, in the background."""
        self._archive.start()

    def _handle_loaded(self, rows: Sequence[trail_block.BatchRow]) -> None:
        self._store.resume(rows, end_offset=self._archive.end_offset, is_complete=self._archive.has_first_block)
        self._is_loaded = True
        early, self._early = self._early, []
        for batch in early:
            self.record(batch)

    def record(self, batch: messages.CustodyTrails) -> None:
        """Stores a batch; a repeated one is ignored."""
        if not self._is_loaded:
            if len(self._early) < MAX_WAITING_BATCHES:
                self._early.append(batch)
            return
        first_offset = self._store.record(batch)
        if first_offset is not None:
            row = trail_block.BatchRow(batch.node, batch.incarnation, batch.number, batch.is_last, len(batch.trails))
            trails = tuple((trail.request_id, trail.trail) for trail in batch.trails)
            self._archive.add(trail_archive.NumberedBatch(row=row, first_offset=first_offset, trails=trails))

    def flush(self) -> None:
        """The node shuts down: what waits is written now."""
        self._archive.flush()

    def find(self, *, request_id: str, done: Callable[[trail_archive.Trails], object]) -> None:
        """Finds the trails of a request: in memory, else on the disk. `done` gets them, the oldest first."""
        trails = self._store.find(request_id)
        if trails:
            done(trails)
        else:
            self._archive.find(request_id=request_id, before=self._memory_begins_at(), done=done)

    def page(self, *, after: int, limit: int, done: Callable[[trail_store.TrailPage], object]) -> None:
        """Reads trails in the order in which they arrived.

        Args:
            after: The offset after which the page begins; 0 for the first page.
            limit: How many trails a page from memory has at most.
            done: Called with the page.
        """

        def handle(trails: trail_archive.Trails, last: int) -> None:
            done(trail_store.TrailPage(trails=trails, last=last, has_more=True))

        if not self._archive.page(after=after, before=self._memory_begins_at(), done=handle):
            done(self._store.page(after=after, limit=limit))

    def _memory_begins_at(self) -> int:
        oldest = self._store.oldest_offset
        return oldest if oldest is not None else NO_OFFSET

    def coverage(self, *, live_incarnations: Container[str]) -> list[trail_store.Json]:
        """Which batches arrived and which are missing, a row for each incarnation of a proxy."""
        return self._store.coverage(live_incarnations=live_incarnations)
