"""Writes the response to the client.

`ResponseWriter` tracks how much of the response the client has: nothing, or the head and part of the body. A response
that is not a stream is buffered, so that another replica can still succeed after a failure; beyond `BUFFER_LIMIT_BYTES`
it is forwarded as it arrives. A stream is forwarded event by event.

Invariant: a partial response never looks complete. A replica's Content-Length is not forwarded for responses to which
several replicas may contribute, and only the handler decides that a response is complete (docs/requests.md 1.9).
"""

from __future__ import annotations

import typing

from ploverward.data_plane.requests import stream_resumption
from ploverward.transport import http_connection
from ploverward.transport import http_request

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

Headers = list[tuple[bytes, bytes]]

BUFFER_LIMIT_BYTES = 512 * 1024  # per response; longer ones are rare, and their replica has not failed at the head


class ResponseWriter:
    """Writes the response of one request to its client.

    Args:
        request: The client's request.
        on_head: Called once, just before the head is written.

    Attributes:
        has_head: Whether the head was written, after which no other status can be sent.
        stream: The streamed response, None if the response is not a stream or has not started.
    """

    __slots__ = ("has_head", "stream", "_request", "_on_head", "_client_last_id", "_headers", "_buffer")

    def __init__(self, *, request: http_request.Request, on_head: Callable[[], None]) -> None:
        self.has_head = False
        self.stream: stream_resumption.ResumableStream | None = None
        self._request = request
        self._on_head = on_head
        self._client_last_id = request.header(b"last-event-id") or None
        self._headers: Headers = []
        self._buffer: bytearray | None = None

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the event after which the next replica has to continue, None for the beginning of the stream."""
        return self.stream.last_id if self.stream is not None else self._client_last_id

    def begin_stream(self, headers: Headers) -> None:
        """Begins the stream of a replica, or its part of a resumed stream."""
        self._headers = _without_length(headers)
        if self.stream is None:
            self.stream = stream_resumption.ResumableStream(last_id=self._client_last_id)
        self.stream.begin_segment()

    def begin_body(self, headers: Headers) -> None:
        """Begins a response of a replica that is not a stream, or an error response."""
        self._headers = headers
        self.stream = None
        self._buffer = bytearray()

    def begin_next_attempt(self) -> None:
        """Discards the data of the previous replica that was not forwarded yet, before another replica is used."""
        if self.stream is not None:
            self.stream.begin_segment()
        self._buffer = None

    def write_head(self, *, status: int) -> None:
        """Writes the head of a stream, if the client does not have it yet."""
        if not self.has_head:
            self._start(status=status, headers=[*self._headers, (b"Transfer-Encoding", b"chunked")])

    def write_event(self, event: bytes, *, status: int) -> bool:
        """Writes one event of a stream, and returns whether too many unsent bytes are queued for the client."""
        if not self.has_head:
            self.write_head(status=status)
        self._request.data(event)
        return self._request.http_connection.queued() > http_connection.SEND_HIGH_WATERMARK_BYTES

    def write(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        self._request.data(data)

    def write_body(self, data: bytes, *, status: int) -> None:
        """Buffers data of a response that is not a stream, or forwards it if the response exceeds the buffer limit."""
        if self._buffer is None:
            return
        self._buffer += data
        if len(self._buffer) > BUFFER_LIMIT_BYTES and not self.has_head:
            self._start(status=status, headers=self._headers)
        if self.has_head:
            self._request.data(bytes(self._buffer))
            self._buffer = bytearray()

    def end(self) -> None:
        """Completes the response."""
        self._request.end()

    def end_body(self, *, status: int) -> None:
        """Completes a response that is not a stream: writes its remainder, or all of it with its length."""
        buffer = bytes(self._buffer or b"")
        if self.has_head:
            self._request.data(buffer)
            self._request.end()
        else:
            self._request.reply(status=status, headers=_without_length(self._headers), body=buffer)

    def reply(self, *, status: int, headers: Sequence[tuple[bytes, bytes]] = ()) -> None:
        """Writes a response without a body."""
        self._request.reply(status=status, headers=headers)

    def abort(self) -> None:
        """Closes the client's connection, so that the response does not look complete."""
        self._request.abort()

    def _start(self, *, status: int, headers: Headers) -> None:
        # Set before the write, which may find that the client disconnected: no second response may start then.
        self.has_head = True
        self._on_head()
        self._request.start(status=status, headers=headers)


def _without_length(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name != b"content-length"]
