"""Maps HTTP calls to their handlers, by werkzeug (docs/orders.md 6).

Every call gets one clear answer, whatever its head contains: a path or method without a rule is answered here.
"""

import collections.abc
import dataclasses
import http
import json
import typing
import urllib.parse

import werkzeug.datastructures
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.sansio.request

from ploverward.transport import http_request

RETRY_AFTER = b"0.3"  # seconds; callers have a backoff of their own, this is for those that have none
RETRY_LATER = ((b"Retry-After", b"1"),)  # seconds; what is missing takes longer than a caller's usual backoff
MAP_BINDING = "core"  # the host name that werkzeug requires; the rules do not depend on it

Header: typing.TypeAlias = tuple[bytes, bytes]


class ErrorBody(typing.TypedDict):
    """The body of a refusal."""

    error: str


class RedirectBody(typing.TypedDict):
    """The body of a redirect: ADDRESS:PORT of the other node."""

    location: str


class Call:
    """One call of an operator, a tool or a client, and how to answer it.

    Args:
        request: the request, completely received.
    """

    def __init__(self, *, request: http_request.Request) -> None:
        self._request = request
        self._head = werkzeug.sansio.request.Request(
            request.method.decode("latin-1"),
            "http",
            None,
            "",
            *_split_target(request.target),
            werkzeug.datastructures.Headers(
                [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers]
            ),
            None,
        )

    @property
    def method(self) -> str:
        """The method, in upper case."""
        return self._head.method

    @property
    def path(self) -> str:
        """The path, decoded, without the query."""
        return self._head.path

    @property
    def query(self) -> collections.abc.Mapping[str, str]:
        """The parameters in the query."""
        return self._head.args

    @property
    def headers(self) -> werkzeug.datastructures.Headers:
        """The headers; names in any case."""
        return self._head.headers

    @property
    def body(self) -> bytes:
        """The body."""
        return self._request.body

    def answer(self, *, status: int, body: object, headers: collections.abc.Iterable[Header] = ()) -> None:
        """Answers the call.

        Args:
            status: the HTTP status.
            body: what is sent as JSON.
            headers: further headers.
        """
        self._request.reply(
            status=int(status),
            headers=[(b"Content-Type", b"application/json"), *headers],
            body=json.dumps(body, separators=(",", ":")).encode(),
        )

    def on_disconnect(self, callback: collections.abc.Callable[[], object]) -> None:
        """Has a callback called where the caller leaves before it is answered."""
        self._request.on_disconnect = callback

    def unavailable(self, *, why: str) -> None:
        """Answers 503, which leaves the outcome open: the caller retries, at this node or another."""
        body = ErrorBody(error=why)
        self.answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE, body=body, headers=[(b"Retry-After", RETRY_AFTER)])

    def redirect(self, *, address: str) -> None:
        """Sends the caller to another node.

        Args:
            address: ADDRESS:PORT of that node.
        """
        location = b"http://%s%s" % (address.encode(), self._request.target)
        body = RedirectBody(location=address)
        self.answer(status=http.HTTPStatus.TEMPORARY_REDIRECT, body=body, headers=[(b"Location", location)])


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """One method and path, and who handles it.

    Attributes:
        method: the method.
        path: the path, with variables as werkzeug writes them.
        handler: called with the call and the variables by name.
    """

    method: str
    path: str
    handler: collections.abc.Callable[..., None]


class Router:
    """Passes each request from the listeners to its handler.

    Args:
        rules: all rules.
    """

    def __init__(self, *, rules: collections.abc.Iterable[Rule]) -> None:
        self._map = werkzeug.routing.Map(
            [werkzeug.routing.Rule(rule.path, endpoint=rule.handler, methods=[rule.method]) for rule in rules],
            merge_slashes=False,
        )

    def handle(self, request: http_request.Request) -> None:
        """Handles a request."""
        call = Call(request=request)
        try:
            handler, variables = self._map.bind(MAP_BINDING).match(call.path, method=call.method)
        except werkzeug.exceptions.HTTPException as error:
            call.answer(status=error.code or http.HTTPStatus.NOT_FOUND, body=ErrorBody(error=error.name))
            return
        handler(call, **variables)


def _split_target(target: bytes) -> tuple[str, bytes]:
    path, _separator, query = target.partition(b"?")
    return urllib.parse.unquote(path.decode("latin-1")), query
