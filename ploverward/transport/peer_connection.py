"""Held connections between our own processes (design 4): beats, TCP_USER_TIMEOUT, bounded buffers, backoff with jitter."""

import errno
import logging
import random
import selectors
import socket

from ploverward.common import errors
from ploverward.transport import frames
from ploverward.transport import legacy_messages

_log = logging.getLogger(__name__)

MAX_SEND_BUFFER_BYTES = 32 * 1024 * 1024


def configure_socket(*, sock, peer_timeout_s: float) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(peer_timeout_s * 1000))
    except OSError as fault:
        _log.debug("user_timeout_unsupported", extra={"fault": str(fault)})


def listen(*, address: tuple, backlog: int = 512):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


def accept_all(*, sock, callback) -> None:
    """Takes all connections that wait; `act(sock, address)`."""
    while True:
        try:
            taken, address = sock.accept()
        except (BlockingIOError, ConnectionError):
            return
        except OSError as fault:
            _log.debug("accept_failed", extra={"fault": str(fault)})
            return
        taken.setblocking(False)
        callback(taken, address)


class PeerConnection:
    """One connection. `on_message(link, message)` and `on_end(link, reason)` are called on the loop."""

    def __init__(self, *, loop, sock, on_message, on_end, peer_timeout_s, is_connecting=False, peer=""):
        self.loop = loop
        self.sock = sock
        self.peer = peer
        self.hello = None
        self.is_open = True
        self.is_up = not is_connecting
        self.heard_at = loop.now()
        self.has_heard = False  # whether anything came: a frozen machine takes connections and says nothing
        self.opened_at = loop.now()
        self.peer_timeout_s = peer_timeout_s
        self._on_message = on_message
        self._on_end = on_end
        self._in = bytearray()
        self._out = bytearray()
        self.frame = b""  # the bytes of the message that is being handed over
        configure_socket(sock=sock, peer_timeout_s=peer_timeout_s)
        self._mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if is_connecting else 0)
        loop.watch(sock=sock, mask=self._mask, callback=self._ready)
        self._check = loop.after(delay=peer_timeout_s / 2, callback=self._check_peer_timeout)

    def _check_peer_timeout(self) -> None:
        if not self.is_open:
            return
        if self.loop.now() - self.heard_at > self.peer_timeout_s:
            self.close(reason="silent")
            return
        self._check = self.loop.after(delay=self.peer_timeout_s / 4, callback=self._check_peer_timeout)

    def queued(self) -> int:
        return len(self._out)

    def send(self, message: tuple) -> None:
        self.send_bytes(frames.pack(message))

    def send_bytes(self, data: bytes) -> None:
        if not self.is_open:
            return
        if len(self._out) + len(data) > MAX_SEND_BUFFER_BYTES:
            self.close(reason="peer does not read")
            return
        was_empty = not self._out
        self._out += data
        if was_empty and self.is_up:
            self._flush()

    def _flush(self) -> None:
        try:
            while self._out:
                count = self.sock.send(memoryview(self._out)[:262144])
                del self._out[:count]
        except BlockingIOError:
            pass
        except OSError as fault:
            self.close(reason=str(fault))
            return
        self._set_mask()

    def _set_mask(self) -> None:
        mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if self._out or not self.is_up else 0)
        if mask != self._mask and self.is_open:
            self._mask = mask
            self.loop.rewatch(sock=self.sock, mask=mask, callback=self._ready)

    def _ready(self, mask) -> None:
        if not self.is_open:
            return  # closed by an earlier event of the same step
        if mask & selectors.EVENT_WRITE:
            if not self.is_up:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    self.close(reason=errno.errorcode.get(code, str(code)))
                    return
                self.is_up = True
                self.heard_at = self.loop.now()
            self._flush()
        if mask & selectors.EVENT_READ and self.is_open:
            try:
                data = self.sock.recv(262144)
            except BlockingIOError:
                return
            except OSError as fault:
                self.close(reason=str(fault))
                return
            if not data:
                self.close(reason="closed")
                return
            self.heard_at = self.loop.now()
            self.has_heard = True
            self._in += data
            try:
                for frame in frames.split(self._in):
                    message = legacy_messages.unpack(frame)
                    if message[0] == "beat":
                        continue
                    self.frame = frame
                    self._on_message(self, message)
                    if not self.is_open:
                        return
            except errors.FrameError as fault:
                self.close(reason=str(fault))

    def close(self, *, reason: str = "") -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.loop.cancel(timer=self._check)
        self.loop.unwatch(sock=self.sock)
        self.sock.close()
        self._on_end(self, reason)


class Connector:
    """Keeps one link to an address, with growing pauses."""

    def __init__(self, *, loop, address, on_up, on_message, on_end, peer_timeout_s, source_ip=""):
        self.loop = loop
        self.address = address
        self.link = None
        self._on_up = on_up
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        self._source_ip = source_ip
        self._pause_s = peer_timeout_s / 40
        self._is_stopped = False
        self._is_notified = False
        self._connect()

    def _connect(self) -> None:
        if self._is_stopped:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self._schedule_reconnect()
            return
        self.link = PeerConnection(
            loop=self.loop,
            sock=sock,
            on_message=self._handle_incoming,
            on_end=self._handle_end,
            peer_timeout_s=self._peer_timeout_s,
            is_connecting=True,
            peer="%s:%d" % self.address,
        )
        self._on_up(self.link)

    def _handle_incoming(self, link, message) -> None:
        self._pause_s = self._peer_timeout_s / 40
        self._on_message(link, message)

    def _handle_end(self, link, reason) -> None:
        if self.link is link:
            self.link = None
        self._on_end(link, reason)
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self._is_stopped:
            return
        self._pause_s = min(self._pause_s * 1.6, self._peer_timeout_s / 4)
        self.loop.after(delay=self._pause_s * random.uniform(0.5, 1.0), callback=self._connect)

    def stop(self) -> None:
        self._is_stopped = True
        if self.link is not None:
            self.link.close(reason="stopped")


class PeerListener:
    """Takes links from others."""

    def __init__(self, *, loop, address, on_link, on_message, on_end, peer_timeout_s):
        self.loop = loop
        self._sock = listen(address=address)
        self._on_link = on_link
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        loop.watch(sock=self._sock, mask=selectors.EVENT_READ, callback=self._ready)

    def _ready(self, _mask) -> None:
        accept_all(sock=self._sock, callback=self._handle_incoming)

    def _handle_incoming(self, sock, address) -> None:
        self._on_link(
            PeerConnection(
                loop=self.loop,
                sock=sock,
                on_message=self._on_message,
                on_end=self._on_end,
                peer_timeout_s=self._peer_timeout_s,
                peer="%s:%d" % address[:2],
            )
        )
