"""The custody trails of a core node: the newest ones in memory, as many as fit on disk (docs/residency.md).

`CustodyService` combines `TrailStore`, which keeps trails in memory and counts batches, with `TrailArchive`, whose data
outlives the process. Batches that arrive before the archive's index is read are held back, because until then it is not
known whether an earlier process already stored them.
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

MEMORY_RETENTION_CONTACTS = 720  # retention in memory, in multiples of contactMs: an hour at 5 s
ARCHIVE_RETENTION_S = 14 * 86400.0  # audits may run days later; the limit by DISK_SHARE takes effect first
TRAILS_PER_MB = 60  # trails in memory, per megabyte of the process's memory limit
DISK_SHARE = 1 / 8  # share of the node's disk limit that the segments may use
MIN_DISK_MB = 8.0  # assumed if the disk limit in the settings is lower
BYTES_PER_MB = 1024 * 1024
OFFSET_LIMIT = 1 << 62  # greater than every offset that is assigned
MAX_EARLY_BATCHES = 1000  # held back until the index is read; later ones are dropped and count as missing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CustodyLimits:
    """Limits of the custody trails that a node keeps.

    Attributes:
        max_trails: Maximum number of trails in memory.
        retention_s: How long trails are kept in memory, in seconds.
        disk_bytes: Maximum size of all segments together.
        flush_s: Delay between receiving a batch and writing it, in seconds.
    """

    max_trails: int
    retention_s: float
    disk_bytes: int
    flush_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings, *, contact_s: float) -> CustodyLimits:
        """Derives the limits from the memory and disk limits of the settings."""
        return cls(
            max_trails=int(settings.memory_mb * TRAILS_PER_MB),
            retention_s=contact_s * MEMORY_RETENTION_CONTACTS,
            disk_bytes=int(max(settings.disk_mb, MIN_DISK_MB) * BYTES_PER_MB * DISK_SHARE),
            flush_s=contact_s,
        )


class CustodyService:
    """Records batches of trails and looks up trails.

    Args:
        loop: The event loop.
        disk: The directory of the segment files.
        wall_time: Returns the wall-clock time in seconds.
        limits: The limits of the kept trails.

    Attributes:
        retention_s: How long trails are kept in memory, in seconds.
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
        self._early_batches: list[messages.CustodyTrails] = []
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
        """Starts reading the index of the trails on disk, in the background."""
        self._archive.start()

    def _handle_loaded(self, rows: Sequence[trail_block.BatchRow]) -> None:
        self._store.resume(rows, end_offset=self._archive.end_offset, is_complete=self._archive.has_first_block)
        self._is_loaded = True
        early, self._early_batches = self._early_batches, []
        for batch in early:
            self.record(batch)

    def record(self, batch: messages.CustodyTrails) -> None:
        """Stores a batch; a repeated batch is ignored."""
        if not self._is_loaded:
            if len(self._early_batches) < MAX_EARLY_BATCHES:
                self._early_batches.append(batch)
            return
        first_offset = self._store.record(batch)
        if first_offset is not None:
            row = trail_block.BatchRow(batch.node, batch.incarnation, batch.number, batch.is_last, len(batch.trails))
            trails = tuple((trail.request_id, trail.trail) for trail in batch.trails)
            self._archive.add(trail_archive.QueuedBatch(row=row, first_offset=first_offset, trails=trails))

    def flush(self) -> None:
        """Starts writing the queued batches now; called when the node shuts down."""
        self._archive.flush()

    def find(self, *, request_id: str, done: Callable[[trail_archive.Trails], object]) -> None:
        """Looks up the trails of a request in memory, otherwise on disk; `done` is called with the oldest first."""
        trails = self._store.find(request_id)
        if trails:
            done(trails)
        else:
            self._archive.find(request_id=request_id, before=self._first_memory_offset(), done=done)

    def page(self, *, after: int, limit: int, done: Callable[[trail_store.TrailPage], object]) -> None:
        """Reads trails in the order in which they arrived.

        Args:
            after: The offset after which the page begins; 0 for the first page.
            limit: Maximum number of trails in a page from memory; a page from disk is one block.
            done: Called with the page.
        """

        def handle(trails: trail_archive.Trails, last: int) -> None:
            done(trail_store.TrailPage(trails=trails, last=last, has_more=True))

        if not self._archive.page(after=after, before=self._first_memory_offset(), done=handle):
            done(self._store.page(after=after, limit=limit))

    def _first_memory_offset(self) -> int:
        oldest = self._store.oldest_offset
        return oldest if oldest is not None else OFFSET_LIMIT

    def coverage(self, *, live_incarnations: Container[str]) -> list[trail_store.Json]:
        """Returns the numbers of received and missing batches, one row for each incarnation of a proxy."""
        return self._store.coverage(live_incarnations=live_incarnations)
