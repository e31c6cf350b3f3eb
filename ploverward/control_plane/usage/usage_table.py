"""Collects the request counts of proxies by window (docs/platform-duties.md 2).

Counts are cumulative, so the largest one received from a proxy replaces earlier ones.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from ploverward.transport import messages

KEPT_WINDOWS = 40  # number of the latest windows whose counts are kept

Tallies = dict[str, int]  # number of requests of each tenant


class UsageTable:
    """Stores the counts of all proxies.

    Attributes:
        counted_until: For each incarnation of a proxy the wall-clock time of that proxy up to which its counts are
            complete in this table.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, Tallies]] = {}  # by window and incarnation of the proxy
        self.counted_until: dict[str, float] = {}

    def record(self, incarnation: str, message: messages.UsageCounts) -> None:
        """Stores the counts that a proxy reported."""
        self.counted_until[incarnation] = max(message.counted_until, self.counted_until.get(incarnation, 0.0))
        for window, tenant, count in message.counts:
            tallies = self._counts.setdefault(window, {}).setdefault(incarnation, {})
            tallies[tenant] = max(count, tallies.get(tenant, 0))
        for old in sorted(self._counts)[:-KEPT_WINDOWS]:
            del self._counts[old]

    def totals(self, window: int) -> Tallies:
        """Returns the number of requests of each tenant in a window."""
        totals: collections.Counter[str] = collections.Counter()
        for tallies in self._counts.get(window, {}).values():
            totals.update(tallies)
        return dict(totals)

    def forget_proxies(self, incarnations: Iterable[str]) -> None:
        """Stops waiting for proxies that will not return; their counts stay."""
        for incarnation in incarnations:
            self.counted_until.pop(incarnation, None)

    def is_complete(self, *, until: float, incarnations: Iterable[str]) -> bool:
        """Returns whether all these proxies have reported their counts up to a wall-clock time."""
        return all(self.counted_until.get(incarnation, 0.0) >= until for incarnation in incarnations)
