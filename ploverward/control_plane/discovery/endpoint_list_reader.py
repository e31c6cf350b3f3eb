"""One reading of the platform's complete list: page after page, or the pages of all zones at the same time.

Invariant: the result is the complete list or nothing. A list of which a page is missing is never published, as replicas
on that page would count as removed.
"""

import collections.abc
import http

from ploverward.control_plane.discovery import platform_replicas
from ploverward.control_plane.discovery.platform_connection import PlatformResponse
from ploverward.control_plane.distribution.endpoint_list import Row

MAX_ROWS = 200_000  # a platform that never stops naming next pages is not followed beyond
PAGES_A_ZONE = 2  # a list with more pages than so many for each zone is read by zones
ALL_ZONES = ""

# Requests a page: (zone or ALL_ZONES, token of the page or None for the first, called with the response).
RequestPage = collections.abc.Callable[[str, str | None, collections.abc.Callable[[PlatformResponse], None]], None]


def is_read_by_zones(*, page_count: int, zones: collections.abc.Collection[str]) -> bool:
    """Whether a list of so many pages is read by zones.

    The platform may be far away, and each page waits for the one before it; those of several zones do not.
    """
    return bool(zones) and page_count > PAGES_A_ZONE * len(zones)


class EndpointListReader:
    """Reads the list once. It begins when it is made.

    Args:
        request_page: requests a page.
        zones: all zones.
        is_by_zones: whether to begin with a request for each zone.
        on_end: called once with the rows, or None where a page is missing, and the number of pages.
    """

    def __init__(
        self,
        *,
        request_page: RequestPage,
        zones: collections.abc.Iterable[str],
        is_by_zones: bool,
        on_end: collections.abc.Callable[[list[Row] | None, int], None],
    ) -> None:
        self._request_page = request_page
        self._zones = tuple(zones)
        self._on_end = on_end
        self._is_over = False
        self._attempt = 0  # answers to requests of an earlier attempt are ignored
        self._page_count = 0
        self._rows: list[Row] = []
        self._sequences_left = 0  # sequences of pages whose last page was not read yet
        self._begin(self._zones if is_by_zones else (ALL_ZONES,))

    def _begin(self, zones: tuple[str, ...]) -> None:
        self._attempt += 1
        self._page_count = 0
        self._rows = []
        self._sequences_left = len(zones)
        for zone in zones:
            self._request(zone, None)

    def _request(self, zone: str, token: str | None) -> None:
        attempt = self._attempt
        self._request_page(zone, token, lambda response: self._handle_response(zone, attempt, response))

    def _handle_response(self, zone: str, attempt: int, response: PlatformResponse) -> None:
        if self._is_over or attempt != self._attempt:
            return
        is_complete = response.error is None and response.status == http.HTTPStatus.OK
        page = platform_replicas.read_page(response.body) if is_complete else None
        if page is None:
            self._end(None)
            return
        self._page_count += 1
        self._rows += page.rows
        if page.next_token is not None and len(self._rows) <= MAX_ROWS:
            if zone == ALL_ZONES and is_read_by_zones(page_count=self._page_count, zones=self._zones):
                self._begin(self._zones)  # one page after the other would take too long
            else:
                self._request(zone, page.next_token)
            return
        self._sequences_left -= 1
        if not self._sequences_left:
            self._end(self._rows)

    def _end(self, rows: list[Row] | None) -> None:
        self._is_over = True
        self._on_end(rows, self._page_count)
