"""Logs when a proxy holds unusually many connections, so that such a time explains itself afterwards.

One event when the number passes a level, one for each doubling, and one when it is below the first level again: a
handful of lines, however long it lasts.
"""

import logging
from collections.abc import Callable

_log = logging.getLogger(__name__)

HANDLES_SHARE = 1 / 20  # of the process's file handles: the first level
CALM_SHARE = 0.8  # of the first level, below which it is over


class ConnectionWatch:
    """Counts connections at intervals.

    Args:
        max_handles: File handles of the process.
        clients: Returns the number of connections of clients.
        upstream: Returns the number of connections to replicas.
        stale_regions: Returns the regions whose loads are not known now.
    """

    def __init__(
        self,
        *,
        max_handles: float,
        clients: Callable[[], int],
        upstream: Callable[[], int],
        stale_regions: Callable[[], list[str]],
    ) -> None:
        self._first_level = max_handles * HANDLES_SHARE
        self._clients = clients
        self._upstream = upstream
        self._stale_regions = stale_regions
        self._next_level = self._first_level

    def check(self) -> None:
        """Logs a change of level."""
        clients, upstream = self._clients(), self._upstream()
        count = clients + upstream
        if count >= self._next_level:
            _log.info(
                "many_connections",
                extra={"clients": clients, "upstream": upstream, "regions_unknown": self._stale_regions()},
            )
            while self._next_level <= count:
                self._next_level *= 2
        elif count < self._first_level * CALM_SHARE and self._next_level > self._first_level:
            _log.info("usual_connections", extra={"clients": clients, "upstream": upstream})
            self._next_level = self._first_level
