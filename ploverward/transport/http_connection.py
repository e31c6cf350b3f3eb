"""One connection of a client to the HTTP server: HTTP/1.1 by h11, one request at a time (docs/design.md 3).

The states (`State`):

    IDLE --first byte--> READING_HEAD --head--> READING_BODY --complete--> ANSWERING --answered--> IDLE
    READING_HEAD, READING_BODY --refused--> REFUSING --sent--> CLOSED
    ANSWERING --answered, and the connection is not to be used again--> CLOSING --sent--> CLOSED
    any --the client left, or the server closes it--> CLOSED

A request is handed over once it is complete. What the client sends behind it waits in h11 (up to one request of the
largest size, then the connection ends) and is read when the answer has ended.

The client and this process may both be slow, and a time-out has to tell them apart: when one fires while bytes wait on
the socket, it is this process that is late, so those are read first. Neither a request that arrived in time nor the one
that crosses with the end of an idle connection is thrown away.
"""

import enum
import selectors
import socket
import struct
from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import Any

import h11

from ploverward.transport import peer_connection
from ploverward.transport.http_request import REASONS
from ploverward.transport.http_request import ClientRequestError
from ploverward.transport.http_request import RefusedRequestError
from ploverward.transport.http_request import Request
from ploverward.transport.http_request import ServerOverloadedError
from ploverward.transport.http_request import check_head

if TYPE_CHECKING:
    from ploverward.transport.http_server import HttpServer

SEND_HIGH_WATERMARK_BYTES = 256 * 1024  # queued for a client; who streams an answer pauses above it
IO_BYTES = 128 * 1024  # read or written at a time
DISCARD_BYTES = 64 * 1024  # read at a time from a connection that ends
IDLE_RECHECK_S = 0.05  # until a connection whose time is over is checked again, where bytes wait on it
MIN_ANNOUNCED_IDLE_S = 2  # shorter times are not worth a Keep-Alive header
ANNOUNCED_IDLE_SHARE = 0.7  # of the idle time; a client that counts on it must not meet the end of the connection
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER


class State(enum.Enum):
    """The states of an `HttpConnection`."""

    IDLE = "idle"
    READING_HEAD = "reading head"
    READING_BODY = "reading body"
    ANSWERING = "answering"
    REFUSING = "refusing"
    CLOSING = "closing"
    CLOSED = "closed"


# Enum members are looked up by name at each use; these are on the path of every request.
_IDLE, _READING_HEAD, _READING_BODY, _ANSWERING, _REFUSING, _CLOSING, _CLOSED = State
_READING = (_READING_HEAD, _READING_BODY)
_ENDING = (_REFUSING, _CLOSING)


