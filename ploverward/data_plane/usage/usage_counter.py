"""Counts the requests that began to run at replicas, by window and tenant, and sends the counts to the coordinator.

Counts are cumulative: a message that comes twice, or comes late, changes nothing. A new coordinator, or a new
connection to the same one, gets all windows that are kept here (docs/platform-duties.md 2).
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.control_client import core_connections
from ploverward.transport import interfaces
from ploverward.transport import messages

KEPT_WINDOWS = 24


class UsageCounter:
    """Counts by window and tenant.

    Args:
        wall_time: The time of day, in seconds.
        window_s: Length of a window; window k begins k times that after the start of 1970.

    Attributes:
        counts: By window number, then by tenant.
        changed: Windows and tenants whose counts changed since they were taken last.
    """

    def __init__(self, *, wall_time: Callable[[], float], window_s: float) -> None:
        self._wall_time = wall_time
        self._window_s = window_s
        self.counts: dict[int, collections.Counter[str]] = {}
        self.changed: set[tuple[int, str]] = set()

    def note_request_started(self, tenant: str) -> None:
        """A request began to run at a replica."""
        window = int(self._wall_time() // self._window_s)
        if window not in self.counts:
            self.counts[window] = collections.Counter()
            for old in sorted(self.counts)[:-KEPT_WINDOWS]:
                del self.counts[old]
        self.counts[window][tenant] += 1
        self.changed.add((window, tenant))

    def take_changed(self) -> list[messages.UsageCount]:
        """Returns the counts that changed since the last call."""
        changed, self.changed = self.changed, set()
        return [
            messages.UsageCount(window, tenant, self.counts[window][tenant])
            for window, tenant in sorted(changed)
            if window in self.counts
        ]

    def mark_all_changed(self) -> None:
        """All counts are to be taken once more: another node needs them."""
        self.changed = {(window, tenant) for window, tenants in self.counts.items() for tenant in tenants}


class UsageReports:
    """Sends counts to the coordinator.

    Args:
        connections: To core nodes.
        counter: The counts.
        roles: The owners of singleton roles.
        wall_time: The time of day, in seconds.
    """

    def __init__(
        self,
        *,
        connections: core_connections.CoreConnections,
        counter: UsageCounter,
        roles: Callable[[], Mapping[str, tuple]],
        wall_time: Callable[[], float],
    ) -> None:
        self._connections = connections
        self._counter = counter
        self._roles = roles
        self._wall_time = wall_time
        self._receiver: tuple[interfaces.Connection, int] | None = None  # connection, epoch of the coordinator

    def send(self) -> None:
        """Sends what changed; without a connection to the coordinator it waits."""
        epoch, address, _incarnation = self._roles().get(singleton_roles.COORDINATOR, (0, "", ""))
        connection = self._connections.connection_to(address)
        if connection is None:
            return
        if self._receiver != (connection, epoch):
            self._receiver = (connection, epoch)
            self._counter.mark_all_changed()
        counted_until = self._wall_time()
        connection.send(messages.UsageCounts(counted_until, tuple(self._counter.take_changed())))
