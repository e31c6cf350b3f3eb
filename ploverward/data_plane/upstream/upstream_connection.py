"""The way to one replica: connections by h11, strictly one request at a time on each (design 3, 7)."""

import errno
import selectors
import socket

import h11

from ploverward.transport import peer_connection

MAX_SKIPPED_RESPONSES = 2
UNCHECKED_IDLE_S = 0.25  # a connection that was idle for longer is looked at before it is used
KEEP_ALIVE_SHARE = 0.85  # of the idle time that a replica states; the rest is for the way
DEFAULT_KEEP_ALIVE_S = 4.0  # where it states none
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)


class UpstreamConnection:
    """One connection. The attempt that uses it is told: on_head, on_data, on_end, on_fail(reason, was sent)."""

    def __init__(self, *, loop, replica, connect_s: float, peer_timeout_s: float, on_free, on_connected):
        self.loop = loop
        self.replica = replica
        self.is_open = True
        self.is_up = False
        self.is_paused = False
        self.attempt = None
        self.served = 0
        self.last_request_id = None
        self.idle_since = loop.now()
        self.idle_until = 0.0
        self._on_free = on_free
        self._on_connected = on_connected
        self._begun_at = loop.now()
        self._out = bytearray()
        self._sent_any = False
        self._skips = 0
        self._is_skipping = False
        self._is_head_seen = False
        self._is_tainted = False
        self._must_close = False
        self._keep_alive_s = None
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        peer_connection.configure_socket(sock=self.sock, peer_timeout_s=peer_timeout_s)
        code = self.sock.connect_ex(replica.endpoint)
        self._mask = selectors.EVENT_READ | selectors.EVENT_WRITE
        self._timer = None
        if code not in (0, errno.EINPROGRESS):
            self._timer = loop.after(delay=0, callback=lambda: self._fail(errno.errorcode.get(code, str(code))))
            self._mask = 0
            return
        loop.watch(sock=self.sock, mask=self._mask, callback=self._ready)
        self._timer = loop.after(
            delay=connect_s, callback=lambda: self._fail("connect timeout") if not self.is_up else None
        )

    def take(self, attempt, *, head: h11.Request, body: bytes) -> None:
        self.attempt = attempt
        self.last_request_id = attempt.request_id
        self._request = head
        self._skips = 0
        self._is_skipping = False
        self._is_head_seen = False
        self._sent_any = False
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        self._out += data
        if self.is_up:
            self._flush()

    def drop_attempt(self) -> None:
        """The attempt is not wanted any more: the connection ends with it."""
        self.attempt = None
        self.close()

    def is_reusable_for(self, *, request_id: bytes) -> bool:
        """Whether this idle connection may carry the request.

        Not where its former request bore the same id: an answer too many of that one could not be told from ours. And
        not where something waits on it (its end, or bytes of no request) that the loop has not looked at yet; one that
        was in use a moment ago is not looked at, which spares a system call for most requests.
        """
        if self.served and self.last_request_id == request_id:
            return False
        if self.loop.now() - self.idle_since < UNCHECKED_IDLE_S:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def is_unsent(self) -> bool:
        return not self._sent_any

    def pause(self) -> None:
        """The user agent does not read: its replica is not read either."""
        self.is_paused = True
        self._set_mask()

    def resume(self) -> None:
        if self.is_paused:
            self.is_paused = False
            self._set_mask()

    def _set_mask(self) -> None:
        mask = (0 if self.is_paused else selectors.EVENT_READ) | (
            selectors.EVENT_WRITE if self._out or not self.is_up else 0
        )
        if not self.is_open or mask == self._mask:
            return
        if not mask:
            self.loop.unwatch(sock=self.sock)
        elif not self._mask:
            self.loop.watch(sock=self.sock, mask=mask, callback=self._ready)
        else:
            self.loop.rewatch(sock=self.sock, mask=mask, callback=self._ready)
        self._mask = mask

    def _ready(self, mask) -> None:
        if not self.is_open:
            return  # closed by an earlier event of the same step
        if mask & selectors.EVENT_WRITE:
            if not self.is_up:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    self._fail(errno.errorcode.get(code, str(code)))
                    return
                self.is_up = True
                self.loop.cancel(timer=self._timer)
                self.replica.heard_at = self.loop.now()
                self._on_connected(self.replica, self.replica.heard_at - self._begun_at)
                if self.attempt is None:
                    self.idle_since = self.replica.heard_at
                    self.idle_until = self.idle_since + DEFAULT_KEEP_ALIVE_S
                    self._on_free(self)
            self._flush()
        if mask & selectors.EVENT_READ and self.is_open:
            try:
                data = self.sock.recv(131072)
            except BlockingIOError:
                return
            except OSError as fault:
                self._fail(str(fault))
                return
            if self.attempt is None:
                self.close()  # bytes that belong to no request, or the end of an idle connection
                return
            if not data:
                self._feed_end()
                return
            self.replica.heard_at = self.loop.now()
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError as fault:
            self._fail(f"not an answer: {fault}")
        except Exception:
            # What the broken step held is lost: nothing may follow it as if it were there.
            self._fail("a step failed")
            raise

    def _feed_end(self) -> None:
        try:
            self._h11.receive_data(b"")
            self._pump()
        except h11.RemoteProtocolError:
            pass
        if self.is_open and self.attempt is not None:
            self._fail("closed")
        else:
            self.close()

    def _pump(self) -> None:
        while self.is_open and self.attempt is not None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            kind = type(event)
            if kind is h11.InformationalResponse:
                continue
            if kind is h11.Response:
                if not self._sent_any:
                    self._fail("answer before its request")
                    return
                headers = dict(event.headers)
                reported_id = headers.get(b"x-attempt-id")
                if not self._is_ours(status=event.status_code, reported_id=reported_id):
                    # One answer too many at the head of ours: it is read past, and the connection ends after.
                    if self._skips >= MAX_SKIPPED_RESPONSES or reported_id is None:
                        self._fail("answer of another request")
                        return
                    self._skips += 1
                    self._is_skipping = True
                    self._is_tainted = True
                    continue
                connection = headers.get(b"connection", b"").lower()
                self._must_close = b"close" in connection or event.http_version < b"1.1"
                keep = headers.get(b"keep-alive", b"")
                self._keep_alive_s = _keep_alive_timeout_s(keep)
                has_chunks = b"chunked" in headers.get(b"transfer-encoding", b"").lower()
                is_framed = (b"content-length" in headers) != has_chunks  # both: which one holds is open to doubt
                self._is_head_seen = True
                self.attempt.on_head(
                    status=event.status_code, headers=event.headers, table=headers, is_framed=is_framed
                )
            elif kind is h11.Data:
                if not self._is_skipping:
                    self.attempt.on_data(bytes(event.data))
            elif kind is h11.EndOfMessage:
                if self._is_skipping:
                    trailing = self._h11.trailing_data[0]
                    self._is_skipping = False
                    self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
                    self._h11.send(self._request)
                    if self._request_has_body():
                        self._h11.send(h11.Data(data=bytes(self._body_size())))
                    self._h11.send(h11.EndOfMessage())
                    if trailing:
                        self._h11.receive_data(trailing)
                    continue
                self._on_response_end()
                return
            elif kind is h11.ConnectionClosed:
                self._fail("closed")
                return

    def _is_ours(self, *, status: int, reported_id) -> bool:
        """An answer is paired by its id. Without one, only a failure on a connection that carried nothing but this."""
        if reported_id is not None:
            return reported_id == self.attempt.request_id
        return self.served == 0 and self._skips == 0 and status >= 400

    def _body_size(self) -> int:
        for name, value in self._request.headers:
            if name == b"content-length":
                return int(value)
        return 0

    def _request_has_body(self) -> bool:
        return self._body_size() > 0

    def _on_response_end(self) -> None:
        attempt, self.attempt = self.attempt, None
        self.served += 1
        self.is_paused = False
        self._set_mask()
        has_more = bool(self._h11.trailing_data[0])
        is_reusable = (
            not has_more
            and not self._is_tainted
            and not self._must_close
            and not self._out
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )
        if is_reusable:
            self._h11.start_next_cycle()
            self.idle_since = self.loop.now()
            self.idle_until = self.idle_since + (
                self._keep_alive_s * KEEP_ALIVE_SHARE if self._keep_alive_s is not None else DEFAULT_KEEP_ALIVE_S
            )
            self._on_free(self)
        else:
            self.close()
        attempt.on_end()

    def _flush(self) -> None:
        try:
            while self._out:
                count = self.sock.send(memoryview(self._out)[:131072])
                if count:
                    self._sent_any = True
                del self._out[:count]
        except BlockingIOError:
            pass
        except OSError as fault:
            self._fail(str(fault))
            return
        self._set_mask()

    def _fail(self, reason: str) -> None:
        if not self.is_open:
            return
        attempt, self.attempt = self.attempt, None
        was_up = self.is_up
        self.close()
        if attempt is not None:
            attempt.on_fail(reason=reason, was_sent=self._sent_any, was_up=was_up)

    def close(self) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.loop.cancel(timer=self._timer)
        self.loop.unwatch(sock=self.sock)
        self.sock.close()
        self.replica.forget(self)


def _keep_alive_timeout_s(value: bytes):
    for part in value.split(b","):
        name, _equals, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
