"""HTTP requests as handlers see them, and the checks that reject a request before any handler is called.

A request reaches its handler complete, including the body. The handler responds through the request: `reply` sends a
complete response, `start`, `data` and `end` send a streamed one, `abort` breaks it off. A request gets one response:
once it has started, `reply` does nothing, and writes of a late handler are dropped after the connection was closed or
moved on to its next request.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple
from typing import Protocol

import h11

from ploverward.common import errors

Headers = list[tuple[bytes, bytes]]

REASONS = {
    200: b"OK",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    415: b"Unsupported Media Type",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
HEADER_LINE_BYTES = 4  # ": " and the line ending of each header


class Limits(NamedTuple):
    """Limits on the size and the duration of a client's requests.

    Attributes:
        head_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of the body.
        head_s: Maximum seconds from the first byte of a request to the end of its head.
        idle_s: Maximum seconds for receiving a body, and between two requests.
    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


class RefusedRequestError(errors.PloverwardError):
    """A request is rejected before it is complete; its connection is closed after the error response.

    Args:
        status: HTTP status of the response.

    Attributes:
        status: As given.
    """

    def __init__(self, *, status: int) -> None:
        super().__init__(REASONS.get(status, b"Error").decode(), step="request")
        self.status = status


class ClientRequestError(RefusedRequestError):
    """The request is malformed (400, 501), too large (413, 431) or too slow (408): an error of the client."""


class ServerOverloadedError(RefusedRequestError):
    """The bodies of all connections would take too much memory (503): not an error of the client."""


def check_head(*, head: h11.Request, limits: Limits) -> int:
    """Checks what h11 does not: ambiguous body lengths and the sizes of head and body.

    Returns the size of the head in bytes.

    Two different lengths, or a length together with chunked encoding, are rejected: a server behind this one could
    interpret the length differently and take the remaining bytes for another request (request smuggling).

    Raises:
        ClientRequestError: With status 400, 413 or 431.
    """
    lengths = {value for name, value in head.headers if name == b"content-length"}
    has_chunks = any(name == b"transfer-encoding" for name, _value in head.headers)
    if (lengths and has_chunks) or len(lengths) > 1:
        raise ClientRequestError(status=400)
    size = len(head.target) + sum(len(name) + len(value) + HEADER_LINE_BYTES for name, value in head.headers)
    if size > limits.head_bytes:
        raise ClientRequestError(status=431)
    if lengths and int(next(iter(lengths))) > limits.body_bytes:
        raise ClientRequestError(status=413)
    return size


class ResponseWriter(Protocol):
    """The part of a connection that a request uses to write its response."""

    def is_answering(self, request: "Request") -> bool:
        """Returns whether `request` may still write its response."""

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool) -> None:
        """Writes the head of the response."""

    def send(self, event: Any) -> None:  # noqa: ANN401  # any event of h11
        """Writes a part of the response."""

    def finish(self) -> None:
        """Ends the response."""

    def abort_response(self) -> None:
        """Closes the connection so that the client can't take the response for complete."""

    def drop(self) -> None:
        """Closes the connection as if the client had disconnected."""

    def queued(self) -> int:
        """Returns the number of response bytes that wait to be sent."""


class Request:
    """A complete request, with methods to respond to it.

    Args:
        http_connection: The connection that the request arrived on.
        method: HTTP method in upper case.
        target: Path and query.
        headers: Pairs of lower-case name and value.
        begun_at: When the first byte arrived, in seconds on the loop's clock.

    Attributes:
        http_connection: As given.
        method: As given.
        target: As given.
        headers: As given.
        begun_at: As given.
        body: The complete body.
        at: When the request was complete, in seconds on the loop's clock.
        on_disconnect: Set by the handler; called if the client disconnects before the response has ended.
        on_drain: Set by the handler; called whenever everything written so far has been sent.
        is_started: Whether a response was started.
        is_answered: Whether the response was ended or aborted.
        record: State that the handler may attach to the request.
    """

    __slots__ = (
        "http_connection",
        "method",
        "target",
        "headers",
        "body",
        "at",
        "begun_at",
        "on_disconnect",
        "on_drain",
        "is_answered",
        "is_started",
        "record",
    )

    def __init__(
        self, *, http_connection: ResponseWriter, method: bytes, target: bytes, headers: Headers, begun_at: float
    ) -> None:
        self.http_connection = http_connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.begun_at = begun_at
        self.at = begun_at
        self.on_disconnect: Callable[[], object] | None = None
        self.on_drain: Callable[[], object] | None = None
        self.is_answered = False
        self.is_started = False
        self.record: Any = None

    def header(self, name: bytes, default: bytes = b"") -> bytes:
        """Returns the value of the first header with the lower-case name `name`, or `default`."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def text(self, name: bytes, default: str = "") -> str:
        """Returns the value of a header as text, or `default`."""
        return self.header(name, default.encode()).decode("latin-1")

    def reply(
        self,
        *,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        is_last: bool = False,
    ) -> None:
        """Sends a complete response; does nothing if one was started already.

        Args:
            status: HTTP status.
            headers: Headers without Content-Length.
            body: The body.
            is_last: Whether to close the connection after this response.
        """
        if self.is_answered or self.is_started:
            return
        self.start(status=status, headers=[*headers, (b"Content-Length", b"%d" % len(body))], is_last=is_last)
        self.data(body)
        self.end()

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool = False) -> None:
        """Starts a streamed response; the arguments are those of `reply`."""
        self.is_started = True
        if self.http_connection.is_answering(self):
            self.http_connection.start(status=status, headers=headers, is_last=is_last)

    def data(self, data: bytes) -> None:
        """Sends a part of the body of a streamed response."""
        if data and self.http_connection.is_answering(self):
            self.http_connection.send(h11.Data(data=data))

    def end(self) -> None:
        """Ends a streamed response."""
        self.is_answered = True
        if self.http_connection.is_answering(self):
            self.http_connection.finish()

    def abort(self) -> None:
        """Closes the connection so that the client can't take the response for complete."""
        self.is_answered = True
        if self.http_connection.is_answering(self):
            self.http_connection.abort_response()
