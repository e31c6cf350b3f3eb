"""Polls the platform's list (design 5). One core node does that at a time, the owner of the singleton role.

Invariant: after `stop` nothing is delivered, also where requests are in progress: each start and stop begins a new run,
and answers of an earlier run are dropped.
"""

import collections.abc

from ploverward.control_plane.discovery import endpoint_list_reader
from ploverward.control_plane.discovery import platform_connection
from ploverward.control_plane.distribution.endpoint_list import Row
from ploverward.transport import event_loop

BACKOFF_FACTOR = 1.5  # of the pause, after each reading that failed
MAX_BACKOFF = 3  # times the normal pause


class EndpointListPoller:
    """Reads the list again and again.

    Attributes:
        is_on: whether it polls.

    Args:
        loop: the event loop.
        address: ADDRESS:PORT of the platform.
        poll_interval_s: from the beginning of a reading to that of the next one.
        timeout_s: how long a request may take.
        on_list: called with the rows of each complete list, and when its reading began on the loop's clock.
        zones: all zones.
        connection: sends the requests; None for a `PlatformConnection`, which is made at the first start.
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
        self._gap_s = poll_interval_s
        self._limit_s = timeout_s
        self._on_list = on_list
        self._zones = tuple(sorted(zones))
        self._connection = connection
        self._page_count = 0  # of the last complete list
        self._run = 0
        self._pause_s = poll_interval_s
        self.is_on = False

    def start(self) -> None:
        """Begins to poll; nothing happens where it polls already."""
        if self.is_on:
            return
        self.is_on = True
        self._run += 1
        if self._connection is None:
            self._connection = platform_connection.PlatformConnection(loop=self._loop)
        self._begin(self._connection, self._run)

    def stop(self) -> None:
        """Ends polling. Nothing is delivered any more."""
        self.is_on = False
        self._run += 1

    def _begin(self, connection: platform_connection.Connection, run: int) -> None:
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
                timeout_s=self._limit_s,
                done=lambda response: done(response) if run == self._run else None,
            )

        def on_end(rows: list[Row] | None, page_count: int) -> None:
            self._handle_end(rows, page_count, begun_at)
            delay = max(0.0, begun_at + self._pause_s - self._loop.now())
            self._loop.after(delay=delay, callback=lambda: self._begin(connection, run))

        endpoint_list_reader.EndpointListReader(
            request_page=request_page,
            zones=self._zones,
            is_by_zones=endpoint_list_reader.is_read_by_zones(page_count=self._page_count, zones=self._zones),
            on_end=on_end,
        )

    def _url(self, zone: str, token: str | None) -> str:
        query = "&".join(f"{name}={value}" for name, value in (("zone", zone), ("page", token)) if value)
        return f"http://{self._address}/replicas" + (f"?{query}" if query else "")

    def _handle_end(self, rows: list[Row] | None, page_count: int, begun_at: float) -> None:
        if rows is None:
            self._pause_s = min(self._pause_s * BACKOFF_FACTOR, self._gap_s * MAX_BACKOFF)
            return
        self._page_count = page_count
        self._pause_s = self._gap_s
        self._on_list(rows, begun_at)
