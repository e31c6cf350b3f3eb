"""Polls the platform's replica list (design 5). One core node at a time does so, the owner of the singleton role.

Invariant: no list is delivered after `stop`, even if requests are in progress. Each start and stop begins a new run,
and responses to requests of an earlier run are discarded.
"""

import collections.abc

from ploverward.control_plane.discovery import endpoint_list_reader
from ploverward.control_plane.discovery import platform_connection
from ploverward.control_plane.distribution.endpoint_list import Row
from ploverward.transport import event_loop

BACKOFF_FACTOR = 1.5  # multiplies the poll interval after each failed reading
MAX_BACKOFF_FACTOR = 3  # upper bound, in multiples of the normal poll interval


class EndpointListPoller:
    """Reads the replica list at intervals.

    Attributes:
        is_polling: whether the poller was started and not stopped.

    Args:
        loop: the event loop.
        address: ADDRESS:PORT of the platform.
        poll_interval_s: time between the starts of two readings, in seconds.
        timeout_s: timeout of a request, in seconds.
        on_list: called with the rows of each complete list and the time of the loop's clock at which its reading began.
        zones: all zones.
        connection: sends the requests; if None, a `PlatformConnection` is created at the first start.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        address: str,
        poll_interval_s: float,
        timeout_s: float,
        on_list: collections.abc.Callable[[list[Row], float], None],
        zones: collections.abc.Iterable[str] = (),
        connection: platform_connection.Connection | None = None,
    ) -> None:
        self._loop = loop
        self._address = address
        self._poll_interval_s = poll_interval_s
        self._timeout_s = timeout_s
        self._on_list = on_list
        self._zones = tuple(sorted(zones))
        self._connection = connection
        self._page_count = 0  # number of pages of the last complete list
        self._run = 0
        self._current_interval_s = poll_interval_s
        self.is_polling = False

    def start(self) -> None:
        """Starts polling. Does nothing if the poller is already running."""
        if self.is_polling:
            return
        self.is_polling = True
        self._run += 1
        if self._connection is None:
            self._connection = platform_connection.PlatformConnection(loop=self._loop)
        self._begin_reading(self._connection, self._run)

    def stop(self) -> None:
        """Stops polling. No list is delivered afterwards."""
        self.is_polling = False
        self._run += 1

    def _begin_reading(self, connection: platform_connection.Connection, run: int) -> None:
        if run != self._run:
            return
        begun_at = self._loop.now()

        def request_page(
            zone: str,
            token: str | None,
            done: collections.abc.Callable[[platform_connection.PlatformResponse], None],
        ) -> None:
            connection.get(
                url=self._url(zone, token),
                timeout_s=self._timeout_s,
                done=lambda response: done(response) if run == self._run else None,
            )

        def handle_end(rows: list[Row] | None, page_count: int) -> None:
            self._handle_reading(rows, page_count, begun_at)
            delay = max(0.0, begun_at + self._current_interval_s - self._loop.now())
            self._loop.after(delay=delay, callback=lambda: self._begin_reading(connection, run))

        endpoint_list_reader.EndpointListReader(
            request_page=request_page,
            zones=self._zones,
            by_zone=endpoint_list_reader.should_read_by_zone(page_count=self._page_count, zones=self._zones),
            on_end=handle_end,
        )

    def _url(self, zone: str, token: str | None) -> str:
        query = "&".join(f"{name}={value}" for name, value in (("zone", zone), ("page", token)) if value)
        return f"http://{self._address}/replicas" + (f"?{query}" if query else "")

    def _handle_reading(self, rows: list[Row] | None, page_count: int, begun_at: float) -> None:
        if rows is None:
            self._current_interval_s = min(
                self._current_interval_s * BACKOFF_FACTOR, self._poll_interval_s * MAX_BACKOFF_FACTOR
            )
            return
        self._page_count = page_count
        self._current_interval_s = self._poll_interval_s
        self._on_list(rows, begun_at)
