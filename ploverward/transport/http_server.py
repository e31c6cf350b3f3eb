"""The server side of HTTP/1.1, by h11 (design 3). Strictly one request at a time on a connection."""

import collections
import selectors
import socket
import struct

import h11

from ploverward.transport import peer_connection

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
SEND_HIGH_WATERMARK_BYTES = 256 * 1024
IDLE_RECHECK_S = 0.05  # until a connection whose time is over is looked at again, where bytes wait on it
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER
Limits = collections.namedtuple("Limits", "head_bytes body_bytes head_s idle_s")


class Request:
    """One request of a user agent, whole, and the way to answer it."""

    __slots__ = (
        "http_connection",
        "method",
        "target",
        "headers",
        "body",
        "at",
        "begun_at",
        "on_gone",
        "on_drain",
        "is_answered",
        "is_started",
        "record",
    )

    def __init__(self, *, http_connection, method, target, headers, begun_at):
        self.http_connection = http_connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.begun_at = begun_at
        self.at = begun_at
        self.on_gone = None
        self.on_drain = None
        self.is_answered = False
        self.is_started = False
        self.record = None

    def header(self, name: bytes, default: bytes = b"") -> bytes:
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def text(self, name: bytes, default: str = "") -> str:
        return self.header(name, default.encode()).decode("latin-1")

    def reply(self, *, status: int, headers=(), body: bytes = b"", is_last=False) -> None:
        if self.is_answered or self.is_started:
            return
        self.start(status=status, headers=[*headers, (b"Content-Length", b"%d" % len(body))], is_last=is_last)
        self.data(body)
        self.end()

    def start(self, *, status: int, headers, is_last=False) -> None:
        self.is_started = True
        if self.http_connection.is_answering(self):
            self.http_connection.start(status=status, headers=headers, is_last=is_last)

    def data(self, data: bytes) -> None:
        if data and self.http_connection.is_answering(self):
            self.http_connection.send(h11.Data(data=data))

    def end(self) -> None:
        self.is_answered = True
        if self.http_connection.is_answering(self):
            self.http_connection.finish()

    def abort(self) -> None:
        """Ends the connection so that the answer can't look complete."""
        self.is_answered = True
        if self.http_connection.is_answering(self):
            self.http_connection.abort_response()


