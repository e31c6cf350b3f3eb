"""Scripted servers and clients on real sockets of the loopback range 127.0.0.0/8.

Tests step the event loop themselves; nothing sleeps.
"""

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
MAX_STEP_S = 0.03  # that the clock of a loop counts between two waits; above `event_loop.CONTINUATION_S`
SOCKET_WAIT_S = 0.0005  # until data written to one loopback socket is readable on the other
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER on, with a timeout of 0: close() sends RST
PEERS_HOST = 254  # last byte of the address that scripted peers and servers listen on; test nodes use other values


Action = bytes | str  # bytes to send, "close" or "reset"
Script = Callable[[int, bytes], Iterable[Action] | None]


def own_address(*, host: int = PEERS_HOST) -> str:
    """Returns a loopback address that belongs to this process.

    No other test process binds it, so a port that this process has closed stays closed.

    Args:
        host: The last byte of the address, 1 to 254.
    """
    process = os.getpid()
    return f"127.{1 + process // 256 % 254}.{process % 256}.{host}"


class SkippingLoop(event_loop.Loop):
    """An event loop whose clock can skip ahead, and which does not count the time in which a busy machine stalls it.

    The clock counts the time that the loop waits for sockets, up to the time that it wanted to wait, and at most
    `MAX_STEP_S` between two waits. All nodes and scripted peers of a test run on one loop, so a test process that gets
    no processor time delays both sides alike, and no deadline passes meanwhile.

    A skip looks like a process freeze: all timers that fall into the skipped time are due at once.
    """

    def __init__(self, *, on_error: Callable[[Exception], object] | None = None) -> None:
        super().__init__(on_error=on_error)
        self._counted_s = time.monotonic()  # the time of the clock when `_counted_at` was taken
        self._counted_at = self._counted_s

    def now(self) -> float:
        """Returns the loop's time in seconds, including the skipped time."""
        return self._counted_s + min(time.monotonic() - self._counted_at, MAX_STEP_S)

    def skip(self, *, seconds: float) -> None:
        """Advances the clock without running anything."""
        self._counted_s += seconds

    def step_or_skip(self) -> None:
        """Runs one step; if no command waits and no socket is ready, first skips the time until the next timer."""
        if not self.has_pending_calls and self._timers and not self._selector.select(SOCKET_WAIT_S):
            self.skip(seconds=max(0.0, self._timers[0].when - self.now()))
        self.step()

    def _select(self, wait_s: float) -> list[tuple[selectors.SelectorKey, int]]:
        self._count(MAX_STEP_S)
        ready = super()._select(wait_s)
        self._count(wait_s)
        return ready

    def _count(self, most_s: float) -> None:
        """Adds the time since the last call to the clock, up to `most_s` seconds."""
        at = time.monotonic()
        self._counted_s += min(at - self._counted_at, most_s)
        self._counted_at = at


def new_loop(*, errors: list[Exception] | None = None) -> SkippingLoop:
    """Returns a new event loop.

    Args:
        errors: Collects the exceptions that callbacks raise, as the programs collect them; without it, `step` raises
            them.
    """

    def raise_error(error: Exception) -> None:
        raise error

    return SkippingLoop(on_error=raise_error if errors is None else errors.append)


def until(loop: event_loop.Loop, condition: Callable[[], object]) -> bool:
    """Steps the loop until `condition()` is true; returns False if that takes longer than `WAIT_TIMEOUT_S`."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    ticking = [True]

    def tick() -> None:
        if ticking[0]:
            loop.after(delay=0.01, callback=tick)

    tick()
    while not condition():
        if time.monotonic() > end:
            ticking[0] = False
            return False
        loop.step()
    ticking[0] = False
    return True


def limits(**changed: typing.Any) -> http_request.Limits:  # noqa: ANN401  # the type depends on the field
    """Returns the limits of an HTTP server, with the given fields changed."""
    return http_request.Limits(**{"head_bytes": 4096, "body_bytes": 10000, "head_s": 5.0, "idle_s": 10.0, **changed})


class ScriptedServer:
    """A TCP server that performs the actions of a script on each of its connections.

    Args:
        loop: The event loop.
        script: Called with the number of a connection and all bytes received on it so far; returns the actions to
            perform in order (bytes to send, "close" or "reset"), or None to wait for more data.

    Attributes:
        received: The bytes received on each connection, indexed by its number.
        socks: The sockets of open connections, by connection number.
        address: The address it listens on.
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

    def callback(self, number: int, actions: Iterable[Action]) -> None:
        """Performs the actions of a script on connection `number`: sends bytes, closes or resets it, if it is open."""
        for action in actions:
            if number not in self.socks:
                return
            if isinstance(action, str):
                self.end(number, is_reset=action == "reset")
                continue
            try:
                self.socks[number].sendall(action)
            except OSError:
                self.end(number)

    def end(self, number: int, *, is_reset: bool = False) -> None:
        """Closes or resets a connection, if it is still open."""
        sock = self.socks.pop(number, None)
        if sock is None:
            return
        self.loop.unwatch(sock=sock)
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.close()


class Client:
    """One connection of a client.

    Args:
        loop: The event loop.
        address: The address of the server.

    Attributes:
        got: The bytes received so far.
        is_closed: Whether either side has closed the connection.
        is_reset: Whether the server has reset the connection.
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
        """Sends bytes to the server."""
        self.sock.sendall(data)

    def leave(self, *, is_reset: bool = False) -> None:
        """Closes or resets the connection, even if a request on it is still in progress."""
        if is_reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.loop.unwatch(sock=self.sock)
        self.sock.close()
        self.is_closed = True
