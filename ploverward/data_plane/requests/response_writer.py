"""Writes the answer to the client.

`ResponseWriter` owns what the client has of its answer: nothing, or the head and what followed. An answer that is no
stream is buffered, so that a failure of its replica can still become another replica's success; past
`BUFFER_LIMIT_BYTES` it is forwarded as it arrives. A stream is forwarded event by event.

The invariant: a partial answer never looks complete. The length that a replica states is not forwarded for answers that
several replicas may contribute to, and only the handler decides that an answer is complete (docs/requests.md 1.9).
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

BUFFER_LIMIT_BYTES = 512 * 1024  # of one answer; longer ones are rare, and their replica is past failing at the head


class ResponseWriter:
    """Writes one request's answer to its client.

    Args:
        request: The client's request.
        on_head: Called once, just before the head is written.

    Attributes:
        has_head: Whether the client has the head: from then on no other status can follow.
        stream: The streamed answer, None if the answer is no stream or not started.
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
        """The event behind which the next replica begins, None for the beginning."""
        return self.stream.last_id if self.stream is not None else self._client_last_id

    def begin_stream(self, headers: Headers) -> None:
        """A replica begins a stream, or continues it."""
        self._headers = _without_length(headers)
        if self.stream is None:
            self.stream = stream_resumption.ResumableStream(last_id=self._client_last_id)
        self.stream.begin_run()

    def begin_body(self, headers: Headers) -> None:
        """A replica begins an answer that is no stream, or a failure."""
        self._headers = headers
        self.stream = None
        self._buffer = bytearray()

    def begin_next_attempt(self) -> None:
        """Another replica is used: what the former one sent and is not forwarded yet is dropped."""
        if self.stream is not None:
            self.stream.begin_run()
        self._buffer = None

    def write_head(self, *, status: int) -> None:
        """Writes the head of a stream, if the client does not have it yet."""
        if not self.has_head:
            self._start(status=status, headers=[*self._headers, (b"Transfer-Encoding", b"chunked")])

    def write_event(self, event: bytes, *, status: int) -> bool:
        """Writes one event of a stream. Returns whether the client reads more slowly than its replica writes."""
        if not self.has_head:
            self.write_head(status=status)
        self._request.data(event)
        return self._request.http_connection.queued() > http_connection.SEND_HIGH_WATERMARK_BYTES

    def write(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        self._request.data(data)

    def write_body(self, data: bytes, *, status: int) -> None:
        """Buffers data of an answer that is no stream, and forwards it once it is too long for that."""
        if self._buffer is None:
            return
        self._buffer += data
        if len(self._buffer) > BUFFER_LIMIT_BYTES and not self.has_head:
            self._start(status=status, headers=self._headers)
        if self.has_head:
            self._request.data(bytes(self._buffer))
            self._buffer = bytearray()

    def end(self) -> None:
        """The answer is complete."""
        self._request.end()

    def end_body(self, *, status: int) -> None:
        """Completes an answer that is no stream: writes its remainder, or all of it with its length."""
        buffer = bytes(self._buffer or b"")
        if self.has_head:
            self._request.data(buffer)
            self._request.end()
        else:
            self._request.reply(status=status, headers=_without_length(self._headers), body=buffer)

    def reply(self, *, status: int, headers: Sequence[tuple[bytes, bytes]] = ()) -> None:
        """Answers without a body."""
        self._request.reply(status=status, headers=headers)

    def abort(self) -> None:
        """Ends the client's connection, so that the answer does not look complete."""
        self._request.abort()

    def _start(self, *, status: int, headers: Headers) -> None:
        # First: this very write may find that the client has left, and nothing may start another answer then.
        self.has_head = True
        self._on_head()
        self._request.start(status=status, headers=headers)


def _without_length(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name != b"content-length"]
