"""What proxies counted, by window: merged by the largest, as counts are cumulative (docs/platform-duties.md 2)."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from ploverward.transport import messages

KEPT_WINDOWS = 40

Tallies = dict[str, int]  # requests by tenant


class UsageTable:
    """Counts of all proxies.

    Attributes:
        counted_until: By incarnation of a proxy: up to when, by its time of day, its counts are complete here.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, Tallies]] = {}  # window, incarnation of a proxy, tenant
        self.counted_until: dict[str, float] = {}

    def record(self, incarnation: str, message: messages.UsageCounts) -> None:
        """A proxy says what it counted."""
        self.counted_until[incarnation] = max(message.counted_until, self.counted_until.get(incarnation, 0.0))
        for window, tenant, count in message.counts:
            tallies = self._counts.setdefault(window, {}).setdefault(incarnation, {})
            tallies[tenant] = max(count, tallies.get(tenant, 0))
        for old in sorted(self._counts)[:-KEPT_WINDOWS]:
            del self._counts[old]

    def totals(self, window: int) -> Tallies:
        """Returns the requests of a window by tenant."""
        totals: collections.Counter[str] = collections.Counter()
        for tallies in self._counts.get(window, {}).values():
            totals.update(tallies)
        return dict(totals)

    def forget_proxies(self, incarnations: Iterable[str]) -> None:
        """Proxies that are gone for good are waited for no more; their counts stay."""
        for incarnation in incarnations:
            self.counted_until.pop(incarnation, None)

    def is_complete(self, *, until: float, incarnations: Iterable[str]) -> bool:
        """Whether these proxies have all said what they counted up to a time of day."""
        return all(self.counted_until.get(incarnation, 0.0) >= until for incarnation in incarnations)