class HttpConnection:
    """One accepted connection."""

    def __init__(self, *, server, sock):
        self.server = server
        self.loop = server.loop
        self.sock = sock
        self.is_open = True
        self.is_ending = False
        self._out = bytearray()
        self._request = None
        self._chunks = []
        self._size = 0
        self._has_head = False
        self._is_broken = False
        self._mask = selectors.EVENT_READ
        self._is_paused = False
        self._served = 0
        self._limits = server.limits()
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)
        self._head_begun = None
        self._ahead = 0  # bytes read behind the request that is being answered
        peer_connection.configure_socket(sock=sock, peer_timeout_s=server.peer_timeout_s)
        self.loop.watch(sock=sock, mask=self._mask, callback=self._ready)
        self._timer = self.loop.after(delay=self._limits.idle_s, callback=self._idle)

    def _idle(self) -> None:
        if not self.is_open:
            return
        if self._request is not None and self._has_head is False:
            return
        if self._has_waiting():
            self._arm(delay=IDLE_RECHECK_S)  # this process is late, not the client: what waits is read first
            return
        if self._head_begun is not None or self._has_head:
            self._refuse(status=408)
            return
        self.close(is_hard=True)

    def _has_waiting(self) -> bool:
        """Whether bytes wait to be read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close_if_idle(self) -> None:
        """Ends a rested connection, but for one with a request that was not read yet: that one is answered first."""
        if self.is_idle() and not self._has_waiting():
            self.close(is_hard=True)

    def abort_response(self) -> None:
        """Ends an answer so that it can't look complete. To a client that knows no chunks the end is the end of the
        body, so it gets a reset."""
        if self._h11.their_http_version is not None and self._h11.their_http_version < b"1.1":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.close(is_hard=True)

    def _arm(self, *, delay: float) -> None:
        self.loop.cancel(timer=self._timer)
        self._timer = self.loop.after(delay=delay, callback=self._idle)

    def _refuse(self, *, status: int) -> None:
        """An answer to what never became a whole request; the connection ends after it."""
        self._has_head = False
        self._is_broken = True
        text = b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % (
            status,
            REASONS.get(status, b"Error"),
        )
        self.is_ending = True
        self._write(text)

    def _ready(self, mask) -> None:
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and self.is_open:
            try:
                data = self.sock.recv(131072)
            except BlockingIOError:
                return
            except OSError:
                self._gone()
                return
            if not data:
                self._gone()
                return
            if self._is_broken or self.is_ending:
                return
            if self._request is not None and not self._has_head and self._is_too_far_ahead(len(data)):
                self._gone()
                return
            self._feed(data)

    def _is_too_far_ahead(self, size: int) -> bool:
        """What a client sends before its answer waits here, up to one request of the largest size."""
        self._ahead += size
        return self._ahead > self._limits.head_bytes + self._limits.body_bytes

    def _feed(self, data: bytes) -> None:
        if self._request is None and not self._has_head and self._head_begun is None:
            self._head_begun = self.loop.now()
            self._arm(delay=self._limits.head_s)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as fault:
            self._refuse(status=fault.error_status_hint or 400)
            return
        self._pump()

    def _pump(self) -> None:
        while self.is_open and not self._is_broken:
            if self._request is not None and not self._has_head:
                return  # a request is being answered; what follows waits
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as fault:
                self._refuse(status=fault.error_status_hint or 400)
                return
            kind = type(event)
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._h11.they_are_waiting_for_100_continue:
                    self._write(self._h11.send(h11.InformationalResponse(status_code=100, headers=[])))
                return
            if kind is h11.Request:
                headers = list(event.headers)
                lengths = {value for name, value in headers if name == b"content-length"}
                has_chunks = any(name == b"transfer-encoding" for name, _value in headers)
                if (lengths and has_chunks) or len(lengths) > 1:
                    self._refuse(status=400)
                    return
                if (
                    sum(len(name) + len(value) + 4 for name, value in headers) + len(event.target)
                    > self._limits.head_bytes
                ):
                    self._refuse(status=431)
                    return
                if lengths and int(next(iter(lengths))) > self._limits.body_bytes:
                    self._refuse(status=413)
                    return
                self._request = Request(
                    http_connection=self,
                    method=event.method,
                    target=event.target,
                    headers=headers,
                    begun_at=self._head_begun or self.loop.now(),
                )
                self._has_head = True
                self._chunks = []
                self._size = 0
                self._arm(delay=self._limits.idle_s)
            elif kind is h11.Data:
                self._size += len(event.data)
                if not self.server.reserve_body_bytes(http_connection=self, size=self._size):
                    self._refuse(status=503)
                    return
                if self._size > self._limits.body_bytes:
                    self._refuse(status=413)
                    return
                self._chunks.append(bytes(event.data))
            elif kind is h11.EndOfMessage:
                request = self._request
                request.body = b"".join(self._chunks)
                request.at = self.loop.now()
                self._chunks = []
                self._has_head = False
                self._head_begun = None
                self.loop.cancel(timer=self._timer)
                self._served += 1
                self.server.handle(request)
                return
            elif kind is h11.ConnectionClosed:
                self.close()
                return

    def is_answering(self, request) -> bool:
        """Whether what is written now belongs to this request: not once it is answered, or its client has left."""
        return self.is_open and self._request is request

    def start(self, *, status: int, headers, is_last: bool) -> None:
        headers = [*headers]
        if is_last or self.server.is_draining or self.is_ending:
            headers.append((b"Connection", b"close"))
        elif self._limits.idle_s > 2:
            headers.append((b"Keep-Alive", b"timeout=%d" % int(self._limits.idle_s * 0.7)))
        self.send(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))

    def send(self, event) -> None:
        if not self.is_open:
            return
        data = self._h11.send(event)
        if data:
            self._write(data)

    def finish(self) -> None:
        self.send(h11.EndOfMessage())
        if not self.is_open:
            return  # the client left at this very write
        self.server.release_body_bytes(http_connection=self)
        self._request = None
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._limits = self.server.limits()
            self._h11.start_next_cycle()
            self._arm(delay=self._limits.idle_s)
            self._ahead = len(self._h11.trailing_data[0])
            if self._ahead:
                self._head_begun = self.loop.now()
                self.loop.command(callback=self._pump)
        else:
            self.is_ending = True
            if not self._out:
                self.close()

    def queued(self) -> int:
        return len(self._out)

    def _write(self, data: bytes) -> None:
        was_empty = not self._out
        self._out += data
        if was_empty:
            self._flush()

    def _flush(self) -> None:
        if not self.is_open:
            return
        try:
            while self._out:
                count = self.sock.send(memoryview(self._out)[:131072])
                del self._out[:count]
        except BlockingIOError:
            pass
        except OSError:
            self._gone()
            return
        if not self._out and self.is_ending and (self._request is None or self._is_broken):
            self.close()
            return
        if not self._out and self._request is not None and self._request.on_drain is not None:
            self._request.on_drain()
        mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if self._out else 0)
        if self.is_open and mask != self._mask:
            self._mask = mask
            self.loop.rewatch(sock=self.sock, mask=mask, callback=self._ready)

    def drop(self) -> None:
        """Ends the connection as if its client had left."""
        self._gone()

    def _gone(self) -> None:
        request = self._request
        self.close()
        if request is not None and request.on_gone is not None and not request.is_answered:
            request.on_gone()

    def is_idle(self) -> bool:
        return self._request is None and self._head_begun is None

    def close(self, *, is_hard=False) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.loop.cancel(timer=self._timer)
        self.loop.unwatch(sock=self.sock)
        self.server.connections.discard(self)
        self.server.release_body_bytes(http_connection=self)
        if not is_hard:
            # Unread bytes would turn the close into a reset that can eat the answer.
            try:
                while self.sock.recv(65536):
                    pass
            except OSError:
                pass
        self.sock.close()


class HttpServer:
    """A listener and its connections. `on_request(request)` takes each whole request."""

    def __init__(
        self,
        *,
        loop,
        address,
        limits,
        peer_timeout_s,
        on_request,
        max_connections=3000,
        max_bytes=64 * 1024 * 1024,
    ):
        self.loop = loop
        self.limits = limits
        self.peer_timeout_s = peer_timeout_s
        self.is_draining = False
        self.connections = set()
        self._max_connections = max_connections
        self._most_bytes = max_bytes
        self._buffered = {}
        self._buffered_bytes = 0
        self._on_request = on_request
        self._sock = peer_connection.listen(address=address)
        self._is_listening = True
        loop.watch(sock=self._sock, mask=selectors.EVENT_READ, callback=self._ready)

    def _ready(self, _mask) -> None:
        peer_connection.accept_all(sock=self._sock, callback=self._on_accept)

    def _on_accept(self, sock, _address) -> None:
        if len(self.connections) >= self._max_connections:
            sock.close()
            return
        self.connections.add(HttpConnection(server=self, sock=sock))

    def handle(self, request) -> None:
        try:
            self._on_request(request)
        except Exception:
            request.http_connection.drop()  # nobody would answer it; a closed connection promises nothing
            raise

    def reserve_body_bytes(self, *, http_connection, size: int) -> bool:
        """Whether the bodies held of all connections stay inside the bound."""
        self._buffered_bytes += size - self._buffered.get(http_connection, 0)
        self._buffered[http_connection] = size
        return self._buffered_bytes <= self._most_bytes

    def release_body_bytes(self, *, http_connection) -> None:
        self._buffered_bytes -= self._buffered.pop(http_connection, 0)

    def leave(self) -> None:
        """Answers end their connections from now on; idle ones are closed after their lookups are old."""
        self.is_draining = True

    def close_idle(self) -> None:
        for http_connection in list(self.connections):
            http_connection.close_if_idle()

    def stop_listening(self) -> None:
        if self._is_listening:
            self._is_listening = False
            self.loop.unwatch(sock=self._sock)
            self._sock.close()
