"""Reads the platform's complete replica list once: page by page, or the pages of all zones concurrently.

Invariant: the result is the complete list or None. A list with a missing page is never published, as the replicas on
that page would count as removed.
"""

import collections.abc
import http

from ploverward.control_plane.discovery import platform_replicas
from ploverward.control_plane.discovery.platform_connection import PlatformResponse
from ploverward.control_plane.distribution.endpoint_list import Row

MAX_ROWS = 200_000  # no further page is requested beyond this, in case the platform never stops naming next pages
MAX_PAGES_PER_ZONE = 2  # a list with more pages than this times the number of zones is read by zone
ALL_ZONES = ""  # in place of a zone: the pages of the whole list

# Requests a page. Arguments: zone or ALL_ZONES; token of the page, None for the first one; callback for the response.
RequestPage = collections.abc.Callable[[str, str | None, collections.abc.Callable[[PlatformResponse], None]], None]


def should_read_by_zone(*, page_count: int, zones: collections.abc.Collection[str]) -> bool:
    """Returns whether a list with this number of pages is read by zone.

    The platform may be far away. Each page has to wait for the previous one, as that contains its token, but the pages
    of different zones can be requested concurrently.
    """
    return bool(zones) and page_count > MAX_PAGES_PER_ZONE * len(zones)


class EndpointListReader:
    """Reads the list once, beginning at construction.

    Args:
        request_page: requests a page; see `RequestPage`.
        zones: all zones.
        by_zone: whether to read by zone from the start.
        on_end: called once with the rows, or None if a page is missing, and the number of pages.
    """

    def __init__(
        self,
        *,
        request_page: RequestPage,
        zones: collections.abc.Iterable[str],
        by_zone: bool,
        on_end: collections.abc.Callable[[list[Row] | None, int], None],
    ) -> None:
        self._request_page = request_page
        self._zones = tuple(zones)
        self._on_end = on_end
        self._is_finished = False
        self._attempt = 0  # responses to requests of an earlier attempt are ignored
        self._page_count = 0
        self._rows: list[Row] = []
        self._unfinished_sequences = 0  # sequences of pages (one, or one per zone) whose last page has not been read
        self._begin_attempt(self._zones if by_zone else (ALL_ZONES,))

    def _begin_attempt(self, zones: tuple[str, ...]) -> None:
        self._attempt += 1
        self._page_count = 0
        self._rows = []
        self._unfinished_sequences = len(zones)
        for zone in zones:
            self._request(zone, None)

    def _request(self, zone: str, token: str | None) -> None:
        attempt = self._attempt
        self._request_page(zone, token, lambda response: self._handle_response(zone, attempt, response))

    def _handle_response(self, zone: str, attempt: int, response: PlatformResponse) -> None:
        if self._is_finished or attempt != self._attempt:
            return
        is_complete = response.error is None and response.status == http.HTTPStatus.OK
        page = platform_replicas.read_page(response.body) if is_complete else None
        if page is None:
            self._finish(None)
            return
        self._page_count += 1
        self._rows += page.rows
        if page.next_token is not None and len(self._rows) <= MAX_ROWS:
            if zone == ALL_ZONES and should_read_by_zone(page_count=self._page_count, zones=self._zones):
                self._begin_attempt(self._zones)  # page by page would take too long
            else:
                self._request(zone, page.next_token)
            return
        self._unfinished_sequences -= 1
        if not self._unfinished_sequences:
            self._finish(self._rows)

    def _finish(self, rows: list[Row] | None) -> None:
        self._is_finished = True
        self._on_end(rows, self._page_count)
