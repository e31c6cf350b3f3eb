"""Connection of a client to the HTTP server: HTTP/1.1 with h11, one request at a time (docs/design.md 3).

The states (`State`):

    IDLE --first byte--> READING_HEAD --head--> READING_BODY --complete--> ANSWERING --answered--> IDLE
    READING_HEAD, READING_BODY --refused--> REFUSING --sent--> CLOSED
    ANSWERING --answered, and the connection can't be reused--> CLOSING --sent--> CLOSED
    any --the client disconnected, or the server closes it--> CLOSED

A request is passed to the handler once it is complete. Pipelined bytes that the client sends after it are buffered in
h11 (up to the size of one request of maximum size, beyond that the connection is closed) and are parsed when the
response has ended.

What a client sent is processed within its share of each turn of the loop (`read_share`). Beyond that the connection is
paused: it does not read from its socket, and goes on with what is in the parser, or on the socket, when its turn comes.

Both the client and this process may be slow, and a timeout has to tell which one is: if it fires while there are unread
bytes on the socket or in the parser, this process is late, so they are read first. This way neither a request that
arrived in time nor one that crosses with the close of an idle connection is lost.
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
from ploverward.transport import read_share
from ploverward.transport import socket_watch
from ploverward.transport.http_request import REASONS
from ploverward.transport.http_request import ClientRequestError
from ploverward.transport.http_request import RefusedRequestError
from ploverward.transport.http_request import Request
from ploverward.transport.http_request import ServerOverloadedError
from ploverward.transport.http_request import check_head

if TYPE_CHECKING:
    from ploverward.transport.http_server import HttpServer

SEND_HIGH_WATERMARK_BYTES = 256 * 1024  # queued for a client; the source of a streamed response pauses above this
IO_BYTES = 128 * 1024  # read or written at a time
DISCARD_BYTES = 64 * 1024  # read and discarded at a time from a connection that is closed
MAX_DISCARDS = 16  # a client that goes on sending gets a reset
IDLE_RECHECK_S = 0.05  # until a timed-out connection with unread bytes is checked again
MIN_ANNOUNCED_IDLE_S = 2  # shorter times are not worth a Keep-Alive header
# Share of the idle timeout: clients that reuse a connection until then must not find it closed.
ANNOUNCED_IDLE_SHARE = 0.7
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER that makes close() send a reset


class State(enum.Enum):
    """The states of an `HttpConnection`."""

    IDLE = "idle"
    READING_HEAD = "reading head"
    READING_BODY = "reading body"
    ANSWERING = "answering"
    REFUSING = "refusing"
    CLOSING = "closing"
    CLOSED = "closed"


# Module-level names avoid an attribute lookup on the enum at each use; these are on the path of every request.
_IDLE, _READING_HEAD, _READING_BODY, _ANSWERING, _REFUSING, _CLOSING, _CLOSED = State
_READING = (_READING_HEAD, _READING_BODY)
_ENDING = (_REFUSING, _CLOSING)


class HttpConnection:
    """A connection that the HTTP server accepted.

    Args:
        server: Provides limits, handles complete requests and bounds the memory used by bodies.
        sock: Connected non-blocking socket.
    """

    def __init__(self, *, server: "HttpServer", sock: socket.socket) -> None:
        self.server = server
        self.loop = server.loop
        self.sock = sock
        self._state = _IDLE
        self._out = bytearray()
        self._request: Request | None = None  # being read or answered
        self._body = bytearray()  # of the request being read
        self._head_started_at = 0.0  # when the first byte of the current request arrived
        self._pipelined_bytes = 0  # received after the request being answered
        self._share = read_share.ReadShare(now=self.loop.now)
        self._has_chunks = False  # whether the body of the request being read comes in chunks
        self._is_continuation = False  # whether it is this connection's turn among the continuations of the loop
        self._is_paused = False  # until `_continue_reading`
        self._has_unparsed_bytes = False  # whether the parser may have further events
        self._limits = server.limits()
        self._close_at = server.choose_close_time()
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)
        peer_connection.configure_socket(sock=sock, peer_timeout_s=server.peer_timeout_s)
        self._watch = socket_watch.SocketWatch(loop=self.loop, sock=sock, callback=self._ready)
        self._watch.update(selectors.EVENT_READ)
        self._timer = self.loop.after(delay=self._limits.idle_s, callback=self._on_timeout)

    @property
    def state(self) -> State:
        """The current state."""
        return self._state

    @property
    def is_open(self) -> bool:
        """True unless the connection is closed."""
        return self._state is not _CLOSED

    def is_idle(self) -> bool:
        """Returns whether no request is being read or answered and the last response was sent completely."""
        return self._state is _IDLE and not self._out

    def queued(self) -> int:
        """Returns the number of response bytes that wait to be sent."""
        return len(self._out)

    # Writing a response; called by `Request`.

    def is_answering(self, request: Request) -> bool:
        """Returns whether `request` may still write: not after its response ended or the client disconnected."""
        return self._state is not _CLOSED and self._request is request

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool) -> None:
        """Writes the head of the response."""
        headers = [*headers]
        if is_last or self.server.is_draining or self.loop.now() >= self._close_at:
            headers.append((b"Connection", b"close"))
        elif self._limits.idle_s > MIN_ANNOUNCED_IDLE_S:
            headers.append((b"Keep-Alive", b"timeout=%d" % int(self._limits.idle_s * ANNOUNCED_IDLE_SHARE)))
        self.send(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))

    def send(self, event: Any) -> None:  # noqa: ANN401  # any event of h11
        """Writes a part of the response."""
        if self._state is _CLOSED:
            return
        data = self._h11.send(event)
        if data:
            self._write(data)

    def finish(self) -> None:
        """Ends the response, then reads the next request or closes the connection if it can't be reused."""
        self.send(h11.EndOfMessage())
        if self._state is _CLOSED:
            return  # the write found that the client had disconnected
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
        self._set_timeout(delay=self._limits.idle_s)
        pipelined = self._h11.trailing_data[0]
        self._pipelined_bytes = len(pipelined)
        if pipelined:
            self._begin_head()
            self._parse_later()  # not at once: the handler that ended this response is still running

    def abort_response(self) -> None:
        """Closes the connection so that the client can't take the response for complete.

        An HTTP/1.0 client knows no chunked encoding and takes the end of the connection for the end of the body, so its
        connection is reset.
        """
        if self._h11.their_http_version is not None and self._h11.their_http_version < b"1.1":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.close(may_reset=True)

    # Closing.

    def close(self, *, may_reset: bool = False) -> None:
        """Closes the connection.

        Args:
            may_reset: Whether to close without reading the bytes that the client sent. Otherwise they are read and
                discarded first: unread bytes would turn the close into a reset, which can destroy a response in flight.
        """
        if self._state is _CLOSED:
            return
        self._state = _CLOSED
        self.loop.cancel(timer=self._timer)
        self._watch.close()
        self._request = None
        self.server.remove_connection(self)
        if not may_reset:
            self._discard_unread()
        self.sock.close()

    def close_if_idle(self) -> None:
        """Closes an idle connection; one with an unread request is kept, so that the request is answered first."""
        if self.is_idle() and not self._has_unread_bytes():
            self.close(may_reset=True)

    def drop(self) -> None:
        """Closes the connection as if the client had disconnected."""
        self._handle_disconnect()

    def _handle_disconnect(self) -> None:
        request = self._request
        self.close()
        if request is not None and request.on_disconnect is not None and not request.is_answered:
            request.on_disconnect()

    def _refuse(self, error: RefusedRequestError) -> None:
        """Sends an error response to an incomplete request; the connection is closed after it."""
        self._state = _REFUSING
        reason = REASONS.get(error.status, b"Error")
        self._write(b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % (error.status, reason))

    def _discard_unread(self) -> None:
        try:
            for _read in range(MAX_DISCARDS):
                if not self.sock.recv(DISCARD_BYTES):
                    return
        except OSError:
            pass

    # Timeouts.

    def _set_timeout(self, *, delay: float) -> None:
        self.loop.cancel(timer=self._timer)
        self._timer = self.loop.after(delay=delay, callback=self._on_timeout)

    def _on_timeout(self) -> None:
        if self._state in (_ANSWERING, _REFUSING, _CLOSED):
            return
        if self._is_paused or self._has_unread_bytes():
            self._set_timeout(delay=IDLE_RECHECK_S)  # this process is late, not the client
        elif self._out:
            # If the client has stopped reading, TCP_USER_TIMEOUT ends the connection.
            self._set_timeout(delay=self._limits.idle_s)
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
        if not mask & selectors.EVENT_READ or self._state is _CLOSED:
            return
        if self._is_paused:
            self._update_mask()  # not before: mostly the turn comes in the same step, without a system call
        elif self._share.is_used_up:
            self._pause_reading()
        else:
            self._is_continuation = False
            self._receive()

    def _pause_reading(self) -> None:
        """Stops reading from the socket until the turn of this connection among the continuations."""
        if not self._is_paused:
            self._is_paused = True
            self.loop.continue_later(callback=self._continue_reading)

    def _continue_reading(self) -> None:
        self._is_paused = False
        if self._state is _CLOSED:
            return
        self._is_continuation = True
        if self._has_unparsed_bytes:
            self._read_events()
        else:
            self._receive()
        self._update_mask()

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
        if self._state is _ANSWERING and self._exceeds_pipeline_limit(len(data)):
            self._handle_disconnect()
            return
        self._feed_parser(data)

    def _exceeds_pipeline_limit(self, size: int) -> bool:
        self._pipelined_bytes += size
        return self._pipelined_bytes > self._limits.head_bytes + self._limits.body_bytes

    def _feed_parser(self, data: bytes) -> None:
        if self._state is _IDLE:
            self._begin_head()
            self._set_timeout(delay=self._limits.head_s)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse(ClientRequestError(status=error.error_status_hint or 400))
            return
        self._read_events()

    def _begin_head(self) -> None:
        self._state = _READING_HEAD
        self._head_started_at = self.loop.now()

    def _parse_later(self) -> None:
        """Leaves received bytes in the parser until the turn of this connection among the continuations."""
        self._has_unparsed_bytes = True
        self._pause_reading()

    def _read_events(self) -> None:
        """Processes events that h11 parsed, within this connection's share and up to the end of one request."""
        self._has_unparsed_bytes = False
        try:
            is_complete = self._read_request()
        except h11.RemoteProtocolError as error:
            self._refuse(ClientRequestError(status=error.error_status_hint or 400))
        except RefusedRequestError as error:
            self._refuse(error)
        else:
            if is_complete:
                self._dispatch_request()

    def _read_request(self) -> bool:
        """Processes events of h11 and returns whether the request is complete.

        Pauses if further events may follow, and ahead of many header lines until the turn of this connection.

        Raises:
            h11.RemoteProtocolError: The bytes are not a valid request.
            RefusedRequestError: The request is rejected.
        """
        events = 0
        try:
            while events < read_share.MAX_EVENTS_PER_TURN and self._state in _READING:
                if not self._is_continuation and self._may_parse_long_lines():
                    break
                event = self._h11.next_event()
                events += self._handle_event(event)
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._send_continue()
                    return False
                if isinstance(event, h11.EndOfMessage):
                    return True
        finally:
            self._share.note(events)
        if self._state in _READING:
            self._parse_later()
        return False

    def _may_parse_long_lines(self) -> bool:
        """Returns whether the next event may be a large head, or a body's end with large trailers."""
        if self._state is _READING_HEAD:
            return read_share.may_be_long_head(self._h11.trailing_data[0])
        return self._has_chunks and read_share.may_be_long_trailers(self._h11.trailing_data[0])

    def _handle_event(self, event: Any) -> int:  # noqa: ANN401  # any event of h11
        """Processes an event of a request; returns the number of events that it counts as."""
        if isinstance(event, h11.Request):
            return 1 + read_share.count_head_events(self._handle_head(event))
        if isinstance(event, h11.EndOfMessage):
            return 1 + read_share.count_line_events(len(event.headers))
        if isinstance(event, h11.Data):
            self._handle_data(event.data)
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        return 1

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            self._write(self._h11.send(h11.InformationalResponse(status_code=100, headers=[])))

    def _handle_head(self, head: h11.Request) -> int:
        """Begins to read the body; returns the size of the head in bytes."""
        size = check_head(head=head, limits=self._limits)
        self._request = Request(
            http_connection=self,
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            begun_at=self._head_started_at,
        )
        self._state = _READING_BODY
        self._has_chunks = any(name == b"transfer-encoding" for name, _value in head.headers)
        self._body = bytearray()
        self._set_timeout(delay=self._limits.idle_s)
        return size

    def _handle_data(self, data: bytes) -> None:
        self._body += data
        if not self.server.body_budget.reserve(owner=self, size=len(self._body)):
            raise ServerOverloadedError(status=503)
        if len(self._body) > self._limits.body_bytes:
            raise ClientRequestError(status=413)

    def _dispatch_request(self) -> None:
        request = self._request
        assert request is not None
        request.body = bytes(self._body)
        request.at = self.loop.now()
        self._body = bytearray()
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
        self._update_mask()

    def _update_mask(self) -> None:
        if self._state is not _CLOSED:
            reads = 0 if self._is_paused else selectors.EVENT_READ
            self._watch.update(reads | (selectors.EVENT_WRITE if self._out else 0))

    def _on_all_sent(self) -> None:
        if self._state in _ENDING:
            self.close()
        elif self._request is not None and self._request.on_drain is not None:
            self._request.on_drain()
