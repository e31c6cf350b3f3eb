"""Look-ups of the proxies that a client may connect to (design 4, 10)."""

import http
import typing

from ploverward.control_plane.discovery import directory
from ploverward.control_plane.operator_api.router import RETRY_LATER
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import ErrorBody
from ploverward.control_plane.operator_api.router import Rule


class LookupBody(typing.TypedDict):
    """The addresses of proxies, and for how many seconds the client may use them."""

    addressList: list[str]
    ttlS: int


class LookupHandlers:
    """Answers the look-ups of clients.

    Args:
        proxy_directory: chooses the proxies.
        ttl_s: for how many seconds a client may use an answer.
    """

    def __init__(self, *, proxy_directory: directory.Directory, ttl_s: int) -> None:
        self._directory = proxy_directory
        self._ttl_s = ttl_s

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [Rule("GET", "/ploverward/lookup", self.handle_get)]

    def handle_get(self, call: Call) -> None:
        """Answers with the addresses of proxies for the host, region and zone in the query."""
        query = call.query
        try:
            addresses = self._directory.find_addresses(
                host=query.get("name", ""), region=query.get("region", ""), zone=query.get("zone", "")
            )
        except directory.LookupRefusedError as error:
            body = ErrorBody(error=error.text)
            call.answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE, body=body, headers=RETRY_LATER)
            return
        call.answer(status=http.HTTPStatus.OK, body=LookupBody(addressList=addresses, ttlS=self._ttl_s))
