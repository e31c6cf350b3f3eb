"""Real sockets on the loopback range with scripted peers, for the traps of the wire. Steps the loop; never sleeps."""

import selectors
import socket
import time

from pw.base import inlet
from pw.base import loop as loops

PATIENCE_S = 10.0


def new_loop():
    def raise_it(fault):
        raise fault

    return loops.Loop(on_fault=raise_it)


def until(loop, is_so) -> bool:
    """Steps the loop until `is_so()`; False where it never came."""
    end = time.monotonic() + PATIENCE_S
    ticking = [True]

    def tick():
        if ticking[0]:
            loop.after(delay=0.01, act=tick)

    tick()
    while not is_so():
        if time.monotonic() > end:
            ticking[0] = False
            return False
        loop.step()
    ticking[0] = False
    return True


def limits(**changed):
    return inlet.Limits(**{"head_bytes": 4096, "body_bytes": 10000, "head_s": 5.0, "idle_s": 10.0, **changed})


class Peer:
    """A scripted server: `script(connection number, bytes so far)` gives bytes to send, None to wait, or "close"/"reset"."""

    def __init__(self, *, loop, script):
        self.loop = loop
        self.script = script
        self.heard = []
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(50)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        loop.watch(sock=self.sock, mask=selectors.EVENT_READ, act=self._accept)

    def _accept(self, _mask):
        sock, _address = self.sock.accept()
        sock.setblocking(False)
        number = len(self.heard)
        self.heard.append(b"")
        self.loop.watch(sock=sock, mask=selectors.EVENT_READ, act=lambda mask: self._read(sock, number))

    def _read(self, sock, number):
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.loop.unwatch(sock=sock)
            sock.close()
            return
        self.heard[number] += data
        for act in self.script(number, self.heard[number]) or ():
            if act in ("close", "reset"):
                self.loop.unwatch(sock=sock)
                if act == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
                sock.close()
                return
            sock.sendall(act)


class Client:
    def __init__(self, *, loop, address):
        self.loop = loop
        self.got = b""
        self.is_closed = False
        self.sock = socket.socket()
        self.sock.connect(address)
        self.sock.setblocking(False)
        loop.watch(sock=self.sock, mask=selectors.EVENT_READ, act=self._read)

    def _read(self, _mask):
        try:
            data = self.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.loop.unwatch(sock=self.sock)
            self.is_closed = True
            return
        self.got += data

    def send(self, data: bytes):
        self.sock.sendall(data)
