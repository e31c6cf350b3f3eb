"""Forwarding of adapter counts to the core nodes, through the digest, in complete windows (docs/pins.md 3).

`AdapterReports` owns the counts that members of this node's digest sent and that were not forwarded yet. Invariant: of
one proxy's window, only the newest count that arrived is forwarded.
"""

from collections.abc import Callable

from ploverward.common import settings as settings_files
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.transport import messages

MAX_MEMBER_COUNTS = 2000  # queued windows of members; further ones are dropped, and the members send them again


class AdapterReports:
    """Collects the counts of this proxy and of its digest's members.

    Args:
        counter: This proxy's own counts.
        settings: Returns the settings in force.
        incarnation: Incarnation of this proxy.
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
        """Queues a member's counts; a newer count of a window replaces an older one that is still queued."""
        for count in message.counts:
            key = (count.incarnation, count.window)
            if key in self._member_counts or len(self._member_counts) < MAX_MEMBER_COUNTS:
                self._member_counts[key] = count

    def drain(self) -> messages.AdapterCounts | None:
        """Returns the counts to forward and empties the queue; returns None if there are none."""
        own = self._settings()
        counts = [
            messages.AdapterCount(own.node, own.zone, own.region, self._incarnation, window, number, data)
            for window, number, data in self._counter.report()
        ]
        counts += self._member_counts.values()
        self._member_counts = {}
        return messages.AdapterCounts(tuple(counts)) if counts else None
