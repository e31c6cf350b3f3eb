"""Connections between nodes: framed messages over TCP, with timeouts and reconnection (docs/design.md 4).

A `PeerConnection` is an established or pending connection. Its states (`State`):

    CONNECTING --established--> UP
    CONNECTING, UP --refused, silent, closed or malformed--> CLOSED   (final; `on_end` is called once, with the reason)

A `Connector` maintains one connection to an address: whenever it is closed, the next attempt follows after a growing
pause. A `PeerListener` accepts connections.

An established connection does not mean that the peer is alive. TCP reports no error while nothing is sent: a peer whose
machine lost power, or that is cut off by a partition, leaves a half-open connection that looks established for hours.
Three mechanisms detect this:

* The sender uses `TCP_USER_TIMEOUT`: data that stays unacknowledged for `peer_timeout_s` ends the connection.
* The receiver uses heartbeats: each side sends them three times per `peer_timeout_s`, and a connection on which nothing
  was received for that long is closed. This also detects a stopped process, whose kernel still acknowledges data.
* Code that relies on a peer checks `has_received`: the kernel of a stopped process still accepts connections, so an
  established connection proves nothing until its first byte arrives.

What a peer sent is processed within a bounded part of each turn of the loop (`read_share`): at most a number of frames.
Further ones wait for the turn of this connection among the continuations, and nothing is read from its socket until
then. Such a peer is not silent, however long that takes.

A closed connection does not mean that the peer is dead either: it may have acted on what was sent. Therefore messages
have to be idempotent, or fenced by an epoch.
"""

import enum
import errno
import logging
import random
import selectors
import socket
from collections.abc import Callable

from ploverward.common import errors
from ploverward.common import failure_spell
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import read_share
from ploverward.transport import socket_watch
from ploverward.transport.event_loop import Loop

_log = logging.getLogger(__name__)

MAX_SEND_BUFFER_BYTES = 32 * 1024 * 1024  # above the largest frame; a peer that falls this far behind counts as dead
IO_BYTES = 256 * 1024  # read or written at a time, so that one peer's data does not delay the others
MAX_ACCEPTS_PER_TURN = 64
LISTEN_BACKLOG = 512  # connections waiting for accept; all proxies reconnect at once after a partition
SILENCE_CHECKS = 4  # per peer timeout; silence is detected at most a quarter of the timeout late
FIRST_BACKOFF_SHARE = 1 / 40  # share of the peer timeout
MAX_BACKOFF_SHARE = 1 / 4  # share of the peer timeout; a recovered peer is reconnected well within it
BACKOFF_GROWTH = 1.6
BACKOFF_JITTER = (0.5, 1.0)  # range of the random factor of each pause, so that nodes do not reconnect in waves

SocketAddress = tuple[str, int]


def configure_socket(*, sock: socket.socket, peer_timeout_s: float) -> None:
    """Makes a socket send without delay and fail once sent data stays unacknowledged for `peer_timeout_s`."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(peer_timeout_s * 1000))
    except OSError as error:
        _log.debug("user_timeout_unsupported", extra={"fault": str(error)})


def listen(*, address: SocketAddress, backlog: int = LISTEN_BACKLOG) -> socket.socket:
    """Returns a non-blocking socket that listens on an address.

    Raises:
        OSError: The address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


