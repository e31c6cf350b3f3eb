"""Counts of adapters that proxies reported, as one core node stores them (docs/pins.md 3).

Invariant: each window of an incarnation of a proxy is kept once. A report with a higher number replaces it; an older
one, or a repeated one, changes nothing. So reports may be resent and may arrive on several paths.
"""

import collections
import collections.abc
import dataclasses
import typing

from ploverward.data_plane.adapter_cache import count_table
from ploverward.transport import messages

KEEP_WINDOWS = 20  # number of windows that are kept
MAX_WINDOWS = 8000  # of all proxies together

Json: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Window:
    """The newest report of one window."""

    count: messages.AdapterCount
    begun_at: float  # when its first report arrived, seconds on the store's clock
    table: count_table.Table


class AdapterUsageStore:
    """Stores the counts of the last windows.

    Attributes:
        malformed: how many reports could not be read.

    Args:
        now: the clock, in seconds.
        window_s: duration of a window.
    """

    def __init__(self, *, now: collections.abc.Callable[[], float], window_s: float) -> None:
        self._now = now
        self._retention_s = window_s * KEEP_WINDOWS
        # By incarnation and window, in the order of their first reports.
        self._windows: collections.OrderedDict[tuple[str, int], _Window] = collections.OrderedDict()
        self.malformed = 0

    def record(self, count: messages.AdapterCount) -> None:
        """Stores a report unless a newer one of its window is here."""
        key = (count.incarnation, count.window)
        previous = self._windows.get(key)
        if previous is not None and previous.count.number >= count.number:
            return
        table = count_table.read(data=count.counts)
        if table is None:
            self.malformed += 1
            return
        begun_at = previous.begun_at if previous is not None else self._now()
        self._windows[key] = _Window(count=count, begun_at=begun_at, table=table)
        self._trim()

    def rows(self) -> list[Json]:
        """The windows as operators' tools read them; `age_s` is counted from the first report of a window."""
        self._trim()
        now = self._now()
        return [
            {
                "life": window.count.incarnation,
                "window": window.count.window,
                "number": window.count.number,
                "age_s": round(now - window.begun_at, 1),
                "node": window.count.node,
                "zone": window.count.zone,
                "region": window.count.region,
                count_table.ROWS_KEY: window.table[count_table.ROWS_KEY],
                count_table.OVERFLOW_KEY: window.table[count_table.OVERFLOW_KEY],
            }
            for window in self._windows.values()
        ]

    def _trim(self) -> None:
        oldest_kept = self._now() - self._retention_s
        while self._windows and (
            len(self._windows) > MAX_WINDOWS or next(iter(self._windows.values())).begun_at < oldest_kept
        ):
            self._windows.popitem(last=False)


def merge(*, tables: collections.abc.Iterable[collections.abc.Iterable[Json]]) -> dict[tuple[str, int], Json]:
    """Merges what several core nodes have.

    Args:
        tables: the result of `AdapterUsageStore.rows` of each.

    Returns:
        The newest row of each window, by incarnation and window.
    """
    merged: dict[tuple[str, int], Json] = {}
    for table in tables:
        for row in table:
            key = (row["life"], row["window"])
            if key not in merged or merged[key]["number"] < row["number"]:
                merged[key] = row
    return merged
