"""Requests of clients as handlers see them, and the rules by which one is refused before any handler sees it.

A request reaches its handler complete, body included. Its answer is written through the request: `reply` for a complete
answer, or `start`, `data` and `end` for a streamed one, or `abort`. An answer is written once: after it began, `reply`
does nothing, and what a late handler writes after the connection ended, or moved on to its next request, is dropped.
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
HEADER_LINE_BYTES = 4  # ": " and the line's end, of each header


class Limits(NamedTuple):
    """What a client may send, and how slowly.

    Attributes:
        head_bytes: Size of a request's line and headers.
        body_bytes: Size of a request's body.
        head_s: Seconds from a request's first byte to the end of its head.
        idle_s: Seconds for a body, and between two requests.
    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


class RefusedRequestError(errors.PloverwardError):
    """A request that is answered before it is complete; its connection ends with the answer.

    Args:
        status: The HTTP status of the answer.

    Attributes:
        status: As given.
    """

    def __init__(self, *, status: int) -> None:
        super().__init__(REASONS.get(status, b"Error").decode(), step="request")
        self.status = status


class ClientRequestError(RefusedRequestError):
    """The client is at fault: the request is malformed (400, 501), too large (413, 431) or too slow (408)."""


class ServerOverloadedError(RefusedRequestError):
    """The server is at fault: the bodies of all its connections would take too much memory (503)."""


def check_head(*, head: h11.Request, limits: Limits) -> None:
    """Checks what h11 leaves to the server: ambiguous lengths, and sizes.

    Two lengths, or a length with chunks, are refused: a server behind this one could take another part of the bytes
    for the body, and the remainder for a request of its own (request smuggling).

    Raises:
        ClientRequestError: With 400, 413 or 431.
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


class ResponseWriter(Protocol):
    """What a request uses of its connection."""

    def is_answering(self, request: "Request") -> bool:
        """Whether what is written now belongs to this request."""

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool) -> None:
        """Writes the head of the answer."""

    def send(self, event: Any) -> None:  # noqa: ANN401  # any event of h11
        """Writes a part of the answer."""

    def finish(self) -> None:
        """Ends the answer."""

    def abort_response(self) -> None:
        """Ends the connection so that the answer can't look complete."""

    def drop(self) -> None:
        """Ends the connection as if its client had left."""

    def queued(self) -> int:
        """Returns how many bytes of answers wait to be sent."""


class Request:
    """One complete request, and the means to answer it.

    Args:
        http_connection: Where it came from.
        method: In capitals, as bytes.
        target: Path and query.
        headers: Names in small letters, and values.
        begun_at: When its first byte came, by the loop's clock in seconds.

    Attributes:
        http_connection: As given.
        method: As given.
        target: As given.
        headers: As given.
        begun_at: As given.
        body: The body.
        at: When it was complete, by the loop's clock in seconds.
        on_disconnect: Set by the handler; called where the client leaves before the answer ended.
        on_drain: Set by the handler; called whenever all that was written has been sent.
        is_started: Whether an answer was begun.
        is_answered: Whether an answer was ended or aborted.
        record: Free for the handler.
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
        """Returns the value of the first header of this name, in small letters, or the default."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def text(self, name: bytes, default: str = "") -> str:
        """Returns a header's value as text."""
        return self.header(name, default.encode()).decode("latin-1")

    def reply(
        self,
        *,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        is_last: bool = False,
    ) -> None:
        """Writes a complete answer, unless one was begun.

        Args:
            status: The HTTP status.
            headers: Headers but for the length.
            body: The body.
            is_last: Whether the connection ends with this answer.
        """
        if self.is_answered or self.is_started:
            return
        self.start(status=status, headers=[*headers, (b"Content-Length", b"%d" % len(body))], is_last=is_last)
        self.data(body)
        self.end()

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool = False) -> None:
        """Begins a streamed answer; arguments as of `reply`."""
        self.is_started = True
        if self.http_connection.is_answering(self):
            self.http_connection.start(status=status, headers=headers, is_last=is_last)

    def data(self, data: bytes) -> None:
        """Writes a part of a streamed answer's body."""
        if data and self.http_connection.is_answering(self):
            self.http_connection.send(h11.Data(data=data))

    def end(self) -> None:
        """Ends a streamed answer."""
        self.is_answered = True
        if self.http_connection.is_answering(self):
            self.http_connection.finish()

    def abort(self) -> None:
        """Ends the connection so that the answer can't look complete."""
        self.is_answered = True
        if self.http_connection.is_answering(self):
            self.http_connection.abort_response()
