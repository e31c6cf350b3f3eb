"""Real sockets on the loopback range with scripted peers. Tests step the loop themselves; nothing sleeps."""

from __future__ import annotations

import os
import selectors
import socket
import time
import typing
from collections.abc import Callable
from collections.abc import Iterable

from ploverward.transport import event_loop
from ploverward.transport import http_request

WAIT_TIMEOUT_S = 10.0
SOCKET_WAIT_S = 0.0005  # for what was written on one socket of the loopback to be seen on the other
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # of SO_LINGER
PEERS_HOST = 254  # where scripted peers and doors listen; tests take other hosts for nodes of theirs


Action = bytes | str  # bytes to send, "close" or "reset"
Script = Callable[[int, bytes], Iterable[Action] | None]


def own_address(*, host: int = PEERS_HOST) -> str:
    """Returns an address that no other process of tests binds, so that a port which this one closed stays closed.

    Args:
        host: 1 to 254.
    """
    process = os.getpid()
    return f"127.{1 + process // 256 % 254}.{process % 256}.{host}"


class SkippingLoop(event_loop.Loop):
    """A loop whose clock can skip, as a frozen process sees it: all timers of that time are due at once."""

    def __init__(self, *, on_error: Callable[[Exception], object] | None = None) -> None:
        super().__init__(on_error=on_error)
        self._skipped_s = 0.0

    def now(self) -> float:
        """Returns the clock, with what was skipped."""
        return super().now() + self._skipped_s

    def skip(self, *, seconds: float) -> None:
        """Time passes in which nothing runs."""
        self._skipped_s += seconds

    def step_or_skip(self) -> None:
        """One step; where nothing waits on any socket, the time until the next timer is skipped first."""
        if not self._commands and self._timers and not self._selector.select(SOCKET_WAIT_S):
            self._skipped_s += max(0.0, self._timers[0].when - self.now())
        self.step()


def new_loop(*, errors: list[Exception] | None = None) -> SkippingLoop:
    """Returns a loop. What a step raises is raised, or gathered in `errors`, as the programs gather it."""

    def raise_it(error: Exception) -> None:
        raise error

    return SkippingLoop(on_error=raise_it if errors is None else errors.append)


def until(loop: event_loop.Loop, is_so: Callable[[], object]) -> bool:
    """Steps the loop until `is_so()`; returns False where that did not come within `WAIT_TIMEOUT_S`."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    ticking = [True]

    def tick() -> None:
        if ticking[0]:
            loop.after(delay=0.01, callback=tick)

    tick()
    while not is_so():
        if time.monotonic() > end:
            ticking[0] = False
            return False
        loop.step()
    ticking[0] = False
    return True


def limits(**changed: typing.Any) -> http_request.Limits:  # noqa: ANN401  # of any field
    """Returns limits of an HTTP server, with some changed."""
    return http_request.Limits(**{"head_bytes": 4096, "body_bytes": 10000, "head_s": 5.0, "idle_s": 10.0, **changed})


class Peer:
    """A scripted server.

    Args:
        loop: The event loop.
        script: Called with the connection's number and all bytes that came on it so far; returns what to do in turn:
            bytes to send, "close" or "reset"; None to wait for more.

    Attributes:
        received: The bytes that came, by connection.
        socks: The sockets of open connections, by connection.
        address: Where it listens.
    """

    def __init__(self, *, loop: event_loop.Loop, script: Script) -> None:
        self.loop = loop
        self.script = script
        self.received: list[bytes] = []
        self.socks: dict[int, socket.socket] = {}
        self.sock = socket.socket()
        self.sock.bind((own_address(), 0))
        self.sock.listen(50)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        loop.watch(sock=self.sock, mask=selectors.EVENT_READ, callback=self._accept)

    def _accept(self, _mask: int) -> None:
        sock, _address = self.sock.accept()
        sock.setblocking(False)
        number = len(self.received)
        self.received.append(b"")
        self.socks[number] = sock
        self.loop.watch(sock=sock, mask=selectors.EVENT_READ, callback=lambda mask: self._read(sock, number))

    def _read(self, sock: socket.socket, number: int) -> None:
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.end(number)
            return
        self.received[number] += data
        self.callback(number, self.script(number, self.received[number]) or ())

    def callback(self, number: int, acts: Iterable[Action]) -> None:
        """Sends bytes, or ends the connection, as a script says, on connection `number`, if it is still there."""
        for act in acts:
            if number not in self.socks:
                return
            if isinstance(act, str):
                self.end(number, is_reset=act == "reset")
                continue
            try:
                self.socks[number].sendall(act)
            except OSError:
                self.end(number)

    def end(self, number: int, *, is_reset: bool = False) -> None:
        """Ends a connection, if it is still there."""
        sock = self.socks.pop(number, None)
        if sock is None:
            return
        self.loop.unwatch(sock=sock)
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.close()


class Client:
    """A client's connection.

    Args:
        loop: The event loop.
        address: Of the server.

    Attributes:
        got: The bytes that came.
        is_closed: Whether either side has ended it.
        is_reset: Whether the server has reset it.
    """

    def __init__(self, *, loop: event_loop.Loop, address: tuple[str, int]) -> None:
        self.loop = loop
        self.got = b""
        self.is_closed = False
        self.is_reset = False
        self.sock = socket.socket()
        self.sock.connect(address)
        self.sock.setblocking(False)
        loop.watch(sock=self.sock, mask=selectors.EVENT_READ, callback=self._read)

    def _read(self, _mask: int) -> None:
        try:
            data = self.sock.recv(65536)
        except OSError:
            self.is_reset = True
            data = b""
        if not data:
            self.loop.unwatch(sock=self.sock)
            self.is_closed = True
            return
        self.got += data

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.sock.sendall(data)

    def leave(self, *, is_reset: bool = False) -> None:
        """Ends the connection, with a request on it still under way or not."""
        if is_reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.loop.unwatch(sock=self.sock)
        self.sock.close()
        self.is_closed = True
