"""Routes HTTP calls to their handlers with werkzeug (docs/orders.md 6).

Every call gets exactly one answer, whatever its head contains. Paths and methods without a rule are answered here.
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

RETRY_AFTER = b"0.3"  # seconds, for callers without a backoff of their own
RETRY_LATER = ((b"Retry-After", b"1"),)  # seconds; for a state that takes longer to reach than a caller's usual backoff
MAX_BODY_BYTES = 128 * 1024  # of a call, unless its rule states more
ROUTING_HOST = "core"  # a host name that werkzeug requires; no rule depends on it

Header: typing.TypeAlias = tuple[bytes, bytes]


class ErrorBody(typing.TypedDict):
    """The body of a refusal."""

    error: str


class RedirectBody(typing.TypedDict):
    """The body of a redirect: ADDRESS:PORT of the other node."""

    location: str


class Call:
    """A call of an operator, a tool or a client, with the methods that answer it.

    Args:
        request: the request, with its complete body.
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
        """The HTTP method in upper case."""
        return self._head.method

    @property
    def path(self) -> str:
        """The percent-decoded path without the query."""
        return self._head.path

    @property
    def query(self) -> collections.abc.Mapping[str, str]:
        """The parameters of the query."""
        return self._head.args

    @property
    def headers(self) -> werkzeug.datastructures.Headers:
        """The headers, with case-insensitive names."""
        return self._head.headers

    @property
    def body(self) -> bytes:
        """The body of the request."""
        return self._request.body

    def answer(self, *, status: int, body: object, headers: collections.abc.Iterable[Header] = ()) -> None:
        """Answers the call.

        Args:
            status: the HTTP status.
            body: the content, sent as JSON.
            headers: headers besides Content-Type.
        """
        self._request.reply(
            status=int(status),
            headers=[(b"Content-Type", b"application/json"), *headers],
            body=json.dumps(body, separators=(",", ":")).encode(),
        )

    def set_disconnect_callback(self, callback: collections.abc.Callable[[], object]) -> None:
        """Sets the callback that runs if the caller disconnects before it is answered."""
        self._request.on_disconnect = callback

    def answer_unavailable(self, *, reason: str) -> None:
        """Answers 503, which leaves the outcome open: the caller retries at this node or another one."""
        body = ErrorBody(error=reason)
        self.answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE, body=body, headers=[(b"Retry-After", RETRY_AFTER)])

    def redirect(self, *, address: str) -> None:
        """Redirects the caller to another node.

        Args:
            address: ADDRESS:PORT of that node.
        """
        location = b"http://%s%s" % (address.encode(), self._request.target)
        body = RedirectBody(location=address)
        self.answer(status=http.HTTPStatus.TEMPORARY_REDIRECT, body=body, headers=[(b"Location", location)])


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A route: the handler of a method and a path.

    Attributes:
        method: the method.
        path: the path, with variables in werkzeug's syntax.
        handler: called with the call and, as keyword arguments, the path's variables.
        max_body_bytes: calls with a larger body are answered with 413; handlers parse bodies on the loop's thread.
    """

    method: str
    path: str
    handler: collections.abc.Callable[..., None]
    max_body_bytes: int = MAX_BODY_BYTES


class Router:
    """Passes the requests of the HTTP servers to their handlers.

    Args:
        rules: the rules of all handlers.
    """

    def __init__(self, *, rules: collections.abc.Iterable[Rule]) -> None:
        self._map = werkzeug.routing.Map(
            [werkzeug.routing.Rule(rule.path, endpoint=rule, methods=[rule.method]) for rule in rules],
            merge_slashes=False,
        )

    def handle(self, request: http_request.Request) -> None:
        """Passes a request to its handler, or answers it with an error if no rule matches."""
        call = Call(request=request)
        try:
            rule, variables = self._map.bind(ROUTING_HOST).match(call.path, method=call.method)
        except werkzeug.exceptions.HTTPException as error:
            call.answer(status=error.code or http.HTTPStatus.NOT_FOUND, body=ErrorBody(error=error.name))
            return
        if len(call.body) > rule.max_body_bytes:
            text = f"the body has {len(call.body)} bytes, {rule.max_body_bytes} are allowed"
            call.answer(status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, body=ErrorBody(error=text))
            return
        rule.handler(call, **variables)


def _split_target(target: bytes) -> tuple[str, bytes]:
    path, _separator, query = target.partition(b"?")
    return urllib.parse.unquote(path.decode("latin-1")), query
