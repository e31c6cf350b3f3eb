"""Logs when a proxy has unusually many connections, so that such a period can be explained afterwards.

One event is logged when the number reaches a level, one for each doubling, and one when it is well below the first
level again. This keeps the number of log lines small, however long the period lasts.
"""

import logging
from collections.abc import Callable

_log = logging.getLogger(__name__)

FIRST_LEVEL_SHARE = 1 / 20  # share of the process's limit of file handles
CLEAR_SHARE = 0.8  # share of the first level; below it the number counts as usual again


class ConnectionWatch:
    """Compares the number of connections with the levels, at each call of `check`.

    Args:
        max_handles: Limit of file handles of the process.
        clients: Returns the number of client connections.
        upstream: Returns the number of connections to replicas.
        stale_regions: Returns the regions whose loads are currently unknown.
    """

    def __init__(
        self,
        *,
        max_handles: float,
        clients: Callable[[], int],
        upstream: Callable[[], int],
        stale_regions: Callable[[], list[str]],
    ) -> None:
        self._first_level = max_handles * FIRST_LEVEL_SHARE
        self._clients = clients
        self._upstream = upstream
        self._stale_regions = stale_regions
        self._next_level = self._first_level

    def check(self) -> None:
        """Logs if the number of connections reached the next level or returned to normal."""
        clients, upstream = self._clients(), self._upstream()
        count = clients + upstream
        if count >= self._next_level:
            _log.info(
                "many_connections",
                extra={"clients": clients, "upstream": upstream, "regions_unknown": self._stale_regions()},
            )
            while self._next_level <= count:
                self._next_level *= 2
        elif count < self._first_level * CLEAR_SHARE and self._next_level > self._first_level:
            _log.info("usual_connections", extra={"clients": clients, "upstream": upstream})
            self._next_level = self._first_level