class HttpConnection:
    """One accepted connection.

    Args:
        server: Gives limits, takes complete requests, and bounds the memory that bodies take.
        sock: Connected; it does not block.
    """

    def __init__(self, *, server: "HttpServer", sock: socket.socket) -> None:
        self.server = server
        self.loop = server.loop
        self.sock = sock
        self._state = _IDLE
        self._out = bytearray()
        self._request: Request | None = None  # the one that is read or answered
        self._chunks: list[bytes] = []  # of the body that is read
        self._body_bytes = 0
        self._head_begun = 0.0  # when the first byte of the current request came
        self._ahead_bytes = 0  # read behind the request that is answered
        self._mask = selectors.EVENT_READ
        self._limits = server.limits()
        self._close_at = server.choose_close_time()
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)
        peer_connection.configure_socket(sock=sock, peer_timeout_s=server.peer_timeout_s)
        self.loop.watch(sock=sock, mask=self._mask, callback=self._ready)
        self._timer = self.loop.after(delay=self._limits.idle_s, callback=self._on_timeout)

    @property
    def state(self) -> State:
        """The connection's state."""
        return self._state

    @property
    def is_open(self) -> bool:
        """Whether it was not closed yet."""
        return self._state is not _CLOSED

    def is_idle(self) -> bool:
        """Whether no request is being read or answered, and its last answer was sent."""
        return self._state is _IDLE and not self._out

    def queued(self) -> int:
        """Returns how many bytes of answers wait to be sent."""
        return len(self._out)

    # Writing an answer, for `Request`.

    def is_answering(self, request: Request) -> bool:
        """Whether what is written now belongs to this request: not once it is answered, or its client has left."""
        return self._state is not _CLOSED and self._request is request

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool) -> None:
        """Writes the head of the answer."""
        headers = [*headers]
        if is_last or self.server.is_draining or self.loop.now() >= self._close_at:
            headers.append((b"Connection", b"close"))
        elif self._limits.idle_s > MIN_ANNOUNCED_IDLE_S:
            headers.append((b"Keep-Alive", b"timeout=%d" % int(self._limits.idle_s * ANNOUNCED_IDLE_SHARE)))
        self.send(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))

    def send(self, event: Any) -> None:  # noqa: ANN401  # any event of h11
        """Writes a part of the answer."""
        if self._state is _CLOSED:
            return
        data = self._h11.send(event)
        if data:
            self._write(data)

    def finish(self) -> None:
        """Ends the answer; the connection's next request is read, unless the connection is not to be used again."""
        self.send(h11.EndOfMessage())
        if self._state is _CLOSED:
            return  # the client left at this very write
        self.server.body_budget.release(owner=self)
        self._request = None
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self._state = _CLOSING
            if not self._out:
                self.close()
            return
        self._state = _IDLE
        self._limits = self.server.limits()
        self._h11.start_next_cycle()
        self._arm(delay=self._limits.idle_s)
        self._ahead_bytes = len(self._h11.trailing_data[0])
        if self._ahead_bytes:
            self._state = _READING_HEAD
            self._head_begun = self.loop.now()
            # Not at once: the handler that ended this answer is still running.
            self.loop.call_soon_threadsafe(callback=self._read_events)

    def abort_response(self) -> None:
        """Ends an answer so that it can't look complete.

        To a client that knows no chunks (HTTP/1.0) the end of the connection is the end of the body: it gets a reset.
        """
        if self._h11.their_http_version is not None and self._h11.their_http_version < b"1.1":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.close(may_reset=True)

    # Ends.

    def close(self, *, may_reset: bool = False) -> None:
        """Closes the connection.

        Args:
            may_reset: Leaves unread what the client sent. Otherwise it is read first: unread bytes would turn the close
                into a reset, which can destroy the answer on its way.
        """
        if self._state is _CLOSED:
            return
        self._state = _CLOSED
        self.loop.cancel(timer=self._timer)
        self.loop.unwatch(sock=self.sock)
        self.server.remove_connection(self)
        if not may_reset:
            self._discard_unread()
        self.sock.close()

    def close_if_idle(self) -> None:
        """Closes an idle connection, but for one with a request that was not read yet: that one is answered first."""
        if self.is_idle() and not self._has_unread_bytes():
            self.close(may_reset=True)

    def drop(self) -> None:
        """Closes the connection as if its client had left."""
        self._handle_disconnect()

    def _handle_disconnect(self) -> None:
        request = self._request
        self.close()
        if request is not None and request.on_disconnect is not None and not request.is_answered:
            request.on_disconnect()

    def _refuse(self, error: RefusedRequestError) -> None:
        """Answers what never became a complete request; the connection ends after it."""
        self._state = _REFUSING
        reason = REASONS.get(error.status, b"Error")
        self._write(b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % (error.status, reason))

    def _discard_unread(self) -> None:
        try:
            while self.sock.recv(DISCARD_BYTES):
                pass
        except OSError:
            pass

    # Time-outs.

    def _arm(self, *, delay: float) -> None:
        self.loop.cancel(timer=self._timer)
        self._timer = self.loop.after(delay=delay, callback=self._on_timeout)

    def _on_timeout(self) -> None:
        if self._state in (_ANSWERING, _REFUSING, _CLOSED):
            return
        if self._has_unread_bytes():
            self._arm(delay=IDLE_RECHECK_S)  # this process is late, not the client
        elif self._out:
            self._arm(delay=self._limits.idle_s)  # a client that takes nothing any more ends by TCP_USER_TIMEOUT
        elif self._state in _READING:
            self._refuse(ClientRequestError(status=408))
        else:
            self.close(may_reset=True)

    def _has_unread_bytes(self) -> bool:
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    # Reading.

    def _ready(self, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and self._state is not _CLOSED:
            self._receive()

    def _receive(self) -> None:
        try:
            data = self.sock.recv(IO_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._handle_disconnect()
            return
        if not data:
            self._handle_disconnect()
            return
        if self._state in _ENDING:
            return
        if self._state is _ANSWERING and self._is_too_far_ahead(len(data)):
            self._handle_disconnect()
            return
        self._feed(data)

    def _is_too_far_ahead(self, size: int) -> bool:
        self._ahead_bytes += size
        return self._ahead_bytes > self._limits.head_bytes + self._limits.body_bytes

    def _feed(self, data: bytes) -> None:
        if self._state is _IDLE:
            self._state = _READING_HEAD
            self._head_begun = self.loop.now()
            self._arm(delay=self._limits.head_s)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse(ClientRequestError(status=error.error_status_hint or 400))
            return
        self._read_events()

    def _read_events(self) -> None:
        """Reads what h11 has made of the bytes, up to the end of one request."""
        try:
            is_complete = self._read_request()
        except h11.RemoteProtocolError as error:
            self._refuse(ClientRequestError(status=error.error_status_hint or 400))
        except RefusedRequestError as error:
            self._refuse(error)
        else:
            if is_complete:
                self._hand_over()

    def _read_request(self) -> bool:
        """Returns whether the request is complete.

        Raises:
            h11.RemoteProtocolError: The bytes are no request.
            RefusedRequestError: The request is refused.
        """
        while self._state in _READING:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._allow_body()
                return False
            if isinstance(event, h11.EndOfMessage):
                return True
            if isinstance(event, h11.Request):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                self._handle_data(event.data)
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
        return False

    def _allow_body(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            self._write(self._h11.send(h11.InformationalResponse(status_code=100, headers=[])))

    def _handle_head(self, head: h11.Request) -> None:
        check_head(head=head, limits=self._limits)
        self._request = Request(
            http_connection=self,
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            begun_at=self._head_begun,
        )
        self._state = _READING_BODY
        self._chunks = []
        self._body_bytes = 0
        self._arm(delay=self._limits.idle_s)

    def _handle_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if not self.server.body_budget.reserve(owner=self, size=self._body_bytes):
            raise ServerOverloadedError(status=503)
        if self._body_bytes > self._limits.body_bytes:
            raise ClientRequestError(status=413)
        self._chunks.append(bytes(data))

    def _hand_over(self) -> None:
        request = self._request
        assert request is not None
        request.body = b"".join(self._chunks)
        request.at = self.loop.now()
        self._chunks = []
        self._state = _ANSWERING
        self.loop.cancel(timer=self._timer)
        self.server.handle(request)

    # Sending.

    def _write(self, data: bytes) -> None:
        was_empty = not self._out
        self._out += data
        if was_empty:
            self._flush()

    def _flush(self) -> None:
        if self._state is _CLOSED:
            return
        try:
            while self._out:
                count = self.sock.send(memoryview(self._out)[:IO_BYTES])
                del self._out[:count]
        except BlockingIOError:
            pass
        except OSError:
            self._handle_disconnect()
            return
        if not self._out:
            self._on_all_sent()
        mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if self._out else 0)
        if mask != self._mask and self._state is not _CLOSED:
            self._mask = mask
            self.loop.rewatch(sock=self.sock, mask=mask, callback=self._ready)

    def _on_all_sent(self) -> None:
        if self._state in _ENDING:
            self.close()
        elif self._request is not None and self._request.on_drain is not None:
            self._request.on_drain()
