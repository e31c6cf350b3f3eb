"""In-memory custody trails that a core node keeps for the proxies of its region (design 10, docs/residency.md).

The store is bounded: the oldest trails are dropped first, and none is kept longer than the retention time. A proxy
numbers its batches within one incarnation and closes the incarnation with a last batch. Invariant: `coverage` counts
every batch that did not arrive, so that an audit can tell "no violation found" from "not known".
"""

import collections
import collections.abc
import dataclasses
import json
import typing

from ploverward.control_plane.audit import trail_block
from ploverward.transport import messages

MAX_INCARNATIONS = 1000  # incarnations of proxies whose batch counts are kept
INCARNATIONS_DROPPED = 500  # number of oldest incarnations dropped once the maximum is exceeded

Json: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class _BatchCounts:
    """Counts of the batches that one incarnation of a proxy sent."""

    next_number: int = 0
    missing: int = 0
    is_closed: bool = False
    trails: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredTrail:
    request_id: str
    stored_at: float  # seconds on the store's clock
    data: bytes  # JSON


@dataclasses.dataclass(frozen=True, slots=True)
class TrailPage:
    """A page of trails.

    Attributes:
        trails: The trails, the oldest first.
        last: The offset after which the next page begins.
        has_more: Whether there is a next page now.
    """

    trails: list[Json]
    last: int
    has_more: bool


class TrailStore:
    """Stores the newest trails in memory and counts the batches that arrived.

    Args:
        now: Returns the time of the event loop's clock, in seconds.
        retention_s: How long a trail is kept, in seconds.
        max_trails: Maximum number of trails that are kept.
    """

    def __init__(self, *, now: collections.abc.Callable[[], float], retention_s: float, max_trails: int) -> None:
        self._now = now
        self._retention_s = retention_s
        self._max_trails = max_trails
        self._trails: collections.OrderedDict[int, _StoredTrail] = collections.OrderedDict()  # by offset, ascending
        self._offsets_by_request: dict[str, list[int]] = {}
        self._next_offset = 1
        self._batch_counts: dict[tuple[str, str], _BatchCounts] = {}  # by node and incarnation

    def resume(
        self, rows: collections.abc.Iterable[trail_block.BatchRow], *, end_offset: int, is_complete: bool
    ) -> None:
        """Restores the batch counts from the batches that an earlier process of this node stored.

        Args:
            rows: The batches, the oldest first.
            end_offset: The offset after that of their last trail.
            is_complete: Whether `rows` contains every batch that was ever stored. Otherwise the first batches of an
                incarnation may have been overwritten because of their age, and do not count as missing.
        """
        self._next_offset = max(self._next_offset, end_offset)
        for row in rows:
            key = (row.node, row.incarnation)
            if key not in self._batch_counts:
                self._batch_counts[key] = _BatchCounts(next_number=0 if is_complete else row.number)
            self._count_batch(self._batch_counts[key], number=row.number, is_last=row.is_last, trails=row.trails)

    @staticmethod
    def _count_batch(counts: _BatchCounts, *, number: int, is_last: bool, trails: int) -> None:
        counts.missing += number - counts.next_number
        counts.next_number = number + 1
        counts.is_closed = counts.is_closed or is_last
        counts.trails += trails

    @property
    def oldest_offset(self) -> int | None:
        """The offset of the oldest trail in memory; None if there is no trail."""
        self._trim()
        return next(iter(self._trails), None)

    def record(self, batch: messages.CustodyTrails) -> int | None:
        """Stores a batch; a repeated batch is ignored.

        Returns:
            The offset of the batch's first trail, or the next free offset if the batch has no trails; None for a
            repeated batch.
        """
        counts = self._batch_counts.setdefault((batch.node, batch.incarnation), _BatchCounts())
        if batch.number < counts.next_number:
            return None
        self._count_batch(counts, number=batch.number, is_last=batch.is_last, trails=len(batch.trails))
        first_offset = self._next_offset
        for request_id, data in batch.trails:
            offset = self._next_offset
            self._next_offset += 1
            self._trails[offset] = _StoredTrail(request_id=request_id, stored_at=self._now(), data=data)
            self._offsets_by_request.setdefault(request_id, []).append(offset)
        self._trim()
        return first_offset

    def find(self, request_id: str) -> list[Json]:
        """Returns the trails of a request, the oldest first; there are several if several proxies received it."""
        self._trim()
        return [json.loads(self._trails[offset].data) for offset in self._offsets_by_request.get(request_id, ())]

    def page(self, *, after: int, limit: int) -> TrailPage:
        """Returns a page of trails in the order in which they arrived.

        Args:
            after: The offset after which the page begins; 0 for the first page.
            limit: Maximum number of trails in the page.
        """
        self._trim()
        trails: list[Json] = []
        last = after
        for offset, trail in self._trails.items():
            if offset <= after:
                continue
            if len(trails) == limit:
                return TrailPage(trails=trails, last=last, has_more=True)
            trails.append(json.loads(trail.data))
            last = offset
        return TrailPage(trails=trails, last=last, has_more=False)

    def coverage(self, *, live_incarnations: collections.abc.Container[str]) -> list[Json]:
        """Returns the numbers of received and missing batches, one row for each incarnation of a proxy.

        Args:
            live_incarnations: The incarnations that are connected now.
        """
        return [
            {
                "node": node,
                "life": incarnation,
                "trails": counts.trails,
                "batches": counts.next_number,
                "missing_batches": counts.missing,
                "is_closed": counts.is_closed,
                "is_live": incarnation in live_incarnations,
            }
            for (node, incarnation), counts in self._batch_counts.items()
        ]

    def _trim(self) -> None:
        oldest_kept = self._now() - self._retention_s
        while self._trails and (
            len(self._trails) > self._max_trails or next(iter(self._trails.values())).stored_at < oldest_kept
        ):
            offset, trail = self._trails.popitem(last=False)
            offsets = self._offsets_by_request[trail.request_id]
            offsets.remove(offset)
            if not offsets:
                del self._offsets_by_request[trail.request_id]
        if len(self._batch_counts) > MAX_INCARNATIONS:
            for key in list(self._batch_counts)[:INCARNATIONS_DROPPED]:
                del self._batch_counts[key]
