"""Stores on one core node the request counts of adapters that proxies report (docs/pins.md 3).

Invariant: each window of a proxy's incarnation is stored once. A report with a higher number replaces the stored one,
and an older or repeated report changes nothing. Reports may therefore be resent and may arrive on several paths.
"""

import collections
import collections.abc
import dataclasses
import typing

from ploverward.data_plane.adapter_cache import count_table
from ploverward.transport import messages

RETENTION_WINDOWS = 20  # retention of a window, in multiples of the duration of a window
MAX_WINDOWS = 8000  # number of windows that are stored, of all proxies together

Json: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Window:
    """The newest report of one window, decoded."""

    count: messages.AdapterCount
    first_report_at: float  # when its first report arrived, in seconds of the store's clock
    table: count_table.Table


class AdapterUsageStore:
    """Stores the counts of recent windows.

    Attributes:
        malformed: number of reports that could not be decoded.

    Args:
        now: returns the time of the clock in seconds.
        window_s: duration of a window, in seconds.
    """

    def __init__(self, *, now: collections.abc.Callable[[], float], window_s: float) -> None:
        self._now = now
        self._retention_s = window_s * RETENTION_WINDOWS
        # By incarnation and window, in the order of their first reports.
        self._windows: collections.OrderedDict[tuple[str, int], _Window] = collections.OrderedDict()
        self.malformed = 0

    def record(self, count: messages.AdapterCount) -> None:
        """Stores a report, unless one of its window with the same or a higher number is already stored."""
        key = (count.incarnation, count.window)
        previous = self._windows.get(key)
        if previous is not None and previous.count.number >= count.number:
            return
        table = count_table.read(data=count.counts)
        if table is None:
            self.malformed += 1
            return
        first_report_at = previous.first_report_at if previous is not None else self._now()
        self._windows[key] = _Window(count=count, first_report_at=first_report_at, table=table)
        self._trim()

    def rows(self) -> list[Json]:
        """Returns the windows in the form that operators' tools read; `age_s` is the time since the first report."""
        self._trim()
        now = self._now()
        return [
            {
                "life": window.count.incarnation,
                "window": window.count.window,
                "number": window.count.number,
                "age_s": round(now - window.first_report_at, 1),
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
            len(self._windows) > MAX_WINDOWS or next(iter(self._windows.values())).first_report_at < oldest_kept
        ):
            self._windows.popitem(last=False)


def merge(*, tables: collections.abc.Iterable[collections.abc.Iterable[Json]]) -> dict[tuple[str, int], Json]:
    """Merges the windows that several core nodes have stored.

    Args:
        tables: the result of `AdapterUsageStore.rows` of each core node.

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
