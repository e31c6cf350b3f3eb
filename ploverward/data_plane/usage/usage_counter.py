"""Counts the requests that started at replicas, by window and tenant, and sends the counts to the coordinator.

Counts are cumulative, so a duplicate or late message has no effect. A new coordinator, or a new connection to the same
one, receives all windows that are kept here (docs/platform-duties.md 2).
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.control_client import core_connections
from ploverward.transport import interfaces
from ploverward.transport import messages

MAX_WINDOWS = 24


class UsageCounter:
    """Counts started requests by window and tenant.

    Args:
        wall_time: Returns the wall-clock time, in seconds since the epoch.
        window_s: Length of a window in seconds; window k starts k * `window_s` after the epoch.

    Attributes:
        counts: Number of requests, by window number, then by tenant.
        changed: Windows and tenants whose counts changed since the last `take_changed`.
    """

    def __init__(self, *, wall_time: Callable[[], float], window_s: float) -> None:
        self._wall_time = wall_time
        self._window_s = window_s
        self.counts: dict[int, collections.Counter[str]] = {}
        self.changed: set[tuple[int, str]] = set()

    def note_request_started(self, tenant: str) -> None:
        """Counts a request that started at a replica."""
        window = int(self._wall_time() // self._window_s)
        if window not in self.counts:
            self.counts[window] = collections.Counter()
            for old in sorted(self.counts)[:-MAX_WINDOWS]:
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
        """Marks all counts as changed, so that the next report to another node is complete."""
        self.changed = {(window, tenant) for window, tenants in self.counts.items() for tenant in tenants}


class UsageReports:
    """Sends the counts to the coordinator.

    Args:
        connections: Connections to the core nodes.
        counter: The counts.
        roles: Returns (epoch, address, incarnation) of the owner of each singleton role, by role.
        wall_time: Returns the wall-clock time, in seconds since the epoch.
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
        """Sends the changed counts; keeps them if the coordinator is not connected."""
        epoch, address, _incarnation = self._roles().get(singleton_roles.COORDINATOR, (0, "", ""))
        connection = self._connections.connection_to(address)
        if connection is None:
            return
        if self._receiver != (connection, epoch):
            self._receiver = (connection, epoch)
            self._counter.mark_all_changed()
        counted_until = self._wall_time()
        connection.send(messages.UsageCounts(counted_until, tuple(self._counter.take_changed())))
