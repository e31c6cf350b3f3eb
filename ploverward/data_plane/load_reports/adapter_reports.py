"""Forwards counts of adapter loads to the core nodes, through the digest, in complete windows (docs/pins.md 3).

`AdapterReports` owns the counts that members of this node's digest sent since the last time they were forwarded.
Invariant: of one proxy's window, only the newest count that arrived is forwarded.
"""

from collections.abc import Callable

from ploverward.common import settings as settings_files
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.transport import messages

MAX_MEMBER_COUNTS = 2000  # queued windows of members; later ones are dropped and sent again by the members


class AdapterReports:
    """Collects this proxy's counts and those of its members.

    Args:
        counter: what this proxy itself counts.
        settings: the settings in force.
        incarnation: of this proxy.
    """

    def __init__(
        self,
        *,
        counter: adapter_counts.AdapterCounter,
        settings: Callable[[], settings_files.Settings],
        incarnation: str,
    ) -> None:
        self._counter = counter
        self._settings = settings
        self._incarnation = incarnation
        self._member_counts: dict[tuple[str, int], messages.AdapterCount] = {}  # by incarnation and window

    def collect(self, message: messages.AdapterCounts) -> None:
        """A member's counts: a newer count of a window replaces an older one that is still queued."""
        for count in message.counts:
            key = (count.incarnation, count.window)
            if key in self._member_counts or len(self._member_counts) < MAX_MEMBER_COUNTS:
                self._member_counts[key] = count

    def drain(self) -> messages.AdapterCounts | None:
        """The counts to forward; None where there are none."""
        own = self._settings()
        counts = [
            messages.AdapterCount(own.node, own.zone, own.region, self._incarnation, window, number, data)
            for window, number, data in self._counter.report()
        ]
        counts += self._member_counts.values()
        self._member_counts = {}
        return messages.AdapterCounts(tuple(counts)) if counts else None
