"""Real sockets on the loopback range with scripted peers, for the traps of the wire. Steps the loop; never sleeps."""

import os
import selectors
import socket
import time

from ploverward.transport import event_loop
from ploverward.transport import http_request

WAIT_TIMEOUT_S = 10.0
SOCKET_WAIT_S = 0.0005  # for what was written on one socket of the loopback to be seen on the other
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # of SO_LINGER
PEERS_HOST = 254  # where scripted peers and doors listen; tests take other hosts for nodes of theirs


def own_address(*, host: int = PEERS_HOST) -> str:
    """An address that no other process of tests binds, so that a port which this one closed stays closed. `host`: 1 to 254."""
    process = os.getpid()
    return f"127.{1 + process // 256 % 254}.{process % 256}.{host}"


class SkippingLoop(event_loop.Loop):
    """A loop whose clock can skip: what a frozen process sees when it goes on. All timers of that time are due at once."""

    def __init__(self, *, on_fault=None):
        super().__init__(on_fault=on_fault)
        self._skipped_s = 0.0

    def now(self) -> float:
        return super().now() + self._skipped_s

    def skip(self, *, seconds: float) -> None:
        self._skipped_s += seconds

    def step_or_skip(self) -> None:
        """One step; where nothing waits on any socket, the time until the next timer is skipped first."""
        if not self._commands and self._timers and not self._selector.select(SOCKET_WAIT_S):
            self._skipped_s += max(0.0, self._timers[0].when - self.now())
        self.step()


def new_loop(*, faults=None):
    """Faults in a step are raised, or gathered in `faults`, as the programs gather them."""

    def raise_it(fault):
        raise fault

    return SkippingLoop(on_fault=raise_it if faults is None else faults.append)


def until(loop, is_so) -> bool:
    """Steps the loop until `is_so()`; False where it never came."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    ticking = [True]

    def tick():
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


def limits(**changed):
    return http_request.Limits(**{"head_bytes": 4096, "body_bytes": 10000, "head_s": 5.0, "idle_s": 10.0, **changed})


class Peer:
    """A scripted server: `script(connection number, bytes so far)` gives bytes to send, None to wait, or "close"/"reset"."""

    def __init__(self, *, loop, script):
        self.loop = loop
        self.script = script
        self.heard = []
        self.socks = {}  # connection number: socket, while it is open
        self.sock = socket.socket()
        self.sock.bind((own_address(), 0))
        self.sock.listen(50)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        loop.watch(sock=self.sock, mask=selectors.EVENT_READ, callback=self._accept)

    def _accept(self, _mask):
        sock, _address = self.sock.accept()
        sock.setblocking(False)
        number = len(self.heard)
        self.heard.append(b"")
        self.socks[number] = sock
        self.loop.watch(sock=sock, mask=selectors.EVENT_READ, callback=lambda mask: self._read(sock, number))

    def _read(self, sock, number):
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.end(number)
            return
        self.heard[number] += data
        self.callback(number, self.script(number, self.heard[number]) or ())

    def callback(self, number: int, acts) -> None:
        """Sends bytes, or ends the connection by "close" or "reset", on connection `number`, if it is still there."""
        for callback in acts:
            if number not in self.socks:
                return
            if callback in ("close", "reset"):
                self.end(number, is_reset=callback == "reset")
                continue
            try:
                self.socks[number].sendall(callback)
            except OSError:
                self.end(number)

    def end(self, number: int, *, is_reset: bool = False) -> None:
        sock = self.socks.pop(number, None)
        if sock is None:
            return
        self.loop.unwatch(sock=sock)
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.close()


class Client:
    def __init__(self, *, loop, address):
        self.loop = loop
        self.got = b""
        self.is_closed = False
        self.is_reset = False
        self.sock = socket.socket()
        self.sock.connect(address)
        self.sock.setblocking(False)
        loop.watch(sock=self.sock, mask=selectors.EVENT_READ, callback=self._read)

    def _read(self, _mask):
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

    def send(self, data: bytes):
        self.sock.sendall(data)

    def leave(self, *, is_reset: bool = False) -> None:
        """Ends the connection, with a request on it still under way or not."""
        if is_reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.loop.unwatch(sock=self.sock)
        self.sock.close()
        self.is_closed = True