class ConnectionAcceptor:
    """Accepts connections on a listening socket.

    A process that has run out of file descriptors can't accept, and its socket stays readable, so each step of the loop
    tries again. Only the first failure and the first success after it are logged.

    Args:
        sock: Non-blocking listening socket.
        now: Returns the time of a monotonic clock, in seconds.
        on_accepted: Called with each accepted socket and the address of its other end.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        now: Callable[[], float],
        on_accepted: Callable[[socket.socket, SocketAddress], object],
    ) -> None:
        self._sock = sock
        self._on_accepted = on_accepted
        self._spell = failure_spell.FailureSpell(
            now=now, failed_event="accept_failed", recovered_event="accept_recovered"
        )

    def accept_waiting(self) -> None:
        """Accepts waiting connections, as many as one turn of the loop allows."""
        for _accept in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, address = self._sock.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError as error:
                self._spell.note_failure(error)
                return
            self._spell.note_success()
            accepted.setblocking(False)
            self._on_accepted(accepted, address)


class State(enum.Enum):
    """The states of a `PeerConnection`."""

    CONNECTING = "connecting"
    UP = "up"
    CLOSED = "closed"


class PeerConnection:
    """A connection to another node; `ploverward.transport.interfaces.Connection` documents its interface.

    Args:
        loop: The event loop.
        sock: Non-blocking socket, connected or connecting.
        on_message: Called with the connection and each message except heartbeats.
        on_end: Called once with the connection and the reason when either side closes it.
        peer_timeout_s: A peer that sends nothing for this long counts as dead.
        is_connecting: Whether the socket is still connecting; messages are queued until it is connected.
        peer: ADDRESS:PORT of the other end.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        sock: socket.socket,
        on_message: Callable[["PeerConnection", tuple], object],
        on_end: Callable[["PeerConnection", str], object],
        peer_timeout_s: float,
        is_connecting: bool = False,
        peer: str = "",
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.peer = peer
        self.hello: tuple | None = None
        self.state = State.CONNECTING if is_connecting else State.UP
        self.last_received_at = loop.now()
        self.has_received = False
        self.opened_at = loop.now()
        self.peer_timeout_s = peer_timeout_s
        self._on_message = on_message
        self._on_end = on_end
        self._in = bytearray()
        self._out = bytearray()
        self.frame = b""
        configure_socket(sock=sock, peer_timeout_s=peer_timeout_s)
        self._watch = socket_watch.SocketWatch(loop=loop, sock=sock, callback=self._ready)
        self._watch.update(selectors.EVENT_READ | (selectors.EVENT_WRITE if is_connecting else 0))
        self._silence_check = loop.every(interval_s=peer_timeout_s / SILENCE_CHECKS, callback=self._check_peer_timeout)
        self._has_sent = False  # whether anything was sent since the last call of `keep_alive`
        self._is_paused = False  # whether complete frames may wait in `_in` for this connection's turn
        self._is_flush_due = False  # whether `_flush` will be called at the end of this step of the loop

    @property
    def is_open(self) -> bool:
        """True unless the connection is closed."""
        return self.state is not State.CLOSED

    @property
    def is_up(self) -> bool:
        """True if the connection is established, even if it is half-open."""
        return self.state is State.UP

    def queued(self) -> int:
        """Returns the number of bytes that wait to be sent."""
        return len(self._out)

    def send(self, message: tuple) -> None:
        """Sends a message; does nothing on a closed connection."""
        self.send_bytes(frames.pack(message))

    def keep_alive(self) -> None:
        """Sends a heartbeat to the peer, unless something was sent since the last call."""
        if not self._has_sent:
            self.send(messages.KeepAlive(number=0))
        self._has_sent = False

    def send_bytes(self, data: bytes) -> None:
        """Sends complete encoded frames; does nothing on a closed connection.

        They are written at the end of the loop's step, together with everything else sent on this connection in it.
        """
        if self.state is State.CLOSED:
            return
        if len(self._out) + len(data) > MAX_SEND_BUFFER_BYTES:
            self.close(reason="peer does not read")
            return
        if self.loop.work is not None:
            self.loop.work.note_sent(data)
        self._has_sent = True
        was_empty = not self._out
        self._out += data
        if self.state is not State.UP:
            return
        if self._is_flush_due and len(self._out) > IO_BYTES:
            self._flush()
        elif was_empty and not self._is_flush_due:
            self._is_flush_due = True
            self.loop.at_end_of_step(callback=self._flush)

    def close(self, *, reason: str = "") -> None:
        """Closes the connection; `on_end` is called with the reason before this returns."""
        if self.state is State.CLOSED:
            return
        if self._is_flush_due:
            self._write_pending()  # frames sent earlier in this step
        self.state = State.CLOSED
        self._silence_check.is_stopped = True
        self._watch.close()
        self.sock.close()
        self._on_end(self, reason)

    def _check_peer_timeout(self) -> None:
        if self._is_paused:
            return  # this process is late, not the peer
        if self.loop.now() - self.last_received_at > self.peer_timeout_s:
            self.close(reason="silent")

    def _ready(self, mask: int) -> None:
        if self.state is State.CLOSED:
            return  # closed by an earlier event of the same step
        if mask & selectors.EVENT_WRITE:
            if self.state is State.CONNECTING and not self._finish_connecting():
                return
            self._flush()
        if mask & selectors.EVENT_READ and self.state is not State.CLOSED and not self._is_paused:
            self._receive()

    def _finish_connecting(self) -> bool:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(reason=errno.errorcode.get(code, str(code)))
            return False
        self.state = State.UP
        self.last_received_at = self.loop.now()
        return True

    def _receive(self) -> None:
        try:
            data = self.sock.recv(IO_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(reason=str(error))
            return
        if not data:
            self.close(reason="closed")
            return
        self.last_received_at = self.loop.now()
        self.has_received = True
        self._in += data
        self._deliver_received()

    def _deliver_received(self) -> None:
        """Delivers received frames, within this connection's share of the turn."""
        try:
            received = frames.split(self._in, limit=read_share.MAX_EVENTS_PER_TURN)
            self._deliver(received)
        except errors.FrameError as error:
            # Raised by the codec or by the owner; after an invalid frame the stream can't be decoded any further.
            self.close(reason=str(error))
            return
        if self._in and len(received) == read_share.MAX_EVENTS_PER_TURN:
            self._is_paused = True
            self.loop.continue_later(callback=self._continue_delivery)
        self._update_mask()

    def _continue_delivery(self) -> None:
        self._is_paused = False
        if self.state is State.CLOSED:
            return
        self.last_received_at = self.loop.now()
        self._deliver_received()

    def _deliver(self, received: list[bytes]) -> None:
        for frame in received:
            if self.loop.work is not None:
                self.loop.work.note_received(frame)
            message = frames.unpack(frame)
            if type(message) is messages.KeepAlive:
                continue
            self.frame = frame
            self._on_message(self, message)
            if self.state is State.CLOSED:
                return

    def _flush(self) -> None:
        self._is_flush_due = False
        if self.state is State.CLOSED:
            return
        error = self._write_pending()
        if error is not None:
            self.close(reason=str(error))
            return
        self._update_mask()

    def _write_pending(self) -> OSError | None:
        """Writes as much as the socket accepts; returns the error that ends the connection, or None."""
        try:
            while self._out:
                count = self.sock.send(memoryview(self._out)[:IO_BYTES])
                del self._out[:count]
        except BlockingIOError:
            pass
        except OSError as error:
            return error
        return None

    def _update_mask(self) -> None:
        if self.state is State.CLOSED:
            return
        reads = 0 if self._is_paused else selectors.EVENT_READ
        wants_write = self._out or self.state is State.CONNECTING
        self._watch.update(reads | (selectors.EVENT_WRITE if wants_write else 0))


class Connector:
    """Maintains one connection to an address, with growing pauses between attempts.

    Args:
        loop: The event loop.
        address: Address and port to connect to.
        on_up: Called with each new connection while it is still connecting; messages sent by the callback are
            transmitted first.
        on_message: As in `PeerConnection`.
        on_end: As in `PeerConnection`; the next attempt is scheduled automatically.
        peer_timeout_s: As in `PeerConnection`.

    Attributes:
        address: As given.
        link: The current connection; None between attempts.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        address: SocketAddress,
        on_up: Callable[[PeerConnection], object],
        on_message: Callable[[PeerConnection, tuple], object],
        on_end: Callable[[PeerConnection, str], object],
        peer_timeout_s: float,
    ) -> None:
        self.loop = loop
        self.address = address
        self.link: PeerConnection | None = None
        self._on_up = on_up
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        self._backoff_s = peer_timeout_s * FIRST_BACKOFF_SHARE
        self._is_stopped = False
        self._connect()

    def stop(self) -> None:
        """Closes the connection and makes no further attempts."""
        self._is_stopped = True
        if self.link is not None:
            self.link.close(reason="stopped")

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
            on_message=self._handle_message,
            on_end=self._handle_end,
            peer_timeout_s=self._peer_timeout_s,
            is_connecting=True,
            peer="{}:{}".format(*self.address),
        )
        self._on_up(self.link)

    def _handle_message(self, link: PeerConnection, message: tuple) -> None:
        # Only a message resets the backoff: the kernel of a stopped process still accepts connections, and would be
        # connected to without a pause.
        self._backoff_s = self._peer_timeout_s * FIRST_BACKOFF_SHARE
        self._on_message(link, message)

    def _handle_end(self, link: PeerConnection, reason: str) -> None:
        if self.link is link:
            self.link = None
        self._on_end(link, reason)
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self._is_stopped:
            return
        self._backoff_s = min(self._backoff_s * BACKOFF_GROWTH, self._peer_timeout_s * MAX_BACKOFF_SHARE)
        self.loop.after(delay=self._backoff_s * random.uniform(*BACKOFF_JITTER), callback=self._connect)


class PeerListener:
    """Accepts connections of other nodes.

    Args:
        loop: The event loop.
        address: Address and port to listen on.
        on_connection: Called with each accepted connection.
        on_message: As in `PeerConnection`.
        on_end: As in `PeerConnection`.
        peer_timeout_s: As in `PeerConnection`.

    Raises:
        OSError: The address can't be bound.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        address: SocketAddress,
        on_connection: Callable[[PeerConnection], object],
        on_message: Callable[[PeerConnection, tuple], object],
        on_end: Callable[[PeerConnection, str], object],
        peer_timeout_s: float,
    ) -> None:
        self.loop = loop
        self._sock = listen(address=address)
        self._on_connection = on_connection
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        self._acceptor = ConnectionAcceptor(sock=self._sock, now=loop.now, on_accepted=self._handle_accepted)
        loop.watch(sock=self._sock, mask=selectors.EVENT_READ, callback=self._ready)

    def stop(self) -> None:
        """Stops accepting connections; those that are open continue."""
        self.loop.unwatch(sock=self._sock)
        self._sock.close()

    def _ready(self, _mask: int) -> None:
        self._acceptor.accept_waiting()

    def _handle_accepted(self, sock: socket.socket, address: SocketAddress) -> None:
        self._on_connection(
            PeerConnection(
                loop=self.loop,
                sock=sock,
                on_message=self._on_message,
                on_end=self._on_end,
                peer_timeout_s=self._peer_timeout_s,
                peer="{}:{}".format(*address[:2]),
            )
        )
